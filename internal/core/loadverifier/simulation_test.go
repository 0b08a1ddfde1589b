package loadverifier_test

import (
	"math"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/loadverifier"
	"github.com/nutmegdock/nutmegdock/internal/core/rolloutplanner"
)

const (
	model       = fleetconfig.Model("m")
	callTimeout = 2 * time.Second
	// tolerance is how long a chunk may have been corrupt when an engine takes it.
	tolerance = 3 * time.Second
)

// timing is how long a call takes until the engine carries it out, and until the caller goes on.
type timing struct {
	effect, end time.Duration
	result      loadverifier.Result
	isLost      bool
}

// event is something that happens at a time.
type event struct {
	at        time.Duration
	isCall    bool // it ends with the engine's incarnation
	isCommand bool
	do        func()
}

// taken is a layer that the engine holds, with the longest time for which one of its chunks had been bad when it was taken.
type taken struct {
	release fleetconfig.Release
	bad     time.Duration
}

// simulation is an engine and an executor of the verifier's steps in virtual time.
type simulation struct {
	rt             *rapid.T
	now            time.Duration
	layers, chunks int
	events         []event
	timing         func() timing
	loadTime       time.Duration
	// mayTakeBad says that an acceptance may take chunks that have been bad for too long.
	mayTakeBad bool

	staged   []int
	lastGood []map[int]time.Duration
	start    int64
	count    int64
	held     map[int]taken
	loading  bool
	history  []snapshot

	v       *loadverifier.Verifier
	born    time.Duration
	release fleetconfig.Release
	ranges  []fleetconfig.LayerRange
	isOpen  bool
	openFor int64
	// distrust is set while an engine of unknown state has not been reported on.
	excuse      bool
	excuseUntil time.Duration
	reportLag   func() time.Duration

	writes, reads, commands, reports int
	log                              []string
}

type snapshot struct {
	at     time.Duration
	report rolloutplanner.Report
}

func newSimulation(rt *rapid.T, layers, chunks int) *simulation {
	s := &simulation{
		rt: rt, layers: layers, chunks: chunks, start: 1, release: 1, held: map[int]taken{}, staged: make([]int, chunks),
		lastGood: make([]map[int]time.Duration, chunks), loadTime: 200 * time.Millisecond,
		ranges: []fleetconfig.LayerRange{{}}, v: &loadverifier.Verifier{},
		reportLag: func() time.Duration { return 0 },
	}
	for i := range s.lastGood {
		s.lastGood[i] = map[int]time.Duration{}
	}
	s.fixed(400 * time.Microsecond)
	s.snapshot()
	s.begin()
	return s
}

// fixed has all calls take the same time from now on.
func (s *simulation) fixed(d time.Duration) {
	s.timing = func() timing { return timing{effect: d / 2, end: d} }
}

func (s *simulation) served() fleetconfig.ServedModel {
	return fleetconfig.ServedModel{Model: model, Release: s.release}
}

func (s *simulation) begin() {
	s.v.Begin(s.served(), s.layers, s.chunks, s.ranges[0])
}

// digest returns the bytes of a chunk. Releases share every third chunk. Zero stands for corrupt bytes.
func digest(r fleetconfig.Release, chunk int) int {
	if chunk%3 == 0 {
		return 1
	}
	return int(r)
}

// advance moves to a time and has everything happen that is due.
func (s *simulation) advance(to time.Duration) {
	for {
		next := -1
		for i, e := range s.events {
			if e.at <= to && (next < 0 || e.at < s.events[next].at) {
				next = i
			}
		}
		if next < 0 {
			break
		}
		e := s.events[next]
		s.events = slices.Delete(s.events, next, next+1)
		s.now = max(s.now, e.at)
		e.do()
		s.check()
	}
	s.now = max(s.now, to)
}

func (s *simulation) at(t time.Duration, isCall bool, do func()) {
	s.events = append(s.events, event{at: t, isCall: isCall, do: do})
}

// put replaces a staged chunk.
func (s *simulation) put(chunk, bytes int) {
	s.lastGood[chunk][s.staged[chunk]] = s.now
	s.staged[chunk] = bytes
}

