package scheduler_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/nutmegdock/nutmegdock/internal/core/fairqueue"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/outcome"
	"github.com/nutmegdock/nutmegdock/internal/core/retryadvisor"
	"github.com/nutmegdock/nutmegdock/internal/core/router"
	"github.com/nutmegdock/nutmegdock/internal/core/scheduler"
	"github.com/nutmegdock/nutmegdock/internal/messages"
	"github.com/nutmegdock/nutmegdock/internal/rapidtest"
)

const (
	set      = ident.WeightSet("s")
	orgLimit = 5
	capacity = 6
)

type inFlightRequest struct {
	host       ident.Host
	firstToken bool
}

// model is the oracle: it tracks queued and in-flight requests independently and checks every decision against them.
type model struct {
	rt           *rapid.T
	s            *scheduler.Scheduler
	reports      map[ident.Host]messages.Report
	leaving      map[ident.Host]bool
	incarnations map[ident.Host]int64
	waiting      map[ident.RequestID]*scheduler.Request
	inFlight     map[ident.RequestID]*inFlightRequest
	requests     map[ident.RequestID]*scheduler.Request
	startTime    time.Time
	submitted    int
}

func newModel(rt *rapid.T) *model {
	intn := func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "random") }
	m := &model{
		rt: rt, reports: make(map[ident.Host]messages.Report), leaving: make(map[ident.Host]bool),
		incarnations: make(map[ident.Host]int64),
		waiting:      make(map[ident.RequestID]*scheduler.Request), inFlight: make(map[ident.RequestID]*inFlightRequest),
		requests: make(map[ident.RequestID]*scheduler.Request), startTime: time.Now(),
	}
	m.s = &scheduler.Scheduler{
		Router:            &router.Router{Zone: "a", Intn: intn},
		Queue:             &fairqueue.Queue{Capacity: capacity, Weight: func(ident.Organisation) int { return 1 }},
		RetryAdvisor:      &retryadvisor.Advisor{Random: func() float64 { return 0.5 }},
		EntryHosts:        func() int { return 1 },
		Quota:             func(_ ident.Host, limit int) int { return limit },
		OrganisationLimit: func(ident.Organisation) int { return orgLimit },
	}
	return m
}

func (m *model) inFlightAt(h ident.Host) int {
	n := 0
	for _, r := range m.inFlight {
		if r.host == h {
			n++
		}
	}
	return n
}

func (m *model) inFlightOf(o ident.Organisation) int {
	n := 0
	for id := range m.inFlight {
		if m.requests[id].Organisation == o {
			n++
		}
	}
	return n
}

func (m *model) apply(decisions []scheduler.Decision) {
	for _, d := range decisions {
		id := d.Request.ID
		if m.waiting[id] != d.Request {
			m.rt.Fatalf("decision on request %s, which is not queued", id)
		}
		delete(m.waiting, id)
		if d.Err != nil {
			if d.Err.Kind != outcome.NotRun || d.Err.RetryAfter < time.Second {
				m.rt.Fatalf("refusal without the outcome not-run or with a retry delay below 1 s: %+v", d.Err)
			}
			continue
		}
		m.checkDispatch(d)
	}
}

func (m *model) checkDispatch(d scheduler.Decision) {
	h := d.Candidate.Host
	r := m.reports[h]
	if !r.GateOpen || r.Leaving || m.leaving[h] {
		m.rt.Fatalf("request was dispatched to endpoint %s, which is closed or leaving", h)
	}
	if d.Request.TriedHosts[h] {
		m.rt.Fatalf("request was dispatched to endpoint %s, which it had already tried", h)
	}
	m.inFlight[d.Request.ID] = &inFlightRequest{host: h}
	if n := m.inFlightAt(h); n > r.Slots {
		m.rt.Fatalf("%d requests in flight at endpoint %s, which has %d slots", n, h, r.Slots)
	}
	if n := m.inFlightOf(d.Request.Organisation); n > orgLimit {
		m.rt.Fatalf("%d requests of organisation %s in flight, limit is %d", n, d.Request.Organisation, orgLimit)
	}
}

