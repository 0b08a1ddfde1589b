// Package manifest describes artifacts: the weights of a model version or an adapter version, split into chunks.
//
// The manifest of a published artifact is known by its own digest, so that its entries are right if the digest is. Nothing
// vouches for a list of chunks that was read from elsewhere. Its entries are bound to their places: the digest of an entry is
// that of the content and of the place, so that content which is right in another place does not match it.
package manifest

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

// Limits on the content of a manifest.
const (
	MaxChunkBytes ident.Bytes = 64 << 20
	MaxChunks                 = 1 << 16
)

// Chunk is one piece of an artifact, addressed by its digest.
type Chunk struct {
	// Digest is the digest of the content, or, if Content is set, that of the content and of the place of the chunk.
	Digest ident.Digest `json:"digest"`
	Size   ident.Bytes  `json:"size"`
	// Content is the digest of the content of a chunk that is bound to its place.
	Content ident.Digest `json:"content,omitempty"`
}

// Matches reports whether data is the content of the chunk. It does not compare the size.
func (c Chunk) Matches(data []byte) bool {
	return DigestOf(data) == c.contentDigest()
}

func (c Chunk) contentDigest() ident.Digest {
	if c.Content != "" {
		return c.Content
	}
	return c.Digest
}

// Artifact lists the chunks of one model version or one adapter version, in order.
type Artifact struct {
	Name    string      `json:"name"`
	Version string      `json:"version"`
	Size    ident.Bytes `json:"size"`
	Chunks  []Chunk     `json:"chunks"`
}

// Shape is the number of chunks of an artifact and the size of each, as the configuration states them. Zero fields are
// unknown.
type Shape struct {
	Chunks     int
	ChunkBytes ident.Bytes
}

// Check returns an Error if the artifact differs from the shape.
func (s Shape) Check(a Artifact) error {
	if s.Chunks > 0 && len(a.Chunks) != s.Chunks {
		return &Error{Artifact: a.Name, Reason: fmt.Sprintf("has %d chunks, the configuration states %d", len(a.Chunks), s.Chunks)}
	}
	for i, c := range a.Chunks {
		if s.ChunkBytes > 0 && c.Size != s.ChunkBytes {
			return &Error{Artifact: a.Name, Reason: fmt.Sprintf("chunk %d has %d bytes, the configuration states %d", i, c.Size, s.ChunkBytes)}
		}
	}
	return nil
}

// Error reports an invalid manifest.
type Error struct {
	// Artifact is the name of the artifact, or the requested digest if the name could not be read.
	Artifact string
	Reason   string
}

// Error implements the error interface.
func (e *Error) Error() string {
	return fmt.Sprintf("manifest of %q: %s; publish it again", e.Artifact, e.Reason)
}

// Bind returns the artifact with each chunk bound to its place: its number in this version. Chunks that are bound stay so.
func (a Artifact) Bind() Artifact {
	chunks := make([]Chunk, len(a.Chunks))
	for i, c := range a.Chunks {
		content := c.contentDigest()
		chunks[i] = Chunk{Digest: a.boundDigest(i, content), Size: c.Size, Content: content}
	}
	a.Chunks = chunks
	return a
}

// boundDigest returns the digest of a chunk that is bound to its place.
func (a Artifact) boundDigest(number int, content ident.Digest) ident.Digest {
	return DigestOf(fmt.Appendf(nil, "%q %q %d %s", a.Name, a.Version, number, content))
}

// DigestOf returns the SHA-256 digest of data.
func DigestOf(data []byte) ident.Digest {
	sum := sha256.Sum256(data)
	return ident.Digest(hex.EncodeToString(sum[:]))
}

// Encode returns the canonical encoding of the artifact.
func (a Artifact) Encode() ([]byte, error) {
	return json.Marshal(a)
}

// Decode verifies data against the requested digest, and parses and validates the artifact.
func Decode(data []byte, want ident.Digest) (Artifact, error) {
	if DigestOf(data) != want {
		return Artifact{}, &Error{Artifact: string(want), Reason: "content does not match its digest"}
	}
	var a Artifact
	if err := json.Unmarshal(data, &a); err != nil {
		return Artifact{}, &Error{Artifact: string(want), Reason: err.Error()}
	}
	return a, a.Validate()
}

// Validate returns an Error for the first rule that the artifact violates. A chunk that is not bound to its place may occur more
// than once, because sections of a file may be equal; all its entries must then state the same size.
func (a Artifact) Validate() error {
	if len(a.Chunks) == 0 || len(a.Chunks) > MaxChunks {
		return &Error{Artifact: a.Name, Reason: fmt.Sprintf("has %d chunks, want 1 to %d", len(a.Chunks), MaxChunks)}
	}
	var total ident.Bytes
	sizes := make(map[ident.Digest]ident.Bytes, len(a.Chunks))
	for i, c := range a.Chunks {
		if !c.Digest.IsValid() {
			return &Error{Artifact: a.Name, Reason: fmt.Sprintf("chunk %d has no valid digest", i)}
		}
		if c.Content != "" && (!c.Content.IsValid() || c.Digest != a.boundDigest(i, c.Content)) {
			return &Error{Artifact: a.Name, Reason: fmt.Sprintf("chunk %d is not bound to its place", i)}
		}
		if c.Size <= 0 || c.Size > MaxChunkBytes {
			return &Error{Artifact: a.Name, Reason: fmt.Sprintf("chunk %d has %d bytes, want 1 to %d", i, c.Size, MaxChunkBytes)}
		}
		if size, ok := sizes[c.Digest]; ok && size != c.Size {
			return &Error{Artifact: a.Name, Reason: fmt.Sprintf("chunk %d is repeated with %d bytes and with %d", i, size, c.Size)}
		}
		sizes[c.Digest] = c.Size
		total += c.Size
	}
	if a.Name == "" || a.Version == "" {
		return &Error{Artifact: a.Name, Reason: "has no name or no version"}
	}
	if total != a.Size {
		return &Error{Artifact: a.Name, Reason: fmt.Sprintf("chunks add up to %d bytes, the manifest states %d", total, a.Size)}
	}
	return nil
}

// WeightSetOf returns the identifier of the weight set that consists of the given artifacts: the model, then the
// adapters in order.
func WeightSetOf(artifacts ...ident.Digest) ident.WeightSet {
	lines := make([]string, len(artifacts))
	for i, d := range artifacts {
		lines[i] = string(d)
	}
	return ident.WeightSet(DigestOf([]byte(strings.Join(lines, "\n"))))
}
