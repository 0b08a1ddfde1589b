package fetchplanner

import (
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

// Progress tells that a fetch has received bytes, done in all.
func (p *Planner) Progress(id int64, done ident.Bytes) {
	f, ok := p.fetches[id]
	if !ok {
		return
	}
	f.last = time.Now()
	f.done = done
	if f.stripe != nil {
		f.stripe.sign = f.last
	}
}

// Finish tells how a fetch ended. Fetches of the same chunk that are still running are returned by the next Next.
func (p *Planner) Finish(id int64, o Outcome) {
	f, ok := p.fetches[id]
	if !ok {
		return
	}
	p.drop(f)
	p.judge(f, o)
	if o != Stored || p.held.Test(uint(f.index)) {
		return
	}
	p.held.Set(uint(f.index))
	p.left--
	for _, s := range p.stripes {
		if s.owns(f.index, p.offsets) {
			s.sign = time.Now()
			s.slow = max(s.slow-1, 0)
			s.update(p.held)
		}
	}
}

func (p *Planner) begin(i int, src Source, s *stripe) *Fetch {
	p.next++
	now := time.Now()
	f := &Fetch{ID: p.next, Chunk: p.chunks[i], Source: src, index: i, stripe: s, last: now, started: now}
	p.fetches[f.ID] = f
	p.running = append(p.running, f)
	p.flight[i]++
	if s != nil {
		s.fetch = f
	} else {
		p.inside++
	}
	if n := p.nodes[src.Host]; n != nil {
		n.running++
	}
	return f
}

func (p *Planner) drop(f *Fetch) {
	delete(p.fetches, f.ID)
	for k, r := range p.running {
		if r == f {
			p.running = append(p.running[:k], p.running[k+1:]...)
			break
		}
	}
	p.flight[f.index]--
	if f.stripe != nil {
		f.stripe.fetch = nil
	} else {
		p.inside--
	}
	if n := p.nodes[f.Source.Host]; n != nil {
		n.running--
	}
}

// Next returns the fetches to start and the ids of those to stop. Call it after each event, and four times a second.
func (p *Planner) Next() (start []Fetch, stop []int64) {
	stop = p.expire()
	if p.left == 0 {
		return nil, stop
	}
	for _, s := range p.stripes {
		if f := p.bring(s); f != nil {
			start = append(start, *f)
		}
	}
	for p.inside < p.Fetches {
		f := p.exchange()
		if f == nil {
			break
		}
		start = append(start, *f)
	}
	return start, stop
}

// expire stops fetches that make no progress, that are not needed any more, or that another reader has taken over.
func (p *Planner) expire() []int64 {
	var out []int64
	now := time.Now()
	for _, f := range append([]*Fetch(nil), p.running...) {
		switch {
		case p.held.Test(uint(f.index)):
		case now.Sub(f.last) > p.allowance(f):
			p.judge(f, Failed)
			if f.stripe != nil {
				f.stripe.slow = min(f.stripe.slow+1, maxSlow)
			}
		case p.isSuperfluous(f):
		default:
			continue
		}
		p.drop(f)
		out = append(out, f.ID)
	}
	return out
}

// allowance is the time that a fetch may go without progress.
func (p *Planner) allowance(f *Fetch) time.Duration {
	if f.stripe == nil {
		return p.Deadline
	}
	return p.Deadline << f.stripe.slow
}
