package assigner_test

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/assigner"
	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/loadtracker"
	"github.com/nutmegdock/nutmegdock/internal/core/zonebalancer"
)

const (
	latencyInZone, latencyBetweenZones = 100 * time.Microsecond, time.Millisecond
	replayReplyTimeout                 = 15 * time.Millisecond
	replayConnectTimeout               = 250 * time.Millisecond
	// maxLinkQueue is the time in which a link sends all that it buffers.
	maxLinkQueue        = time.Second
	replayProbeInterval = 250 * time.Millisecond
	// meanPromptShare and meanResponseShare are the means of the sizes that submitZone draws, as shares of those of the
	// engine profile. An engine generates a multiple of StepsPerPass tokens: roundingTokens more on average.
	meanPromptShare, meanResponseShare, roundingTokens = 0.9502, 0.9179, 2
	// Sizes of what crosses a link, in bytes.
	loadMessageBytes, bytesPerPromptToken, bytesPerResponseToken = 100, 4, 30
)

// decision is the rule that a zoneReplay uses for other zones.
type decision int

const (
	balanced decision = iota
	// former queries other zones once the own one cannot serve a request, at a fixed margin.
	former
	// oracle knows all loads without delay, and uses another zone only if no endpoint of the own one can serve the
	// request in time.
	oracle
)

// zoneReplay simulates requests to hosts in several zones, with messages and responses that cross the links between the
// zones. load, bandwidth and isCut depend on the time since the start; nil stands for unlimited links that are not cut.
type zoneReplay struct {
	hosts, engines []int
	seconds        int
	decision       decision
	// load returns the request rate of a zone as a multiple of the capacity of its engines.
	load func(zone int, at time.Duration) float64
	// bandwidth returns the bytes per second from one zone to another.
	bandwidth func(from, to int, at time.Duration) float64
	// isCut reports whether nothing passes between two zones.
	isCut func(a, b int, at time.Duration) bool
	// evacuated returns a zone that must not be used, or -1.
	evacuated func(at time.Duration) int
	// isRegular makes the requests of a zone arrive at equal intervals.
	isRegular bool
	seed      uint64
}

// zoneResult counts the requests of the zones by the second of their arrival.
type zoneResult struct {
	inTime, late, refused, total [][]float64
	// away counts those that were sent to another zone.
	away [][]float64
	// bytesAway is the number of bytes of requests and responses between zones.
	bytesAway float64
	// forbidden counts the requests that were sent to an evacuated zone.
	forbidden int
}

func sum(rows [][]float64, zone, from, to int) float64 {
	total := 0.0
	for z, row := range rows {
		if zone < 0 || z == zone {
			for _, n := range row[from:to] {
				total += n
			}
		}
	}
	return total
}

// inTimeShare returns the share in time of the requests of a zone that arrived in some seconds; -1 stands for all zones.
func (r *zoneResult) inTimeShare(zone, from, to int) float64 {
	return sum(r.inTime, zone, from, to) / sum(r.total, zone, from, to)
}

func (r *zoneResult) awayShare(zone, from, to int) float64 {
	return sum(r.away, zone, from, to) / sum(r.total, zone, from, to)
}

// maxAwayChange returns the largest change from one second to the next of the share that a zone sends away.
func (r *zoneResult) maxAwayChange(zone, from, to int) float64 {
	largest := 0.0
	for s := from + 1; s < to; s++ {
		change := r.awayShare(zone, s, s+1) - r.awayShare(zone, s-1, s)
		largest = max(largest, change, -change)
	}
	return largest
}

func (r *zoneResult) String() string {
	out := ""
	for z := range r.total {
		n := len(r.total[z])
		out += fmt.Sprintf("zone %d: in time %.3f, late %.3f, refused %.3f, away %.3f, change %.3f; ", z, r.inTimeShare(z, 0, n),
			sum(r.late, z, 0, n)/sum(r.total, z, 0, n), sum(r.refused, z, 0, n)/sum(r.total, z, 0, n), r.awayShare(z, 0, n), r.maxAwayChange(z, 2, n))
	}
	return out + fmt.Sprintf("bytes away %.2e, in time %.3f", r.bytesAway, r.inTimeShare(-1, 0, len(r.total[0])))
}

// zoneFleet is the state of a zoneReplay.
type zoneFleet struct {
	zoneReplay
	t          *testing.T
	startedAt  time.Time
	engineList []*engine
	engineZone []int
	hostZone   []int
	endpoints  []fleetconfig.Endpoint
	trackers   []*loadtracker.Tracker
	assigners  []*assigner.Assigner
	balancers  []*zonebalancer.Balancer

	mu     sync.Mutex // guards the fields below
	result zoneResult
	// freeAt is when a link has sent all that it was given.
	freeAt map[[2]int]time.Time
	silent map[[2]int]time.Time
}

