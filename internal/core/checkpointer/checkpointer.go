// Package checkpointer encodes and decodes checkpoints of the configuration state and decides when the next one is due.
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

// Limits of an encoded state.
const (
	// PartBytes is the maximum size of a part. It keeps the log record of a part below 1 MiB.
	PartBytes = 512 << 10
	// MaxStateBytes is the maximum size of the decompressed state.
	MaxStateBytes = 128 << 20
	// MaxParts is the maximum number of parts.
	MaxParts = 256
)

// Limits that decide when a checkpoint is due and which host writes it.
const (
	// MaxRecordsBetween is the number of records after a checkpoint at which the next one is due.
	MaxRecordsBetween = 2_000
	// RankDelay is the additional time that each rank waits before it writes a checkpoint that is due.
	RankDelay = 5 * time.Second
	// MaxWriters is the number of ranks that may write checkpoints.
	MaxWriters = 6
)

// EncodedState is an encoded state, split into parts.
type EncodedState struct {
	Offset ident.Offset
	// Digest is the running digest of the state itself.
	Digest ident.Digest
	// PartsDigest is the digest of the joined parts.
	PartsDigest ident.Digest
	Parts       [][]byte
}

// CompletionMark records that a checkpoint is complete. It is appended after all parts are in the log.
type CompletionMark struct {
	Offset      ident.Offset `json:"offset"`
	Digest      ident.Digest `json:"digest"`
	PartsDigest ident.Digest `json:"sum"`
	// PartOffsets holds the offsets of the parts in the stream of parts.
	PartOffsets []ident.Offset `json:"parts"`
	Host        ident.Host     `json:"host"`
	Time        time.Time      `json:"time"`
}

// Error reports a checkpoint that cannot be used.
type Error struct {
	Reason string
}

// Error returns the reason.
func (e *Error) Error() string {
	return "checkpoint: " + e.Reason
}

// Encode encodes a state as compressed JSON and splits it into parts.
func Encode(r *reducer.Reducer) (EncodedState, error) {
	var buf bytes.Buffer
	compressor := gzip.NewWriter(&buf)
	if err := json.NewEncoder(compressor).Encode(r.Snapshot()); err != nil {
		return EncodedState{}, fmt.Errorf("encode state: %w", err)
	}
	if err := compressor.Close(); err != nil {
		return EncodedState{}, fmt.Errorf("encode state: %w", err)
	}
	data := buf.Bytes()
	out := EncodedState{Offset: r.Offset(), Digest: r.Digest(), PartsDigest: manifest.DigestOf(data)}
	for len(data) > 0 {
		n := min(len(data), PartBytes)
		out.Parts = append(out.Parts, data[:n])
		data = data[n:]
	}
	if len(out.Parts) > MaxParts {
		return EncodedState{}, &Error{Reason: fmt.Sprintf("state needs %d parts, at most %d are allowed", len(out.Parts), MaxParts)}
	}
	return out, nil
}

// Decode returns the state that the parts encode. It fails if the joined parts do not have the digest partsDigest.
func Decode(parts [][]byte, partsDigest ident.Digest) (*reducer.Reducer, error) {
	data := bytes.Join(parts, nil)
	if manifest.DigestOf(data) != partsDigest {
		return nil, &Error{Reason: "parts do not have the expected digest"}
	}
	decompressor, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, &Error{Reason: err.Error()}
	}
	var snapshot reducer.Snapshot
	if err := json.NewDecoder(io.LimitReader(decompressor, MaxStateBytes)).Decode(&snapshot); err != nil {
		return nil, &Error{Reason: err.Error()}
	}
	r, err := reducer.Restore(snapshot)
	if err != nil {
		return nil, &Error{Reason: err.Error()}
	}
	return r, nil
}

// DecodeCompletionMark parses and validates a mark.
func DecodeCompletionMark(data []byte) (CompletionMark, error) {
	var m CompletionMark
	if err := json.Unmarshal(data, &m); err != nil {
		return CompletionMark{}, &Error{Reason: err.Error()}
	}
	if m.PartsDigest == "" || m.Offset < 0 || len(m.PartOffsets) == 0 || len(m.PartOffsets) > MaxParts {
		return CompletionMark{}, &Error{Reason: "mark has no digest of its parts, a negative offset, or an invalid number of parts"}
	}
	return m, nil
}

// Conditions holds what a process knows when it decides whether to write a checkpoint.
type Conditions struct {
	// Rank is the position of this host among the possible writers in rendezvous order, starting at 0.
	Rank int
	// Offset is the offset of this host's state.
	Offset ident.Offset
	// LogStart is the lowest offset that the log still holds.
	LogStart ident.Offset
	// LatestOffset is the offset of the latest checkpoint, or -1 if there is none.
	LatestOffset ident.Offset
	// LatestAge is the time since the latest checkpoint was written.
	LatestAge time.Duration
	// Interval is the age of the latest checkpoint at which the next one is due.
	Interval time.Duration
	// DueFor is the time for which a checkpoint has been due without interruption.
	DueFor time.Duration
}

// IsDue reports whether some host has to write a checkpoint. A state that ends before the start of the log cannot be
// continued from the log, so that no checkpoint of it is due.
func (c Conditions) IsDue() bool {
	switch {
	case c.Offset == 0 || c.Offset < c.LatestOffset:
		return false
	case c.LatestOffset < 0, c.LatestOffset < c.LogStart:
		return c.Offset >= c.LogStart
	}
	return c.Offset-c.LatestOffset >= MaxRecordsBetween || c.LatestAge >= c.Interval
}

// ShouldWrite reports whether this host has to write the checkpoint now. Each rank waits longer than the one before, so
// that a host writes only if the hosts before it did not.
func (c Conditions) ShouldWrite() bool {
	return c.IsDue() && c.Rank < MaxWriters && c.DueFor >= time.Duration(c.Rank)*RankDelay
}
