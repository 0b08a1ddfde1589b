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

type running struct {
	host  ident.Host
	first bool
}

// model is the oracle: it counts by itself what the scheduler may and must do.
type model struct {
	rt       *rapid.T
	s        *scheduler.Scheduler
	reports  map[ident.Host]messages.Report
	left     map[ident.Host]bool
	births   map[ident.Host]int64
	waiting  map[ident.Request]*scheduler.Request
	running  map[ident.Request]*running
	requests map[ident.Request]*scheduler.Request
	begin    time.Time
	n        int
}

func newModel(rt *rapid.T) *model {
	intn := func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "random") }
	m := &model{
		rt: rt, reports: make(map[ident.Host]messages.Report), left: make(map[ident.Host]bool), births: make(map[ident.Host]int64),
		waiting: make(map[ident.Request]*scheduler.Request), running: make(map[ident.Request]*running),
		requests: make(map[ident.Request]*scheduler.Request), begin: time.Now(),
	}
	m.s = &scheduler.Scheduler{
		Router:       &router.Router{Zone: "a", Intn: intn},
		Queue:        &fairqueue.Queue{Capacity: capacity, Weight: func(ident.Organisation) int { return 1 }},
		RetryAdvisor: &retryadvisor.Advisor{Float64: func() float64 { return 0.5 }},
		EntryHosts:   func() int { return 1 },
		Part:         func(_ ident.Host, limit int) int { return limit },
		Limit:        func(ident.Organisation) int { return orgLimit },
	}
	return m
}

func (m *model) own(h ident.Host) int {
	n := 0
	for _, r := range m.running {
		if r.host == h {
			n++
		}
	}
	return n
}

func (m *model) ofOrg(o ident.Organisation) int {
	n := 0
	for id := range m.running {
		if m.requests[id].Organisation == o {
			n++
		}
	}
	return n
}

func (m *model) take(ds []scheduler.Decision) {
	for _, d := range ds {
		id := d.Request.ID
		if m.waiting[id] != d.Request {
			m.rt.Fatalf("request %s was decided but does not wait", id)
		}
		delete(m.waiting, id)
		if d.Err != nil {
			if d.Err.Kind != outcome.NotRun || d.Err.After < time.Second {
				m.rt.Fatalf("refusal without outcome or time to come back: %+v", d.Err)
			}
			continue
		}
		m.granted(d)
	}
}

func (m *model) granted(d scheduler.Decision) {
	h := d.Candidate.Host
	r := m.reports[h]
	if !r.Open || r.Leaving || m.left[h] {
		m.rt.Fatalf("closed or leaving endpoint %s was chosen", h)
	}
	if d.Request.Tried[h] {
		m.rt.Fatalf("endpoint %s was tried already", h)
	}
	m.running[d.Request.ID] = &running{host: h}
	if n := m.own(h); n > r.Slots {
		m.rt.Fatalf("%d requests at endpoint %s with %d slots", n, h, r.Slots)
	}
	if n := m.ofOrg(d.Request.Organisation); n > orgLimit {
		m.rt.Fatalf("%d requests of %s, limit is %d", n, d.Request.Organisation, orgLimit)
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
		Host: h, Zone: zone, Set: set, Data: string(h), Birth: m.births[h], Open: open, Slots: slots, Running: m.own(h),
		Time: time.Since(m.begin).Milliseconds(), Every: 1000,
	}
	m.reports[h] = r
	m.take(m.s.Report(r))
}

func (m *model) submit() {
	m.n++
	tried := make(map[ident.Host]bool)
	if rapid.Bool().Draw(m.rt, "retry") {
		tried[m.host()] = true
	}
	patience := time.Duration(rapid.IntRange(1, 3000).Draw(m.rt, "patience")) * time.Millisecond
	q := &scheduler.Request{Sets: []ident.WeightSet{set}, Tried: tried}
	q.ID = ident.Request(fmt.Sprintf("r%04d", m.n))
	q.Organisation = ident.Organisation(fmt.Sprint(rapid.IntRange(0, 2).Draw(m.rt, "organisation")))
	q.Class = fairqueue.Class(rapid.IntRange(0, 2).Draw(m.rt, "class"))
	q.Cost = 1
	q.Deadline = time.Now().Add(patience)
	m.requests[q.ID] = q
	m.waiting[q.ID] = q
	m.take(m.s.Submit(q))
}

