package fetchplanner

import (
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

// RecordProgress records that a fetch has received bytes. received is the total so far.
func (p *Planner) RecordProgress(id int64, received ident.Bytes) {
	f, ok := p.fetches[id]
	if !ok {
		return
	}
	f.lastProgress = time.Now()
	f.received = received
	if f.stripe != nil {
		f.stripe.lastProgress = f.lastProgress
	}
}

// Finish records the outcome of a fetch. If the chunk was stored, the next call of Next returns its other fetches as
// fetches to stop.
func (p *Planner) Finish(id int64, o Outcome) {
	f, ok := p.fetches[id]
	if !ok {
		return
	}
	p.removeFetch(f)
	p.recordOutcome(f, o)
	if o != Stored || p.held.Test(uint(f.index)) {
		return
	}
	p.held.Set(uint(f.index))
	p.remaining--
	for _, s := range p.stripes {
		if s.contains(f.index, p.offsets) {
			s.lastProgress = time.Now()
			s.stallDoublings = max(s.stallDoublings-1, 0)
			s.updateComplete(p.held)
		}
	}
}

// startFetch registers a new fetch. s is the stripe that it belongs to; nil for an exchange inside the zone.
func (p *Planner) startFetch(i int, src Source, s *stripe) *Fetch {
	p.lastFetchID++
	now := time.Now()
	f := &Fetch{ID: p.lastFetchID, Chunk: p.chunks[i], Source: src, index: i, stripe: s, lastProgress: now, startedAt: now}
	p.fetches[f.ID] = f
	p.active = append(p.active, f)
	p.chunkFetches[i]++
	if s != nil {
		s.fetch = f
	} else {
		p.zoneFetches++
	}
	if n := p.nodes[src.Host]; n != nil {
		n.inFlight++
	}
	return f
}

// removeFetch removes a fetch that has ended or must be stopped.
func (p *Planner) removeFetch(f *Fetch) {
	delete(p.fetches, f.ID)
	for k, r := range p.active {
		if r == f {
			p.active = append(p.active[:k], p.active[k+1:]...)
			break
		}
	}
	p.chunkFetches[f.index]--
	if f.stripe != nil {
		f.stripe.fetch = nil
	} else {
		p.zoneFetches--
	}
	if n := p.nodes[f.Source.Host]; n != nil {
		n.inFlight--
	}
}

// Next returns the fetches to start and the IDs of the fetches to stop. Call it after each event, and four times a
// second.
func (p *Planner) Next() (start []Fetch, stop []int64) {
	stop = p.stopStaleFetches()
	if p.remaining == 0 {
		return nil, stop
	}
	for _, s := range p.stripes {
		if f := p.nextStripeFetch(s); f != nil {
			start = append(start, *f)
		}
	}
	for p.zoneFetches < p.MaxFetches {
		f := p.nextExchangeFetch()
		if f == nil {
			break
		}
		start = append(start, *f)
	}
	return start, stop
}

// stopStaleFetches removes the fetches that make no progress, are no longer needed, or were taken over by another
// reader. It returns their IDs.
func (p *Planner) stopStaleFetches() []int64 {
	var out []int64
	now := time.Now()
	for _, f := range append([]*Fetch(nil), p.active...) {
		switch {
		case p.held.Test(uint(f.index)):
		case now.Sub(f.lastProgress) > p.stallTimeout(f):
			p.recordOutcome(f, Failed)
			if f.stripe != nil {
				f.stripe.stallDoublings = min(f.stripe.stallDoublings+1, maxStallDoublings)
			}
		case p.isTakenOver(f):
		default:
			continue
		}
		p.removeFetch(f)
		out = append(out, f.ID)
	}
	return out
}

// stallTimeout returns the time without progress after which a fetch is stopped.
func (p *Planner) stallTimeout(f *Fetch) time.Duration {
	if f.stripe == nil {
		return p.StallTimeout
	}
	return p.StallTimeout << f.stripe.stallDoublings
}