func zoneName(z int) ident.Zone { return ident.Zone(fmt.Sprint("z", z)) }

func (f *zoneFleet) at() time.Duration { return time.Since(f.startedAt) }

// transit returns the time that a message between two zones takes, and whether it arrives.
func (f *zoneFleet) transit(from, to int, bytes float64) (time.Duration, bool) {
	if from == to {
		return latencyInZone, true
	}
	if f.isCut != nil && f.isCut(from, to, f.at()) {
		return 0, false
	}
	took := latencyBetweenZones
	if f.bandwidth != nil {
		f.mu.Lock()
		defer f.mu.Unlock()
		now := time.Now()
		key := [2]int{from, to}
		if f.freeAt[key].Before(now) {
			f.freeAt[key] = now
		}
		if f.freeAt[key].Sub(now) > maxLinkQueue {
			return 0, false
		}
		f.freeAt[key] = f.freeAt[key].Add(time.Duration(bytes / f.bandwidth(from, to, f.at()) * float64(time.Second)))
		took += f.freeAt[key].Sub(now)
	}
	return took, true
}

func (r zoneReplay) run(t *testing.T) *zoneResult {
	f := &zoneFleet{zoneReplay: r, t: t, freeAt: make(map[[2]int]time.Time), silent: make(map[[2]int]time.Time)}
	for _, rows := range []*[][]float64{&f.result.inTime, &f.result.late, &f.result.refused, &f.result.total, &f.result.away} {
		for range r.hosts {
			*rows = append(*rows, make([]float64, r.seconds))
		}
	}
	synctest.Test(t, func(*testing.T) { f.simulate() })
	return &f.result
}

func (f *zoneFleet) simulate() {
	f.startedAt = time.Now()
	end := f.startedAt.Add(time.Duration(f.seconds) * time.Second)
	for z, n := range f.zoneReplay.engines {
		for range n {
			e := &engine{slowdown: 1}
			go e.run(end.Add(10 * time.Second))
			id := len(f.engineList)
			f.engineList, f.engineZone, f.trackers = append(f.engineList, e), append(f.engineZone, z), append(f.trackers, &loadtracker.Tracker{})
			f.endpoints = append(f.endpoints, fleetconfig.Endpoint{
				ID: fmt.Sprint(id), Pool: "p", Zone: zoneName(z), Address: fmt.Sprint("10.0.0.", id, ":80"), Models: []fleetconfig.ServedModel{{Model: "m", Release: 1}},
			})
		}
	}
	for z, n := range f.hosts {
		for range n {
			f.addHost(z)
		}
	}
	if f.decision != oracle {
		go f.probe(end)
	}
	if f.evacuated != nil {
		go f.watchEvacuations(end)
	}
	first := 0
	for z, n := range f.hosts {
		go f.submitZone(z, first, n, end)
		first += n
	}
	time.Sleep(time.Until(end) + 11*time.Second)
}

func (f *zoneFleet) addHost(z int) {
	host := len(f.assigners)
	a := &assigner.Assigner{Zone: zoneName(z), Random: lockedRandom(uint64(host) + 1000*f.seed)}
	var b *zonebalancer.Balancer
	switch {
	case f.decision == oracle && host > 0:
		// One assigner sees all requests. No zone is its own.
		a = f.assigners[0]
	case f.decision == oracle:
		a.Zone = ""
	case f.decision == balanced:
		b = &zonebalancer.Balancer{Zone: zoneName(z)}
		a.Balancer = b
	}
	f.hostZone, f.assigners, f.balancers = append(f.hostZone, z), append(f.assigners, a), append(f.balancers, b)
	if f.decision == oracle && host > 0 {
		return
	}
	var mu sync.Mutex
	var serial uint64
	if f.decision != oracle {
		a.OnLoadChange = func(e fleetconfig.Endpoint, load assigner.Load) {
			n := f.number(e)
			mu.Lock()
			serial++
			s := serial
			mu.Unlock()
			if took, ok := f.transit(z, f.engineZone[n], loadMessageBytes); ok {
				time.AfterFunc(took, func() { f.trackers[n].Record(ident.Host(fmt.Sprint(host)), load, 1, s) })
			}
		}
	}
	a.SetPools(map[ident.Pool]*fleetconfig.Pool{"p": {Name: "p", Engine: engineProfile}})
	a.SetEndpoints(f.endpoints)
}