func (m *model) host() ident.Host {
	return ident.Host(fmt.Sprintf("h%d", rapid.IntRange(0, 4).Draw(m.rt, "host")))
}

func (m *model) pick() (ident.Request, *running) {
	var ids []ident.Request
	for id := range m.running {
		ids = append(ids, id)
	}
	if len(ids) == 0 {
		return "", nil
	}
	slices.Sort(ids)
	id := rapid.SampledFrom(ids).Draw(m.rt, "request")
	return id, m.running[id]
}

func (m *model) first() {
	if id, r := m.pick(); r != nil {
		r.first = true
		m.take(m.s.First(r.host, id))
	}
}

func (m *model) end() {
	id, r := m.pick()
	if r == nil {
		return
	}
	how := rapid.SampledFrom([]scheduler.End{scheduler.Done, scheduler.Done, scheduler.Refused, scheduler.Lost}).Draw(m.rt, "end")
	delete(m.running, id)
	m.take(m.s.End(r.host, id, how))
	// A second end must not free a second slot.
	m.take(m.s.End(r.host, id, how))
}

func (m *model) cancel() {
	for _, id := range sorted(m.waiting) {
		ds, ok := m.s.Cancel(id)
		if !ok {
			m.rt.Fatalf("request %s waits but cannot be cancelled", id)
		}
		delete(m.waiting, id)
		m.take(ds)
		return
	}
}

func sorted(in map[ident.Request]*scheduler.Request) []ident.Request {
	var out []ident.Request
	for id := range in {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

func (m *model) leave() {
	h := m.host()
	if _, ok := m.reports[h]; ok {
		m.left[h] = true
	}
	m.take(m.s.Leave(h, m.births[h]))
	m.stranded()
}

// rebirth starts a host anew, which takes work again.
func (m *model) rebirth() {
	h := m.host()
	m.births[h]++
	delete(m.left, h)
	m.report(h, true)
}

// stranded fails if a request waits that no endpoint may take.
func (m *model) stranded() {
	for id, q := range m.waiting {
		if !m.served(q) {
			m.rt.Fatalf("request %s waits for endpoints that are all closed, leaving or tried", id)
		}
	}
}

func (m *model) tick() {
	m.take(m.s.Tick())
	for id, q := range m.waiting {
		if !time.Now().Before(q.Deadline) {
			m.rt.Fatalf("request %s waits past its deadline", id)
		}
	}
	m.stranded()
}

// served tells whether an endpoint may take the request, now or later.
func (m *model) served(q *scheduler.Request) bool {
	for h, r := range m.reports {
		if r.Open && !m.left[h] && !q.Tried[h] {
			return true
		}
	}
	return false
}

func (m *model) check() {
	st := m.s.Status()
	if st.Waiting != len(m.waiting) || st.Waiting > capacity {
		m.rt.Fatalf("%d requests wait, the oracle has %d", st.Waiting, len(m.waiting))
	}
	if st.Running != len(m.running) {
		m.rt.Fatalf("%d requests run, the oracle has %d", st.Running, len(m.running))
	}
	for _, e := range st.Endpoints {
		if e.Own != m.own(e.Host) {
			m.rt.Fatalf("endpoint %s holds %d slots, the oracle has %d", e.Host, e.Own, m.own(e.Host))
		}
		m.conserving(e, st.Keep)
	}
	m.kept(st)
}

// kept fails if room is kept from lower classes without need: more than a sixteenth of all, or a slot more.
func (m *model) kept(st scheduler.Status) {
	limits := 0
	for _, e := range st.Endpoints {
		if r := m.reports[e.Host]; r.Open && !m.left[e.Host] {
			limits += e.Limit
		}
	}
	if kept := limits - st.Running; st.Keep && kept > limits/16+1 {
		m.rt.Fatalf("room for %d of %d requests is kept free", kept, limits)
	}
}

// conserving fails if a request waits that the endpoint could take.
func (m *model) conserving(e scheduler.EndpointStatus, keep bool) {
	if !e.Free {
		return
	}
	for id, q := range m.waiting {
		if keep && q.Class != fairqueue.High {
			continue
		}
		if !q.Tried[e.Host] && m.ofOrg(q.Organisation) < orgLimit && m.head(q) {
			m.rt.Fatalf("request %s waits while endpoint %s has room", id, e.Host)
		}
	}
}

// head tells whether a request is the first of its organisation and class.
func (m *model) head(q *scheduler.Request) bool {
	for _, o := range m.waiting {
		if o.Organisation == q.Organisation && o.Class == q.Class && o.ID < q.ID {
			return false
		}
	}
	return true
}

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
				m.first()
			case 11, 12, 13:
				m.end()
			case 14:
				m.cancel()
			case 15:
				switch rapid.IntRange(0, 5).Draw(rt, "leave") {
				case 0, 1:
					m.leave()
				case 2:
					m.rebirth()
				}
			case 16:
				m.report(m.host(), rapid.IntRange(0, 4).Draw(rt, "open") > 0)
			default:
				time.Sleep(time.Duration(rapid.IntRange(1, 400).Draw(rt, "sleep")) * time.Millisecond)
				m.tick()
			}
			m.check()
		}
		m.finish()
	})
}

