package loadverifier

// plan is the next change of what the engine holds.
type plan struct {
	// kept is the span of layers that stays. The command extends it towards limit.
	kept, limit span
	// drops says that the engine has to be commanded to hold only kept.
	drops bool
	// isStuck says that a suspect layer can't be dropped, since the model has no other layer.
	isStuck bool
}

// heldSpan returns the layers of the wanted release that the engine holds.
func (v *Verifier) heldSpan() span {
	if v.engine.served != v.served || len(v.engine.held) == 0 {
		return span{}
	}
	out := span{v.layers, 0}
	for layer := range v.engine.held {
		out = out.hull(span{layer, layer + 1})
	}
	return out
}

func (v *Verifier) isLayerSound(layer int, a *acceptance) bool {
	from, to := v.chunkRange(layer)
	return a.areSound(from, to)
}

func (v *Verifier) isSuspect(layer int) bool {
	from, to := v.chunkRange(layer)
	return v.engine.held[layer].isUnprovable(from, to, v.chunks)
}

// plan returns the next change. Loading a range that is held exactly does nothing, and the engine keeps the layers that it
// holds within a new range. So suspect layers are dropped by a command for a range without them, and loaded again by the
// next one.
func (v *Verifier) plan() plan {
	held := v.heldSpan()
	if held.isEmpty() {
		return plan{kept: span{v.want.from, v.want.from}, limit: v.want}
	}
	sound := v.longestSound(held)
	switch {
	case sound == held:
		return plan{kept: held, limit: held.hull(v.want)}
	case !sound.isEmpty():
		return plan{kept: sound, drops: true}
	case held.to < v.want.to:
		return plan{kept: span{held.to, held.to}, limit: span{held.to, v.want.to}}
	case held.from > v.want.from:
		return plan{kept: span{held.from, held.from}, limit: span{v.want.from, held.from}}
	case held.to > held.from+1:
		return plan{kept: span{held.from, held.from + 1}, drops: true}
	case held.to < v.layers:
		return plan{kept: span{held.to, held.to}, limit: span{held.to, held.to + 1}}
	case held.from > 0:
		return plan{kept: span{held.from, held.from}, limit: span{held.from - 1, held.from}}
	}
	return plan{isStuck: true}
}

// longestSound returns the longest span of layers without suspect ones.
func (v *Verifier) longestSound(held span) span {
	best, current := span{}, span{held.from, held.from}
	for layer := held.from; layer < held.to; layer++ {
		if v.isSuspect(layer) {
			current = span{layer + 1, layer + 1}
			continue
		}
		current.to = layer + 1
		if current.to-current.from > best.to-best.from {
			best = current
		}
	}
	return best
}

// extend returns the kept layers with up to the given number of further ones, those to the right first.
func (p plan) extend(layers int) span {
	to := min(p.kept.to+layers, p.limit.to)
	from := max(p.kept.from-(layers-(to-p.kept.to)), p.limit.from)
	return span{from, to}
}

// missing returns the number of layers that are to be added.
func (p plan) missing() int {
	return p.limit.to - p.limit.from - (p.kept.to - p.kept.from)
}