func (m *model) report(h ident.Host, open bool) {
	old := m.reports[h]
	slots := old.Slots
	if slots == 0 {
		slots = rapid.IntRange(1, 4).Draw(m.rt, "slots")
	}
	zone := ident.Zone("a")
	if h >= "h3" {
		zone = "b"
	}
	r := messages.Report{
		Host: h, Zone: zone, ServedSet: set, DataAddress: string(h), StartTime: m.incarnations[h], GateOpen: open, Slots: slots, InFlight: m.inFlightAt(h),
		SentMs: time.Since(m.startTime).Milliseconds(), MaxIntervalSeconds: 1000,
	}
	m.reports[h] = r
	m.apply(m.s.ApplyReport(r))
}

func (m *model) submit() {
	m.submitted++
	tried := make(map[ident.Host]bool)
	if rapid.Bool().Draw(m.rt, "retry") {
		tried[m.drawHost()] = true
	}
	maxWait := time.Duration(rapid.IntRange(1, 3000).Draw(m.rt, "max wait")) * time.Millisecond
	q := &scheduler.Request{WeightSets: []ident.WeightSet{set}, TriedHosts: tried}
	q.ID = ident.RequestID(fmt.Sprintf("r%04d", m.submitted))
	q.Organisation = ident.Organisation(fmt.Sprint(rapid.IntRange(0, 2).Draw(m.rt, "organisation")))
	q.Class = fairqueue.Class(rapid.IntRange(0, 2).Draw(m.rt, "class"))
	q.Cost = 1
	q.Deadline = time.Now().Add(maxWait)
	m.requests[q.ID] = q
	m.waiting[q.ID] = q
	m.apply(m.s.Submit(q))
}

func (m *model) drawHost() ident.Host {
	return ident.Host(fmt.Sprintf("h%d", rapid.IntRange(0, 4).Draw(m.rt, "host")))
}

func (m *model) drawInFlight() (ident.RequestID, *inFlightRequest) {
	var ids []ident.RequestID
	for id := range m.inFlight {
		ids = append(ids, id)
	}
	if len(ids) == 0 {
		return "", nil
	}
	slices.Sort(ids)
	id := rapid.SampledFrom(ids).Draw(m.rt, "request")
	return id, m.inFlight[id]
}

func (m *model) firstToken() {
	if id, r := m.drawInFlight(); r != nil {
		r.firstToken = true
		m.apply(m.s.RecordFirstToken(r.host, id))
	}
}

func (m *model) end() {
	id, r := m.drawInFlight()
	if r == nil {
		return
	}
	completion := rapid.SampledFrom([]scheduler.Completion{scheduler.Completed, scheduler.Completed, scheduler.Refused, scheduler.Failed}).Draw(m.rt, "end")
	delete(m.inFlight, id)
	m.apply(m.s.Finish(r.host, id, completion))
	// Ending a request twice must not release two slots.
	m.apply(m.s.Finish(r.host, id, completion))
}

func (m *model) cancel() {
	for _, id := range sortedIDs(m.waiting) {
		decisions, ok := m.s.Cancel(id)
		if !ok {
			m.rt.Fatalf("queued request %s cannot be cancelled", id)
		}
		delete(m.waiting, id)
		m.apply(decisions)
		return
	}
}

