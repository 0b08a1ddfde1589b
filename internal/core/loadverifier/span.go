package loadverifier

import "github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"

// span is a range of layers, including from and excluding to.
type span struct {
	from, to int
}

func (s span) isEmpty() bool {
	return s.from >= s.to
}

func (s span) contains(layer int) bool {
	return layer >= s.from && layer < s.to
}

func (s span) hull(o span) span {
	return span{min(s.from, o.from), max(s.to, o.to)}
}

// spanOf returns the layers of a range, of which the zero value stands for all.
func (v *Verifier) spanOf(r fleetconfig.LayerRange) span {
	if !v.hasLayers || r.CoversAll(v.layers) {
		return span{0, v.layers}
	}
	return span{max(0, r.From), min(r.To, v.layers)}
}

// rangeOf returns the range to name in a command. All layers are not named if none is held yet.
func (v *Verifier) rangeOf(s span) fleetconfig.LayerRange {
	if s == (span{0, v.layers}) && (!v.hasLayers || v.heldSpan().isEmpty()) {
		return fleetconfig.LayerRange{}
	}
	return fleetconfig.LayerRange{From: s.from, To: s.to}
}

// chunkRange returns the chunks that a layer needs.
func (v *Verifier) chunkRange(layer int) (from, to int) {
	return fleetconfig.LayerRange{From: layer, To: layer + 1}.ChunkRange(v.layers, len(v.chunks))
}

// chunksOf returns the chunks that the layers of a span need, except the layers that are kept.
func (v *Verifier) chunksOf(s, kept span) []int {
	var out []int
	next := 0
	for layer := s.from; layer < s.to; layer++ {
		if kept.contains(layer) {
			continue
		}
		from, to := v.chunkRange(layer)
		for i := max(from, next); i < to; i++ {
			out = append(out, i)
		}
		next = max(next, to)
	}
	return out
}
