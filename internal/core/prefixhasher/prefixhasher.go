// Package prefixhasher hashes the start of a prompt, which an engine's prefix cache may hold.
package prefixhasher

import (
	"github.com/cespare/xxhash/v2"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

const (
	// maxHashedBytes is the number of bytes at the start of a prompt that are hashed.
	maxHashedBytes = 1024
	// minPromptBytes is the prompt size below which prefix caching has no benefit.
	minPromptBytes = 64
)

// Prefix is a hash of organisation, deployment and the start of a prompt. Zero means that the prompt is too short for
// prefix caching.
type Prefix uint64

// Hasher hashes the prompts of one organisation and deployment. Set its fields before use.
type Hasher struct {
	// Organisation is the caller's organisation.
	Organisation ident.Organisation
	// Deployment is the deployment that the caller names.
	Deployment ident.Deployment
}

// Prefix returns the hash of the start of a prompt that consists of parts, such as the messages of a chat. Only the
// first KiB is hashed, so that all turns of a conversation have the same prefix.
func (h Hasher) Prefix(parts ...string) Prefix {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(string(h.Organisation))
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(string(h.Deployment))
	remaining := maxHashedBytes
	for _, part := range parts {
		part = part[:min(remaining, len(part))]
		remaining -= len(part)
		_, _ = digest.Write([]byte{0})
		_, _ = digest.WriteString(part)
		if remaining == 0 {
			break
		}
	}
	if maxHashedBytes-remaining < minPromptBytes {
		return 0
	}
	return Prefix(digest.Sum64())
}
