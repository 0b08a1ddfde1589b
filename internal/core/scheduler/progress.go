package scheduler

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/outcome"
	"github.com/nutmegdock/nutmegdock/internal/messages"
)

func decay(since time.Time) float64 {
	return math.Exp(-float64(time.Since(since)) / float64(rateWindow))
}

// First takes the first token, or the head of the answer, of a request that was handed to h.
func (s *Scheduler) First(h ident.Host, id ident.Request) []Decision {
	if _, ok := s.running[id]; !ok {
		return nil
	}
	e := s.byHost[h]
	start, ok := e.est.First(id)
	if !ok {
		return nil
	}
	e.brk.Succeed()
	e.lim.Observe(start, time.Since(start), int(math.Ceil(e.est.Running(s.EntryHosts()))))
	return s.pump()
}

// End frees the room of a request that was handed to h.
func (s *Scheduler) End(h ident.Host, id ident.Request, end End) []Decision {
	g, ok := s.running[id]
	if !ok {
		return nil
	}
	delete(s.running, id)
	org := g.request.Organisation
	s.perOrg[org]--
	if s.perOrg[org] == 0 {
		delete(s.perOrg, org)
	}
	e := s.byHost[h]
	e.est.End(id)
	if end == Outdated {
		return s.pump()
	}
	if end != Done {
		e.brk.Fail()
		return s.pump()
	}
	held := time.Since(g.start)
	if s.hold == 0 {
		s.hold = held
	}
	s.hold += time.Duration(holdShare * float64(held-s.hold))
	return s.pump()
}

// Cancel takes a request out of the queue. It returns false if it does not wait.
func (s *Scheduler) Cancel(id ident.Request) ([]Decision, bool) {
	q, ok := s.waiting[id]
	if !ok {
		return nil, false
	}
	delete(s.waiting, id)
	s.Queue.Remove(&q.Item)
	return s.pump(), true
}

// Leave ends new work to a host, for as long as an incarnation of it lives that started at birth or before.
func (s *Scheduler) Leave(h ident.Host, birth int64) []Decision {
	e, ok := s.byHost[h]
	if !ok || e.leaving || e.report.Birth > birth {
		return nil
	}
	e.leaving = true
	s.strand()
	return s.pump()
}

// shutTime is how long an endpoint that refused a request as closed gets no work, unless a report comes first.
const shutTime = 500 * time.Millisecond

// Load takes an endpoint's load.
func (s *Scheduler) Load(l messages.Load) []Decision {
	e, ok := s.byHost[l.Host]
	if !ok || !e.load(l) {
		return nil
	}
	return s.pump()
}

// Serve notes the weight set that an endpoint serves by now, until the next report; none means that it is closed.
func (s *Scheduler) Serve(h ident.Host, set ident.WeightSet) []Decision {
	e, ok := s.byHost[h]
	if !ok {
		return nil
	}
	if set == "" {
		e.shut = time.Now().Add(shutTime)
		return s.pump()
	}
	e.closed = false
	e.report.Set = set
	return s.pump()
}

// Tick refuses the requests that can no longer be handed over in time, and hands over where a pause has ended.
// It must be called at every TickInterval.
func (s *Scheduler) Tick() []Decision {
	s.init()
	for _, it := range s.Queue.Late(s.rate()) {
		s.refuse(s.waiting[it.ID], outcome.Overload)
	}
	s.strand()
	s.endpoints = slices.DeleteFunc(s.endpoints, func(e *endpoint) bool {
		if e.gone() {
			delete(s.byHost, e.report.Host)
			return true
		}
		return false
	})
	return s.pump()
}

// strand refuses the requests that no endpoint serves any more.
func (s *Scheduler) strand() {
	var lost []*Request
	for _, q := range s.waiting {
		if !s.serves(q) {
			lost = append(lost, q)
		}
	}
	slices.SortFunc(lost, func(a, b *Request) int { return strings.Compare(string(a.ID), string(b.ID)) })
	for _, q := range lost {
		s.Queue.Remove(&q.Item)
		s.refuse(q, outcome.NoEndpoint)
	}
}

// Stalls returns the requests that wait for a first token at an endpoint that shows no progress.
func (s *Scheduler) Stalls() []Stall {
	var out []Stall
	for _, e := range s.endpoints {
		limit := measure(s.endpoints, e.report.Set).stall
		if !e.stalled(limit) {
			continue
		}
		ids := e.est.Pending(limit)
		slices.Sort(ids)
		for _, id := range ids {
			out = append(out, Stall{Host: e.report.Host, ID: id})
		}
	}
	return out
}