// badFor returns for how long a staged chunk has not had the bytes of a release.
func (s *simulation) badFor(r fleetconfig.Release, chunk int) time.Duration {
	if s.staged[chunk] == digest(r, chunk) {
		return 0
	}
	if good, ok := s.lastGood[chunk][digest(r, chunk)]; ok {
		return s.now - good
	}
	return math.MaxInt64
}

func (s *simulation) span(r fleetconfig.LayerRange) (from, to int) {
	n := max(1, s.layers)
	if s.layers == 0 || r.CoversAll(n) {
		return 0, n
	}
	return r.From, r.To
}

// accept has the engine take a command.
func (s *simulation) accept(r fleetconfig.Release, layers fleetconfig.LayerRange, count int64) loadverifier.Result {
	from, to := s.span(layers)
	isHeld := !s.loading && len(s.held) == to-from
	for l := from; l < to; l++ {
		isHeld = isHeld && s.held[l].release == r
	}
	if isHeld {
		return loadverifier.Done
	}
	if s.loading || count != s.count {
		return loadverifier.Refused
	}
	s.count++
	next, all := map[int]taken{}, map[int]taken{}
	for l := from; l < to; l++ {
		if h, ok := s.held[l]; ok && h.release == r {
			next[l], all[l] = h, h
			continue
		}
		t := taken{release: r}
		a, b := fleetconfig.LayerRange{From: l, To: l + 1}.ChunkRange(max(1, s.layers), s.chunks)
		for i := a; i < b; i++ {
			t.bad = max(t.bad, s.badFor(r, i))
		}
		if t.bad > tolerance && !s.mayTakeBad {
			s.fail("the engine took layer %d at %v with a chunk that had been bad for %v", l, s.now, t.bad)
		}
		all[l] = t
	}
	s.loading, s.held = true, next
	start := s.start
	s.at(s.now+s.loadTime*time.Duration(len(all)-len(next))/time.Duration(max(1, s.layers)), true, func() {
		if s.start == start {
			s.loading, s.held = false, all
			s.snapshot()
		}
	})
	s.snapshot()
	return loadverifier.Done
}

func (s *simulation) snapshot() {
	r := rolloutplanner.Report{Loading: s.loading, LoadCommands: s.count, StartTime: s.start}
	for l, t := range s.held {
		if len(r.Loaded) == 0 {
			r.Loaded = []fleetconfig.ServedModel{{Model: model, Release: t.release}}
			r.Layers = fleetconfig.LayerRange{From: l, To: l + 1}
		}
		r.Layers = fleetconfig.LayerRange{From: min(r.Layers.From, l), To: max(r.Layers.To, l+1)}
	}
	s.history = append(s.history, snapshot{s.now, r})
}

// restartEngine ends the engine's incarnation. Calls that it has not carried out end with it.
func (s *simulation) restartEngine() {
	s.start++
	s.count, s.loading, s.held = 0, false, map[int]taken{}
	s.events = slices.DeleteFunc(s.events, func(e event) bool { return e.isCall })
	s.snapshot()
}

// restartAgent replaces the verifier by one that knows what the gate state says, or nothing.
func (s *simulation) restartAgent(knowsGate bool) {
	i := loadverifier.Inherited{StartTime: s.openFor, Served: s.served(), Closed: !s.isOpen, OpenWrites: s.v.OpenWrites() > 0}
	s.v, s.born = &loadverifier.Verifier{}, s.now
	if knowsGate {
		s.v.Inherit(i)
	}
	s.excuse = s.excuse || !knowsGate
	s.begin()
}

func (s *simulation) call(t timing, sent time.Duration) loadverifier.Call {
	return loadverifier.Call{Sent: sent - s.born, Ended: sent + t.end - s.born, Result: t.result}
}

