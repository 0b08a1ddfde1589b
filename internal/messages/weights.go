package messages

import "github.com/nutmegdock/nutmegdock/internal/core/ident"

// HaveMethod asks an endpoint host which chunks of an artifact it holds.
const HaveMethod = "have"

// HaveQuery names an artifact.
type HaveQuery struct {
	Artifact ident.Digest `json:"artifact"`
	Offset   ident.Offset `json:"offset"`
}

// HaveAnswer lists the indices of the chunks that are held, packed as a bit set.
type HaveAnswer struct {
	Bits   []uint64     `json:"bits"`
	Offset ident.Offset `json:"offset"`
}