func sortedIDs(in map[ident.RequestID]*scheduler.Request) []ident.RequestID {
	var out []ident.RequestID
	for id := range in {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

func (m *model) leave() {
	h := m.drawHost()
	if _, ok := m.reports[h]; ok {
		m.leaving[h] = true
	}
	m.apply(m.s.MarkLeaving(h, m.incarnations[h]))
	m.checkServable()
}

// restart starts a new incarnation of a host, which accepts requests again.
func (m *model) restart() {
	h := m.drawHost()
	m.incarnations[h]++
	delete(m.leaving, h)
	m.report(h, true)
}

// checkServable fails if a request is queued that no endpoint may serve.
func (m *model) checkServable() {
	for id, q := range m.waiting {
		if !m.servable(q) {
			m.rt.Fatalf("request %s is queued although all endpoints are closed, leaving or already tried", id)
		}
	}
}

func (m *model) tick() {
	m.apply(m.s.Tick())
	for id, q := range m.waiting {
		if !time.Now().Before(q.Deadline) {
			m.rt.Fatalf("request %s is queued past its deadline", id)
		}
	}
	m.checkServable()
}

// servable reports whether an endpoint may serve the request, now or later.
func (m *model) servable(q *scheduler.Request) bool {
	for h, r := range m.reports {
		if r.GateOpen && !m.leaving[h] && !q.TriedHosts[h] {
			return true
		}
	}
	return false
}

func (m *model) check() {
	status := m.s.Status()
	if status.Queued != len(m.waiting) || status.Queued > capacity {
		m.rt.Fatalf("%d requests are queued, the oracle has %d", status.Queued, len(m.waiting))
	}
	if status.InFlight != len(m.inFlight) {
		m.rt.Fatalf("%d requests are in flight, the oracle has %d", status.InFlight, len(m.inFlight))
	}
	for _, e := range status.Endpoints {
		if e.LocalInFlight != m.inFlightAt(e.Host) {
			m.rt.Fatalf("endpoint %s has %d requests in flight, the oracle has %d", e.Host, e.LocalInFlight, m.inFlightAt(e.Host))
		}
		m.checkWorkConserving(e, status.HighPriorityOnly)
	}
	m.checkReserve(status)
}

// checkReserve fails if more than a sixteenth of the capacity plus one slot is withheld from the lower classes.
func (m *model) checkReserve(status scheduler.Status) {
	limits := 0
	for _, e := range status.Endpoints {
		if r := m.reports[e.Host]; r.GateOpen && !m.leaving[e.Host] {
			limits += e.Limit
		}
	}
	if reserved := limits - status.InFlight; status.HighPriorityOnly && reserved > limits/16+1 {
		m.rt.Fatalf("%d of %d slots are reserved for high priority", reserved, limits)
	}
}

// checkWorkConserving fails if a request is queued that the endpoint has capacity for.
func (m *model) checkWorkConserving(e scheduler.EndpointStatus, highPriorityOnly bool) {
	if !e.Available {
		return
	}
	for id, q := range m.waiting {
		if highPriorityOnly && q.Class != fairqueue.High {
			continue
		}
		if !q.TriedHosts[e.Host] && m.inFlightOf(q.Organisation) < orgLimit && m.isHead(q) {
			m.rt.Fatalf("request %s is queued while endpoint %s has capacity", id, e.Host)
		}
	}
}

// isHead reports whether a request is the first in the queue of its organisation and class.
func (m *model) isHead(q *scheduler.Request) bool {
	for _, o := range m.waiting {
		if o.Organisation == q.Organisation && o.Class == q.Class && o.ID < q.ID {
			return false
		}
	}
	return true
}

// TestStateScheduler runs random operations and compares the scheduler with the oracle after each.
func TestStateScheduler(t *testing.T) {
	rapidtest.Check(t, func(_ *testing.T, rt *rapid.T) {
		m := newModel(rt)
		for i := range 5 {
			m.report(ident.Host(fmt.Sprintf("h%d", i)), true)
		}
		for range 120 {
			switch rapid.IntRange(0, 19).Draw(rt, "operation") {
			case 0, 1, 2, 3, 4, 5, 6, 7:
				m.submit()
			case 8, 9, 10:
				m.firstToken()
			case 11, 12, 13:
				m.end()
			case 14:
				m.cancel()
			case 15:
				switch rapid.IntRange(0, 5).Draw(rt, "leave") {
				case 0, 1:
					m.leave()
				case 2:
					m.restart()
				}
			case 16:
				m.report(m.drawHost(), rapid.IntRange(0, 4).Draw(rt, "open") > 0)
			default:
				time.Sleep(time.Duration(rapid.IntRange(1, 400).Draw(rt, "sleep")) * time.Millisecond)
				m.tick()
			}
			m.check()
		}
		m.finish()
	})
}

// finish ends all requests and fails if one is never decided or a slot is not released.
func (m *model) finish() {
	for range 1000 {
		if len(m.inFlight) == 0 && len(m.waiting) == 0 {
			break
		}
		for _, id := range sortedIDs(m.requests) {
			if r, ok := m.inFlight[id]; ok {
				delete(m.inFlight, id)
				m.apply(m.s.Finish(r.host, id, scheduler.Completed))
			}
		}
		time.Sleep(100 * time.Millisecond)
		m.tick()
	}
	m.check()
	if len(m.waiting) > 0 {
		m.rt.Fatalf("%d requests are still queued after all others have ended", len(m.waiting))
	}
}

// When the last endpoint closes, queued requests must be refused by the report itself, not by the next tick.
func TestClosingReportRefusesQueuedRequests(t *testing.T) {
	is := is.New(t)
	s := &scheduler.Scheduler{
		Router:       &router.Router{Zone: "a", Intn: func(int) int { return 0 }},
		Queue:        &fairqueue.Queue{Capacity: 4, Weight: func(ident.Organisation) int { return 1 }},
		RetryAdvisor: &retryadvisor.Advisor{Random: func() float64 { return 0.5 }}, EntryHosts: func() int { return 1 },
		Quota:             func(_ ident.Host, limit int) int { return limit },
		OrganisationLimit: func(ident.Organisation) int { return 0 },
	}
	r := messages.Report{Host: "h", Zone: "a", ServedSet: set, StartTime: 1, GateOpen: true, Slots: 1, MaxIntervalSeconds: 10}
	s.ApplyReport(r)
	for _, id := range []ident.RequestID{"first", "second"} {
		q := &scheduler.Request{WeightSets: []ident.WeightSet{set}}
		q.ID, q.Organisation, q.Class, q.Cost = id, "o", fairqueue.High, 1
		q.Deadline = time.Now().Add(time.Minute)
		s.Submit(q)
	}
	is.Equal(s.Status().Queued, 1)
	r.GateOpen, r.SentMs = false, 1
	decisions := s.ApplyReport(r)
	is.Equal(len(decisions), 1)
	is.True(decisions[0].Err != nil)
	is.Equal(s.Status().Queued, 0)
}

// A leaving host stays unavailable until a report of a later incarnation; reports of the same or an earlier one do not
// count.
func TestLeavingEndpointReopensOnReportOfLaterIncarnation(t *testing.T) {
	is := is.New(t)
	s := &scheduler.Scheduler{
		Router:       &router.Router{Zone: "a", Intn: func(int) int { return 0 }},
		Queue:        &fairqueue.Queue{Capacity: 4, Weight: func(ident.Organisation) int { return 1 }},
		RetryAdvisor: &retryadvisor.Advisor{Random: func() float64 { return 0.5 }}, EntryHosts: func() int { return 1 },
		Quota:             func(_ ident.Host, limit int) int { return limit },
		OrganisationLimit: func(ident.Organisation) int { return 0 },
	}
	r := messages.Report{Host: "h", Zone: "a", ServedSet: set, StartTime: 2, GateOpen: true, Slots: 1, MaxIntervalSeconds: 10}
	s.ApplyReport(r)
	s.MarkLeaving("h", 2)
	r.SentMs++
	s.ApplyReport(r)
	is.True(!s.Status().Endpoints[0].Available)
	r.StartTime = 1
	s.ApplyReport(r)
	is.True(!s.Status().Endpoints[0].Available)
	r.StartTime = 3
	r.SentMs = 0
	s.ApplyReport(r)
	is.True(s.Status().Endpoints[0].Available)
}