// finish lets all requests end, and expects no slot to be held then.
func (m *model) finish() {
	for range 1000 {
		if len(m.running) == 0 && len(m.waiting) == 0 {
			break
		}
		for _, id := range sorted(m.requests) {
			if r, ok := m.running[id]; ok {
				delete(m.running, id)
				m.take(m.s.End(r.host, id, scheduler.Done))
			}
		}
		time.Sleep(100 * time.Millisecond)
		m.tick()
	}
	m.check()
	if len(m.waiting) > 0 {
		m.rt.Fatalf("%d requests were never decided", len(m.waiting))
	}
}

// A request must not wait for a tick to learn that the last endpoint has closed.
func TestClosingReportRefusesWaitingRequests(t *testing.T) {
	is := is.New(t)
	s := &scheduler.Scheduler{
		Router:       &router.Router{Zone: "a", Intn: func(int) int { return 0 }},
		Queue:        &fairqueue.Queue{Capacity: 4, Weight: func(ident.Organisation) int { return 1 }},
		RetryAdvisor: &retryadvisor.Advisor{Float64: func() float64 { return 0.5 }}, EntryHosts: func() int { return 1 },
		Part:  func(_ ident.Host, limit int) int { return limit },
		Limit: func(ident.Organisation) int { return 0 },
	}
	r := messages.Report{Host: "h", Zone: "a", Set: set, Birth: 1, Open: true, Slots: 1, Every: 10}
	s.Report(r)
	for _, id := range []ident.Request{"first", "second"} {
		q := &scheduler.Request{Sets: []ident.WeightSet{set}}
		q.ID, q.Organisation, q.Class, q.Cost = id, "o", fairqueue.High, 1
		q.Deadline = time.Now().Add(time.Minute)
		s.Submit(q)
	}
	is.Equal(s.Status().Waiting, 1)
	r.Open, r.Time = false, 1
	ds := s.Report(r)
	is.Equal(len(ds), 1)
	is.True(ds[0].Err != nil)
	is.Equal(s.Status().Waiting, 0)
}

func TestReportOfAnotherBirthReopens(t *testing.T) {
	is := is.New(t)
	s := &scheduler.Scheduler{
		Router:       &router.Router{Zone: "a", Intn: func(int) int { return 0 }},
		Queue:        &fairqueue.Queue{Capacity: 4, Weight: func(ident.Organisation) int { return 1 }},
		RetryAdvisor: &retryadvisor.Advisor{Float64: func() float64 { return 0.5 }}, EntryHosts: func() int { return 1 },
		Part:  func(_ ident.Host, limit int) int { return limit },
		Limit: func(ident.Organisation) int { return 0 },
	}
	r := messages.Report{Host: "h", Zone: "a", Set: set, Birth: 2, Open: true, Slots: 1, Every: 10}
	s.Report(r)
	s.Leave("h", 2)
	r.Time++
	s.Report(r)
	is.True(!s.Status().Endpoints[0].Free)
	r.Birth = 1
	s.Report(r)
	is.True(!s.Status().Endpoints[0].Free)
	r.Birth = 3
	r.Time = 0
	s.Report(r)
	is.True(s.Status().Endpoints[0].Free)
}