func (f *zoneFleet) number(e fleetconfig.Endpoint) int {
	n, err := strconv.Atoi(e.ID)
	if err != nil {
		f.t.Error(err)
	}
	return n
}

// probe connects to the endpoints that are out of use, and repeats the reports of loads, as the hosts do.
func (f *zoneFleet) probe(end time.Time) {
	for time.Now().Before(end) {
		time.Sleep(replayProbeInterval)
		for host, a := range f.assigners {
			for _, p := range a.DueProbes() {
				n, err := strconv.Atoi(p.ID)
				if err != nil {
					f.t.Error(err)
				}
				_, ok := f.transit(f.hostZone[host], f.engineZone[n], loadMessageBytes)
				a.RecordProbe(p, ok)
			}
			for _, e := range a.LoadedEndpoints() {
				a.OnLoadChange(e, a.LocalLoad(e))
			}
		}
	}
}

func (f *zoneFleet) watchEvacuations(end time.Time) {
	current := -1
	for ; time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		z := f.evacuated(f.at())
		if z == current {
			continue
		}
		for _, b := range f.balancers {
			if b != nil && current >= 0 {
				b.RecordEvacuation(zoneName(current), false)
			}
			if b != nil && z >= 0 {
				b.RecordEvacuation(zoneName(z), true)
			}
		}
		current = z
	}
}

// submitZone sends the requests of the callers of a zone to its hosts.
func (f *zoneFleet) submitZone(z, firstHost, hosts int, end time.Time) {
	rng := rand.New(rand.NewPCG(uint64(z)+1, 2+f.seed))
	cost := engineProfile.PromptTokens*meanPromptShare/engineProfile.PrefillRate +
		(engineProfile.ResponseTokens*meanResponseShare+roundingTokens)/float64(engineProfile.Slots)*engineProfile.StepTime.Seconds()
	for {
		interval := cost / f.load(z, f.at()) / float64(f.zoneReplay.engines[z])
		interarrival := rng.ExpFloat64()
		if f.isRegular {
			interarrival = 1
		}
		time.Sleep(time.Duration(interarrival * interval * float64(time.Second)))
		if !time.Now().Before(end) {
			return
		}
		r := &zoneRequest{
			zoneFleet: f, zone: z, host: firstHost + rng.IntN(hosts), sentAt: time.Now(), second: int(f.at() / time.Second),
			promptTokens: int(engineProfile.PromptTokens * min(3, rng.ExpFloat64())), responseTokens: int(engineProfile.ResponseTokens * min(2.5, rng.ExpFloat64())),
		}
		f.count(f.result.total, r)
		go r.run()
	}
}

func (f *zoneFleet) count(rows [][]float64, r *zoneRequest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	rows[r.zone][r.second]++
}

// zoneRequest is one request of a zoneReplay.
type zoneRequest struct {
	*zoneFleet
	zone, host, second           int
	promptTokens, responseTokens int
	sentAt                       time.Time
}

func (r *zoneRequest) query(excluded map[string]bool) assigner.Query {
	q := assigner.Query{
		Pool: "p", Model: "m", Release: 1, PromptTokens: float64(r.promptTokens), TimeLeft: objective - time.Since(r.sentAt), Excluded: excluded,
	}
	if r.evacuated != nil {
		q.MayUse = func(z ident.Zone) bool {
			n := r.evacuated(r.at())
			return n < 0 || z != zoneName(n)
		}
	}
	return q
}

func (r *zoneRequest) run() {
	a := r.assigners[r.host]
	excluded := make(map[string]bool)
	for {
		choice, refusal := r.assign(a, r.query(excluded))
		if refusal != "" {
			r.count(r.result.refused, r)
			return
		}
		n := r.number(choice.Endpoint)
		z := r.engineZone[n]
		took, ok := r.transit(r.zone, z, float64(r.promptTokens*bytesPerPromptToken))
		if !ok {
			time.Sleep(replayConnectTimeout)
			a.Release(choice, assigner.Unreachable)
			excluded[choice.Endpoint.ID] = true
			continue
		}
		r.mu.Lock()
		if z != r.zone {
			r.result.away[r.zone][r.second]++
			r.result.bytesAway += float64(r.promptTokens*bytesPerPromptToken + r.responseTokens*bytesPerResponseToken)
		}
		if r.evacuated != nil && r.evacuated(r.at()) == z {
			r.result.forbidden++
		}
		r.mu.Unlock()
		time.AfterFunc(took, func() { r.send(a, choice, n, z) })
		return
	}
}

