// Package prefixhasher names the part of a request that an engine's prefix cache may hold.
package prefixhasher

import (
	"github.com/cespare/xxhash/v2"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

const (
	maxBytes = 1024
	minBytes = 64
)

// Prefix is a hash of organisation, deployment and the start of a prompt. Zero means that caching gains nothing.
type Prefix uint64

// Hasher hashes the parts of one prompt in their order. Set its fields before use.
type Hasher struct {
	// Organisation is the caller's.
	Organisation ident.Organisation
	// Deployment is the one that the caller names.
	Deployment ident.Deployment
}

// Prefix returns the prefix of a prompt that consists of parts, such as the messages of a chat. Only the first KiB
// counts, so that the turns of one conversation share it.
func (h Hasher) Prefix(parts ...string) Prefix {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(h.Organisation))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(h.Deployment))
	left := maxBytes
	for _, s := range parts {
		s = s[:min(left, len(s))]
		left -= len(s)
		_, _ = d.Write([]byte{0})
		_, _ = d.WriteString(s)
		if left == 0 {
			break
		}
	}
	if maxBytes-left < minBytes {
		return 0
	}
	return Prefix(d.Sum64())
}