// step carries out what the verifier asks for.
func (s *simulation) step() loadverifier.Step {
	step := s.v.Next(s.now - s.born)
	switch step.Kind {
	case loadverifier.StepWrite, loadverifier.StepRead:
		for n := max(1, step.Parallel); len(step.Chunks) > 0; step.Chunks = step.Chunks[min(n, len(step.Chunks)):] {
			s.transfer(step.Kind, step.Chunks[:min(n, len(step.Chunks))])
		}
	case loadverifier.StepCommand:
		s.command(step)
	case loadverifier.StepReport:
		s.report()
	case loadverifier.StepDone:
		s.advance(s.now + 100*time.Millisecond)
		s.report()
	}
	s.setGate(s.v.Proven())
	return step
}

// transfer writes or reads chunks side by side.
func (s *simulation) transfer(kind loadverifier.StepKind, chunks []int) {
	sent, end := s.now, s.now
	var records []func()
	for _, i := range chunks {
		t := s.timing()
		c := s.call(t, sent)
		end = max(end, sent+t.end)
		if kind == loadverifier.StepWrite {
			s.writes++
			bytes := digest(s.release, i)
			if t.result != loadverifier.Refused && !t.isLost {
				s.at(sent+t.effect, true, func() { s.put(i, bytes) })
			}
			records = append(records, func() { s.v.RecordWrite(i, c, true) })
			continue
		}
		s.reads++
		intact := false
		s.at(sent+min(t.effect, t.end), true, func() { intact = s.staged[i] == digest(s.release, i) })
		records = append(records, func() { s.v.RecordRead(i, c, intact) })
	}
	s.advance(end)
	for _, record := range records {
		record()
	}
}

func (s *simulation) command(step loadverifier.Step) {
	s.setGate(false)
	s.advance(s.now + 20*time.Millisecond) // the entry hosts have received the closing of the gate
	if !s.v.MayCommand(s.now-s.born, step.Layers) {
		return
	}
	s.commands++
	t := s.timing()
	c := s.call(t, s.now)
	r := s.release
	if t.result != loadverifier.Refused && !t.isLost {
		s.at(s.now+t.effect, true, func() {
			result := s.accept(r, step.Layers, step.Accepted)
			if c.Result == loadverifier.Done {
				c.Result = result
			}
		})
	}
	start := s.start
	s.advance(s.now + t.end)
	if s.start != start && c.Result == loadverifier.Done {
		c.Result = loadverifier.Open
	}
	s.v.RecordCommand(step.Layers, c)
}

func (s *simulation) report() {
	s.reports++
	t := s.timing()
	c := s.call(t, s.now)
	seen := max(0, s.now+min(t.effect, t.end)-s.reportLag())
	s.advance(s.now + t.end)
	if c.Result == loadverifier.Done {
		i, _ := slices.BinarySearchFunc(s.history, seen+1, func(h snapshot, t time.Duration) int { return int(h.at - t) })
		r := s.history[i-1].report
		if s.excuse {
			for l, t := range s.held {
				s.held[l] = taken{release: t.release}
			}
			s.excuse = false
		}
		s.v.RecordReport(c, r)
		s.openFor = r.StartTime
	} else {
		s.v.RecordReport(c, rolloutplanner.Report{})
	}
	if r := s.history[len(s.history)-1].report; r.Loading {
		s.advance(s.now + 30*time.Millisecond)
	}
}

func (s *simulation) setGate(isOpen bool) {
	s.isOpen = isOpen
	s.check()
}

// check fails if the engine makes tokens with a layer that it took when a chunk had been bad for too long.
func (s *simulation) check() {
	if !s.isOpen || s.excuse || s.openFor != s.start {
		return
	}
	for l, t := range s.held {
		if t.bad > tolerance {
			s.fail("at %v the gate is open, and layer %d was taken with a chunk that had been bad for %v", s.now, l, t.bad)
		}
	}
}

func (s *simulation) fail(format string, args ...any) {
	s.rt.Fatalf(format, args...)
}

// serves reports whether the engine holds all layers of the newest release with the gate open.
func (s *simulation) serves() bool {
	if !s.isOpen || s.openFor != s.start || len(s.held) != max(1, s.layers) {
		return false
	}
	for _, t := range s.held {
		if t.release != s.release {
			return false
		}
	}
	return true
}