// send adds the request to the queue of an engine.
func (r *zoneRequest) send(a *assigner.Assigner, choice *assigner.Assignment, n, z int) {
	r.engineList[n].add(&job{
		promptTokens: r.promptTokens, completionTokens: r.responseTokens,
		onFirstEvent: func() {
			go r.receive(z, float64(engineProfile.StepsPerPass*bytesPerResponseToken), func() {
				if time.Since(r.sentAt) <= objective {
					r.count(r.result.inTime, r)
				} else {
					r.count(r.result.late, r)
				}
				a.RecordFirstEvent(choice)
			})
		},
		onEnd: func() {
			go r.receive(z, float64(r.responseTokens*bytesPerResponseToken), func() { a.Release(choice, assigner.Served) })
		},
	})
}

// receive calls f when a part of the response has arrived. While the zones are cut off from each other, the connection
// sends it again.
func (r *zoneRequest) receive(from int, bytes float64, f func()) {
	for {
		if took, ok := r.transit(from, r.zone, bytes); ok {
			time.Sleep(took)
			f()
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

func (r *zoneRequest) assign(a *assigner.Assigner, q assigner.Query) (*assigner.Assignment, assigner.Refusal) {
	if r.decision == oracle {
		return r.assignOracle(a, q)
	}
	q.Among = make(map[string]bool)
	refusal := assigner.Overload
	for round := range assigner.MaxRounds {
		candidates := a.Candidates(q, q.Among, round > 0)
		if len(candidates) == 0 {
			break
		}
		r.queryLoads(a, candidates)
		var choice *assigner.Assignment
		if choice, refusal = a.Assign(q); refusal == "" {
			return choice, ""
		}
	}
	return nil, refusal
}

// isImpaired reports whether the link to a zone is cut, or too slow for the oracle.
func (r *zoneRequest) isImpaired(z int) bool {
	const minBytesPerSecond = 1e6
	return r.isCut != nil && r.isCut(r.zone, z, r.at()) || r.bandwidth != nil && r.bandwidth(r.zone, z, r.at()) < minBytesPerSecond
}

func (r *zoneRequest) assignOracle(a *assigner.Assigner, q assigner.Query) (*assigner.Assignment, assigner.Refusal) {
	for _, isOwn := range []bool{true, false} {
		q.Among = make(map[string]bool)
		for i, e := range r.endpoints {
			isReachable := r.engineZone[i] == r.zone || !r.isImpaired(r.engineZone[i])
			if (r.engineZone[i] == r.zone) == isOwn && isReachable {
				q.Among[e.ID] = true
			}
		}
		if choice, refusal := a.Assign(q); refusal == "" {
			return choice, ""
		}
	}
	return nil, assigner.Overload
}

// queryLoads queries the responders of endpoints, as loadexchanger.Exchanger.Query does.
func (r *zoneRequest) queryLoads(a *assigner.Assigner, candidates []fleetconfig.Endpoint) {
	startedAt := time.Now()
	var wait sync.WaitGroup
	for _, e := range candidates {
		n := r.number(e)
		key := [2]int{r.host, n}
		r.mu.Lock()
		isAwaited := !startedAt.Before(r.silent[key])
		r.mu.Unlock()
		answer := make(chan time.Duration, 1)
		r.exchange(a, e, n, answer)
		if !isAwaited {
			continue
		}
		wait.Go(func() {
			select {
			case <-answer:
			case <-time.After(replayReplyTimeout):
				r.mu.Lock()
				r.silent[key] = time.Now().Add(time.Second)
				r.mu.Unlock()
				if b := r.balancers[r.host]; b != nil {
					b.RecordMissedReply(e.Zone)
				}
			}
		})
	}
	wait.Wait()
}

// exchange sends a query to the responder of an endpoint, and records the reply.
func (r *zoneRequest) exchange(a *assigner.Assigner, e fleetconfig.Endpoint, n int, answer chan<- time.Duration) {
	startedAt := time.Now()
	there, ok := r.transit(r.zone, r.engineZone[n], loadMessageBytes)
	if !ok {
		return
	}
	time.AfterFunc(there, func() {
		load := r.trackers[n].Others(ident.Host(fmt.Sprint(r.host)))
		back, ok := r.transit(r.engineZone[n], r.zone, loadMessageBytes)
		if !ok {
			return
		}
		time.AfterFunc(back, func() {
			r.mu.Lock()
			delete(r.silent, [2]int{r.host, n})
			r.mu.Unlock()
			a.SetReport(e, load)
			if b := r.balancers[r.host]; b != nil {
				b.RecordRoundTrip(e.Zone, time.Since(startedAt))
			}
			answer <- time.Since(startedAt)
		})
	})
}
