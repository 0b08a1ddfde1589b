// Package checkpointer encodes the configuration state for checkpoints and decides when one is due.
package checkpointer

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/manifest"
	"github.com/nutmegdock/nutmegdock/internal/core/reducer"
)

// Bounds of an encoded state.
const (
	// PartBytes is the size of a part. Its record stays below 1 MiB.
	PartBytes = 512 << 10
	// MaxBytes bounds the decompressed state.
	MaxBytes = 128 << 20
	// MaxParts bounds the number of parts.
	MaxParts = 256
)

// Rules of when a checkpoint is due.
const (
	// MaxTail is the number of records after a checkpoint that make the next one due.
	MaxTail = 2_000
	// StepIn is how long the next writer in rank waits longer than the one before it.
	StepIn = 5 * time.Second
	// MaxWriters is the number of ranks that may write.
	MaxWriters = 6
)

// Blob is an encoded state in parts.
type Blob struct {
	Offset ident.Offset
	Digest ident.Digest
	// Sum is the digest of all parts together.
	Sum   ident.Digest
	Parts [][]byte
}

// Mark announces a complete checkpoint, once all parts are in the log.
type Mark struct {
	Offset ident.Offset `json:"offset"`
	Digest ident.Digest `json:"digest"`
	Sum    ident.Digest `json:"sum"`
	// Parts are the offsets of the parts in their stream.
	Parts []ident.Offset `json:"parts"`
	Host  ident.Host     `json:"host"`
	Time  time.Time      `json:"time"`
}

// Error reports a checkpoint that cannot be used.
type Error struct {
	Reason string
}

// Error states the reason.
func (e *Error) Error() string {
	return "checkpoint: " + e.Reason
}

// Encode returns the state in parts.
func Encode(r *reducer.Reducer) (Blob, error) {
	var buf bytes.Buffer
	zip := gzip.NewWriter(&buf)
	if err := json.NewEncoder(zip).Encode(r.Image()); err != nil {
		return Blob{}, fmt.Errorf("encode state: %w", err)
	}
	if err := zip.Close(); err != nil {
		return Blob{}, fmt.Errorf("encode state: %w", err)
	}
	data := buf.Bytes()
	out := Blob{Offset: r.Offset(), Digest: r.Digest(), Sum: manifest.Sum(data)}
	for len(data) > 0 {
		n := min(len(data), PartBytes)
		out.Parts = append(out.Parts, data[:n])
		data = data[n:]
	}
	if len(out.Parts) > MaxParts {
		return Blob{}, &Error{Reason: fmt.Sprintf("state needs %d parts, at most %d are allowed", len(out.Parts), MaxParts)}
	}
	return out, nil
}

// Decode returns the state from its parts.
func Decode(parts [][]byte, sum ident.Digest) (*reducer.Reducer, error) {
	data := bytes.Join(parts, nil)
	if manifest.Sum(data) != sum {
		return nil, &Error{Reason: "parts do not match their digest"}
	}
	zip, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, &Error{Reason: err.Error()}
	}
	var img reducer.Image
	if err := json.NewDecoder(io.LimitReader(zip, MaxBytes)).Decode(&img); err != nil {
		return nil, &Error{Reason: err.Error()}
	}
	r, err := reducer.Restore(img)
	if err != nil {
		return nil, &Error{Reason: err.Error()}
	}
	return r, nil
}

// DecodeMark parses a mark.
func DecodeMark(data []byte) (Mark, error) {
	var m Mark
	if err := json.Unmarshal(data, &m); err != nil {
		return Mark{}, &Error{Reason: err.Error()}
	}
	if m.Sum == "" || m.Offset < 0 || len(m.Parts) == 0 || len(m.Parts) > MaxParts {
		return Mark{}, &Error{Reason: "mark has no sum or no parts"}
	}
	return m, nil
}

// Situation is what a writer knows when it decides.
type Situation struct {
	// Rank is the writer's place in rendezvous order, from zero.
	Rank int
	// Offset is the writer's own.
	Offset ident.Offset
	// First is the lowest offset that the log keeps.
	First ident.Offset
	// Latest is the offset of the best checkpoint, or -1.
	Latest ident.Offset
	// Age is the time since the best checkpoint was written.
	Age time.Duration
	// Interval is the age at which the next one is due.
	Interval time.Duration
	// Waited is the time since a checkpoint has been due without a break.
	Waited time.Duration
}

// IsDue tells whether some process has to write a checkpoint.
func (s Situation) IsDue() bool {
	switch {
	case s.Offset == 0 || s.Offset < s.Latest:
		return false
	case s.Latest < 0, s.Latest < s.First:
		return s.Offset >= s.First
	}
	return s.Offset-s.Latest >= MaxTail || s.Age >= s.Interval
}

// ShouldWrite tells whether this process has to write it now.
func (s Situation) ShouldWrite() bool {
	return s.IsDue() && s.Rank < MaxWriters && s.Waited >= time.Duration(s.Rank)*StepIn
}
