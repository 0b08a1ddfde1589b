package loadexchanger_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/nutmegdock/nutmegdock/internal/core/assigner"
	"github.com/nutmegdock/nutmegdock/internal/core/coldtracker"
	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/permitsharer"
	"github.com/nutmegdock/nutmegdock/internal/core/ranker"
	"github.com/nutmegdock/nutmegdock/internal/loadexchanger"
	"github.com/nutmegdock/nutmegdock/internal/rapidtest"
)

const (
	coldRate  ident.Rate = 17
	coldStart            = 3 * time.Second
	// coldOvershoot and coldSlack bound the requests in one second, and coldUse is the least part of the rate that is used
	// while callers wait.
	coldOvershoot, coldSlack = 1.5, 5
	coldUse                  = 0.8
	coldWindow               = time.Second
	coldZone                 = ident.Zone("z0")
	// maxEvacuationLag is how much later than another one a host may learn of the end of an evacuation.
	maxEvacuationLag = time.Second
	// maxPresenceLag is how much later than another one a host may notice which hosts are live.
	maxPresenceLag = 1500 * time.Millisecond
)

// coldHost is one entry host.
type coldHost struct {
	assigner  *assigner.Assigner
	exchanger *loadexchanger.Exchanger
	tracker   *coldtracker.Tracker
	sharer    *permitsharer.Sharer
	address   netip.AddrPort
	// evacuated says that the host does not use coldZone, and isStale that it has not read the store of late.
	evacuated, isStale atomic.Bool
	// live holds the hosts that this one takes for live, as far as it knows at the moment.
	live map[netip.AddrPort]bool
	// listed holds the endpoints as this host has read them.
	listed []fleetconfig.Endpoint
}

// coldFleet is a number of entry hosts and endpoints of one pool, all of them in one zone.
type coldFleet struct {
	network *packetNetwork
	pool    *fleetconfig.Pool
	// ignoresCold makes hosts send requests without permits.
	ignoresCold bool

	mu        sync.Mutex
	random    *rand.Rand
	hosts     []*coldHost
	endpoints []fleetconfig.Endpoint
	stop      map[netip.AddrPort]func()
	arrivals  map[string][]time.Time
	refusals  []time.Time
	isClosed  bool
	// cutMu guards the cuts. The network takes it with its own mutex held, and is called with mu held.
	cutMu sync.Mutex
	// halves are cut off from each other while isPartitioned, and isolated addresses from all others.
	isPartitioned bool
	isolated      map[netip.AddrPort]bool
	tasks         sync.WaitGroup
}

// newColdFleet starts a fleet. A pool of engines has a responder beside each endpoint; for a plain service an entry host
// responds.
func newColdFleet(t *testing.T, seed uint64, hosts, endpoints int, isPlain bool) *coldFleet {
	f := &coldFleet{
		network: &packetNetwork{random: rand.New(rand.NewPCG(seed, 1)), conns: make(map[netip.AddrPort]*packetConn)},
		random:  rand.New(rand.NewPCG(seed, 2)), stop: make(map[netip.AddrPort]func()), arrivals: make(map[string][]time.Time),
		isolated: make(map[netip.AddrPort]bool),
		pool:     &fleetconfig.Pool{Name: limitPool, ColdRate: coldRate, ColdStart: coldStart},
	}
	f.network.isCut = f.isCut
	if !isPlain {
		f.pool.Engine = &fleetconfig.EngineProfile{
			Slots: 12, StepsPerPass: 5, StepTime: 9270 * time.Microsecond, StepTimePerRequest: 23 * time.Microsecond, StepTimePerThousandTokens: 32 * time.Microsecond,
			PrefillRate: 20700, PromptTokens: 954, ResponseTokens: 45, Models: []fleetconfig.Model{"m"},
		}
	}
	for i := range endpoints {
		f.endpoints = append(f.endpoints, f.newEndpoint(i, 1))
		if !isPlain {
			f.startResponder(t, i)
		}
	}
	for range hosts {
		f.startHost(t)
	}
	return f
}

func (f *coldFleet) newEndpoint(i int, startTime int64) fleetconfig.Endpoint {
	return fleetconfig.Endpoint{
		ID: fmt.Sprint("e", i), Pool: limitPool, Zone: coldZone, Address: responderAddress(i).String(), Slots: 12, StartTime: startTime,
		Models: []fleetconfig.ServedModel{{Model: "m", Release: 1}},
	}
}

// isCut is called with the mutex of the network held. Only entry hosts, which have addresses in 10.1, are partitioned.
func (f *coldFleet) isCut(from, to netip.AddrPort) bool {
	f.cutMu.Lock()
	defer f.cutMu.Unlock()
	return f.isolated[from] || f.isolated[to] || f.isPartitioned && !isSameHalf(from, to)
}

func isSameHalf(a, b netip.AddrPort) bool {
	x, y := a.Addr().As4(), b.Addr().As4()
	return x[1] != y[1] || x[3]%2 == y[3]%2
}

func (f *coldFleet) startResponder(t *testing.T, i int) {
	f.run(t, responderAddress(i), &loadexchanger.Exchanger{Host: ident.Host(fmt.Sprint("responder", i))})
}

// startHost starts a further entry host, whose first snapshot lists all endpoints of now.
func (f *coldFleet) startHost(t *testing.T) *coldHost {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := len(f.hosts)
	h := &coldHost{assigner: &assigner.Assigner{Zone: ident.Zone(fmt.Sprint("z", i%3))}, live: make(map[netip.AddrPort]bool)}
	h.address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i / 250), byte(1 + i%250)}), 70)
	h.tracker = &coldtracker.Tracker{Overshoot: coldOvershoot, Slack: coldSlack, IsCurrent: func() bool { return !h.isStale.Load() }}
	pools := map[ident.Pool]*fleetconfig.Pool{limitPool: f.pool}
	h.tracker.SetPools(pools)
	h.assigner.SetPools(pools)
	h.assigner.IsCold = h.tracker.IsCold
	h.exchanger = &loadexchanger.Exchanger{
		Host: ident.Host(fmt.Sprint("h", i)), LocalLoad: h.assigner.LocalLoad, LoadedEndpoints: h.assigner.LoadedEndpoints, IsLeaving: h.assigner.IsLeaving, Limit: h.assigner.Limit,
		OnLimit: func(e fleetconfig.Endpoint, limit fleetconfig.RateLimit) { h.assigner.RecordLimit(e, limit) },
		Cold:    h.tracker.Claim, OnCold: h.tracker.RecordResponder,
		OnReply:   func(e fleetconfig.Endpoint, r loadexchanger.Reply) { h.assigner.SetReport(e, r.Load) },
		Responder: func(e fleetconfig.Endpoint) netip.AddrPort { return f.responder(h, e) },
	}
	if f.pool.Engine == nil {
		h.sharer = &permitsharer.Sharer{}
		h.exchanger.PermitShare, h.exchanger.OnHandover = h.sharer.Share, h.sharer.Accept
		h.exchanger.Cede = func(endpoint string, successor netip.Addr) float64 {
			if f.responder(h, fleetconfig.Endpoint{ID: endpoint}).Addr() != successor {
				return 0
			}
			return h.sharer.Cede(endpoint)
		}
		f.tasks.Go(func() { f.observeShares(h) })
	}
	h.assigner.OnLoadChange = h.exchanger.LoadChanged
	h.tracker.OnChange = func(e fleetconfig.Endpoint, isCold bool, reason coldtracker.Reason, _ time.Duration) {
		if isCold && reason != coldtracker.Responder {
			h.exchanger.LoadChanged(e, assigner.Load{})
		}
	}
	h.setEndpoints(f.endpoints)
	f.hosts = append(f.hosts, h)
	h.live[h.address] = true
	for _, other := range f.hosts {
		f.noticeLater(h, other.address, true)
		f.noticeLater(other, h.address, true)
	}
	f.runLocked(t, h.address, h.exchanger)
	return h
}

// observeShares tells the sharer of a host what the host sees, until the fleet is closed.
func (f *coldFleet) observeShares(h *coldHost) {
	for {
		f.mu.Lock()
		isClosed, endpoints := f.isClosed, f.endpoints
		view := permitsharer.View{All: len(h.live), IsCurrent: !h.isStale.Load()}
		for _, isLive := range h.live {
			if isLive {
				view.Live++
			}
		}
		f.mu.Unlock()
		if isClosed {
			return
		}
		for _, e := range endpoints {
			view.IsResponder = f.responder(h, e) == h.address
			h.sharer.Observe(e.ID, h.tracker.Excess(limitPool), view)
			if view.IsResponder && h.sharer.Share(e.ID) == 0 {
				if former := f.serviceResponder(h, e, h.address); former.IsValid() {
					h.exchanger.RequestHandover(e.ID, former)
				}
			}
		}
		time.Sleep(permitsharer.Interval)
	}
}

func (h *coldHost) setEndpoints(all []fleetconfig.Endpoint) {
	h.listed = all
	h.tracker.SetEndpoints(all)
	h.assigner.SetEndpoints(all)
}

// noticeLater makes a host notice within maxPresenceLag that another is live or not. The caller must hold f.mu.
func (f *coldFleet) noticeLater(h *coldHost, other netip.AddrPort, isLive bool) {
	if h.address == other {
		return
	}
	time.AfterFunc(time.Duration(f.random.Int64N(int64(maxPresenceLag))), func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		h.live[other] = isLive
	})
}

// partition cuts the halves of the hosts off from each other, or connects them again.
func (f *coldFleet) partition(isPartitioned bool) {
	f.cutMu.Lock()
	f.isPartitioned = isPartitioned
	f.cutMu.Unlock()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range f.hosts {
		for _, other := range f.hosts {
			if !isSameHalf(h.address, other.address) {
				f.noticeLater(h, other.address, !isPartitioned)
			}
		}
	}
}

// isolate cuts a host off from all others.
func (f *coldFleet) isolate(h *coldHost) {
	f.cutMu.Lock()
	f.isolated[h.address] = true
	f.cutMu.Unlock()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, other := range f.hosts {
		f.noticeLater(h, other.address, false)
		f.noticeLater(other, h.address, false)
	}
}

// responder returns the responder of an endpoint as a host sees it.
func (f *coldFleet) responder(h *coldHost, e fleetconfig.Endpoint) netip.AddrPort {
	if f.pool.Engine != nil {
		return netip.MustParseAddrPort(e.Address)
	}
	return f.serviceResponder(h, e, netip.AddrPort{})
}

// serviceResponder returns the responder of an endpoint of a plain service if one host is left out.
func (f *coldFleet) serviceResponder(h *coldHost, e fleetconfig.Endpoint, leftOut netip.AddrPort) (best netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var score uint64
	for address, isLive := range h.live {
		if s := ranker.Score(e.ID, address.String()); isLive && address != leftOut && (!best.IsValid() || s > score) {
			best, score = address, s
		}
	}
	return best
}

func (f *coldFleet) run(t *testing.T, address netip.AddrPort, x *loadexchanger.Exchanger) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runLocked(t, address, x)
}

func (f *coldFleet) runLocked(t *testing.T, address netip.AddrPort, x *loadexchanger.Exchanger) {
	if stop := f.stop[address]; stop != nil {
		stop()
	}
	x.Conn, x.Logger = f.network.listen(address), &log.Logger{Handler: discard.New(), Level: log.InfoLevel}
	x.Init()
	ctx, cancel := context.WithCancel(context.Background())
	f.stop[address] = cancel
	f.tasks.Go(func() {
		if err := x.Run(ctx); err != nil {
			t.Errorf("exchanger at %s: %v", address, err)
		}
	})
}

func (f *coldFleet) close() {
	f.mu.Lock()
	f.isClosed = true
	for _, stop := range f.stop {
		stop()
	}
	f.mu.Unlock()
	f.tasks.Wait()
	time.Sleep(10 * time.Second) // queries are kept for a while
}

// evacuate makes all hosts leave the zone out.
func (f *coldFleet) evacuate() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range f.hosts {
		h.evacuated.Store(true)
	}
}

// endEvacuation makes each host use the zone again, at a time of its own.
func (f *coldFleet) endEvacuation() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range f.hosts {
		time.AfterFunc(time.Duration(f.random.Int64N(int64(maxEvacuationLag))), func() {
			h.tracker.RecordEvacuationEnd(coldZone)
			h.evacuated.Store(false)
		})
	}
}

// send sends one request of a host, as the gateway does.
func (f *coldFleet) send(h *coldHost) {
	query := assigner.Query{Pool: limitPool, Release: 1, PromptTokens: 954, TimeLeft: time.Second, Among: make(map[string]bool)}
	if f.pool.Engine != nil {
		query.Model = "m"
	}
	query.MayUse = func(ident.Zone) bool { return !h.evacuated.Load() }
	for round := range assigner.MaxRounds {
		candidates := h.assigner.Candidates(query, query.Among, round > 0)
		if len(candidates) == 0 {
			break
		}
		h.exchanger.Query(context.Background(), candidates)
		for {
			choice, refusal := h.assigner.Assign(query)
			if refusal != "" {
				break
			}
			if f.ignoresCold || !h.tracker.NeedsPermit(choice.Endpoint) {
				f.execute(h, choice)
				return
			}
			ok, wait := h.exchanger.TakePermit(context.Background(), choice.Endpoint)
			if ok {
				f.execute(h, choice)
				return
			}
			h.assigner.RecordNoPermit(choice.Endpoint, wait)
			h.assigner.Release(choice, assigner.NotSent)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refusals = append(f.refusals, time.Now())
}

// execute runs a request at its endpoint. The first event comes after its prompt is processed.
func (f *coldFleet) execute(h *coldHost, choice *assigner.Assignment) {
	f.mu.Lock()
	delay := time.Duration(f.random.Int64N(int64(2 * maxDelay)))
	work := time.Duration((0.5 + f.random.Float64()) * float64(400*time.Millisecond))
	if f.pool.Engine == nil {
		work /= 4
	}
	f.mu.Unlock()
	time.Sleep(delay)
	f.mu.Lock()
	f.arrivals[choice.Endpoint.ID] = append(f.arrivals[choice.Endpoint.ID], time.Now())
	f.mu.Unlock()
	time.Sleep(50 * time.Millisecond)
	h.assigner.RecordFirstEvent(choice)
	time.Sleep(work)
	h.assigner.Release(choice, assigner.Served)
}

// sendFor sends requests at a rate from all hosts together for a time.
func (f *coldFleet) sendFor(rate float64, duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		f.mu.Lock()
		pause := time.Duration(f.random.ExpFloat64() / rate * float64(time.Second))
		h := f.hosts[f.random.IntN(len(f.hosts))]
		f.mu.Unlock()
		time.Sleep(pause)
		f.tasks.Go(func() { f.send(h) })
	}
}

// mostInSecond returns the highest number of arrivals in one second, of those between two times.
func mostInSecond(arrivals []time.Time, from, to time.Time) (most int) {
	times := slices.DeleteFunc(slices.Clone(arrivals), func(at time.Time) bool { return at.Before(from) || at.After(to) })
	slices.SortFunc(times, time.Time.Compare)
	first := 0
	for i, at := range times {
		for at.Sub(times[first]) > coldWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func countBetween(times []time.Time, from, to time.Time) (n int) {
	for _, at := range times {
		if at.After(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// zoneReturn is what happens while a zone returns from an evacuation.
type zoneReturn struct {
	hosts, endpoints int
	// rate is that of the requests of all hosts together. It is the same for each endpoint with engines and plain services.
	rate    float64
	isPlain bool
	// startedHosts is the number of hosts that start meanwhile, and isPartitioned cuts halves of the hosts off from each
	// other. ignoresCold makes hosts send requests without permits.
	startedHosts               int
	isPartitioned, ignoresCold bool
}

// zoneResult holds the most requests in one second at one endpoint, and the parts of the rate that were used while callers
// waited, at the endpoint that was used the least and on average.
type zoneResult struct {
	most              int
	leastUse, meanUse float64
	hasWaiting        bool
}

// play lets the zone return. One host is cut off from all others, and two others have not read the store for long.
func (c zoneReturn) play(t *testing.T, seed uint64) (out zoneResult) {
	f := newColdFleet(t, seed, c.hosts, c.endpoints, c.isPlain)
	f.ignoresCold = c.ignoresCold
	time.Sleep(5 * time.Second) // hosts know what happens
	f.evacuate()
	f.isolate(f.hosts[3])
	f.mu.Lock()
	for _, h := range f.hosts[4:6] {
		h.evacuated.Store(false) // it knows of no evacuation
		h.isStale.Store(true)
	}
	f.mu.Unlock()
	var traffic sync.WaitGroup
	traffic.Go(func() { f.sendFor(c.rate, 6*time.Second) })
	time.Sleep(1500 * time.Millisecond)
	coldAt := time.Now()
	time.Sleep(200 * time.Millisecond)
	f.endEvacuation()
	for i := range 8 {
		time.Sleep(200 * time.Millisecond)
		if i == 2 && c.isPartitioned {
			f.partition(true)
		}
		if i < c.startedHosts {
			f.startHost(t)
		}
	}
	traffic.Wait()
	f.close()
	usedFrom, usedTo := coldAt.Add(200*time.Millisecond+maxEvacuationLag), coldAt.Add(coldStart)
	out.hasWaiting = countBetween(f.refusals, usedFrom, usedTo) > 0
	whole := usedTo.Sub(usedFrom).Seconds() * float64(coldRate)
	out.leastUse = math.Inf(1)
	for _, e := range f.endpoints {
		out.most = max(out.most, mostInSecond(f.arrivals[e.ID], coldAt, coldAt.Add(coldStart)))
		use := float64(countBetween(f.arrivals[e.ID], usedFrom, usedTo)) / whole
		out.leastUse, out.meanUse = min(out.leastUse, use), out.meanUse+use/float64(len(f.endpoints))
	}
	return out
}

const (
	// zoneEngines and zoneRate are the engines of a zone and the requests per second of all hosts together.
	zoneEngines, zoneRate   = 19, 720
	zoneServices            = 7
	servicesRate            = zoneRate * zoneServices / zoneEngines
	coldBound               = coldOvershoot*float64(coldRate) + coldSlack
	zoneStartedHosts        = 8
	zoneHosts, maxZoneHosts = 40, 149
)

// Load pattern: a zone returns empty from an evacuation under more traffic than it takes, while hosts start, halves of
// the hosts are cut off from each other, one host is cut off from all others, and others have not read the store of late.
// Guards against hosts that together send a cold endpoint more than it takes, and against permits that stay unused.
func TestColdZoneReturnsUnderTraffic(t *testing.T) {
	for name, c := range map[string]zoneReturn{
		"engines, 40 hosts":        {hosts: zoneHosts, endpoints: zoneEngines, rate: zoneRate, startedHosts: zoneStartedHosts, isPartitioned: true},
		"engines, 149 hosts":       {hosts: maxZoneHosts, endpoints: zoneEngines, rate: zoneRate, startedHosts: zoneStartedHosts, isPartitioned: true},
		"plain service, 40 hosts":  {hosts: zoneHosts, endpoints: zoneServices, rate: servicesRate, isPlain: true},
		"plain service, 149 hosts": {hosts: maxZoneHosts, endpoints: zoneServices, rate: servicesRate, isPlain: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				got := c.play(t, 1)
				c.ignoresCold = true
				before := c.play(t, 1)
				t.Logf("at most %d in a second (%.1f allowed), %.2f of the rate used, %.2f at the least used endpoint; without permits %d", got.most, coldBound, got.meanUse, got.leastUse, before.most)
				is.True(float64(got.most) <= coldBound)
				is.True(got.hasWaiting)
				is.True(got.leastUse >= coldUse)
				is.True(float64(before.most) > coldBound)
			})
		})
	}
}

// Guards against permits of several responders of a plain service that together exceed what a cold endpoint takes: hosts
// that start and halves that are cut off from each other disagree on its responder.
func TestColdServiceWithSeveralResponders(t *testing.T) {
	for name, c := range map[string]zoneReturn{
		"40 hosts":              {hosts: zoneHosts, startedHosts: zoneStartedHosts},
		"149 hosts":             {hosts: maxZoneHosts, startedHosts: zoneStartedHosts},
		"40 hosts in halves":    {hosts: zoneHosts, isPartitioned: true},
		"149 hosts in halves":   {hosts: maxZoneHosts, isPartitioned: true},
		"40 hosts, all at once": {hosts: zoneHosts, startedHosts: zoneStartedHosts, isPartitioned: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c.endpoints, c.rate, c.isPlain = zoneServices, servicesRate, true
				got := c.play(t, 1)
				t.Logf("at most %d in a second (%.1f allowed), %.2f of the rate used, %.2f at the least used endpoint", got.most, coldBound, got.meanUse, got.leastUse)
				is.True(float64(got.most) <= coldBound)
			})
		})
	}
}

// Guards against a cold endpoint of a plain service that gets too little while hosts start and its responder changes.
func TestColdServiceIsUsedWhileItsResponderChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		got := zoneReturn{hosts: zoneHosts, endpoints: zoneServices, rate: servicesRate, isPlain: true, startedHosts: zoneStartedHosts}.play(t, 1)
		t.Logf("%.2f of the rate used, %.2f at the least used endpoint", got.meanUse, got.leastUse)
		is.True(got.hasWaiting)
		is.True(got.leastUse >= coldUse)
	})
}

// Guards against a cold endpoint of a plain service that gets too little while halves of the hosts are cut off from each
// other: one responder may give only a part of the permits, and the other one none at first.
func TestColdServiceIsUsedInHalves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		got := zoneReturn{hosts: zoneHosts, endpoints: zoneServices, rate: servicesRate, isPlain: true, isPartitioned: true}.play(t, 1)
		t.Logf("%.2f of the rate used, %.2f at the least used endpoint", got.meanUse, got.leastUse)
		is.True(got.hasWaiting)
		is.True(got.leastUse >= coldUse)
	})
}

// coldTime is a time for which an endpoint is cold.
type coldTime struct {
	id       string
	from, to time.Time
}

// Endpoints become cold in all ways that are known, while responders restart and freeze, datagrams are lost, hosts start,
// are partitioned, cut off, or do not read the store. Guards against any order of these in which the hosts together send
// a cold endpoint more than it takes.
func TestStateColdEnginesAmidFaults(t *testing.T) {
	checkColdAmidFaults(t, false)
}

// The same for endpoints of a plain service, whose responders are entry hosts.
func TestStateColdServicesAmidFaults(t *testing.T) {
	checkColdAmidFaults(t, true)
}

func checkColdAmidFaults(t *testing.T, isPlain bool) {
	rapidtest.Check(t, func(t *testing.T, rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		hosts := rapid.IntRange(2, 12).Draw(rt, "hosts")
		loss := rapid.SampledFrom([]float64{0, 0, 0.02, 0.2}).Draw(rt, "loss")
		rate := rapid.Float64Range(40, 300).Draw(rt, "rate")
		actions := rapid.SliceOfN(rapid.SampledFrom([]string{
			"", "return", "return", "entry", "entry", "new", "restart", "freeze", "thaw", "host", "partition", "heal", "isolate", "stale", "fresh",
		}), 6, 20).Draw(rt, "actions")
		f := newColdFleet(t, seed, hosts, 3, isPlain)
		f.network.mu.Lock()
		f.network.lossRate = loss
		f.network.mu.Unlock()
		time.Sleep(5 * time.Second)
		var cold []coldTime
		var traffic sync.WaitGroup
		traffic.Go(func() { f.sendFor(rate, time.Duration(len(actions))*time.Second) })
		for _, action := range actions {
			if times := f.act(t, action); times != nil {
				cold = append(cold, times...)
			}
			time.Sleep(time.Second)
		}
		if !isPlain {
			f.network.freeze(responderAddress(0), false)
		}
		traffic.Wait()
		f.close()
		for _, c := range cold {
			if most := mostInSecond(f.arrivals[c.id], c.from, c.to); float64(most) > coldBound {
				rt.Fatalf("%d requests in a second at %s while it was cold, want at most %.1f", most, c.id, coldBound)
			}
		}
	})
}

// knowledgeDelay is the time after which all that can hear of it know what one host has read: it tells the responder, and
// another host asks it.
const knowledgeDelay = 50 * time.Millisecond

// act does one action of a state test, and returns which endpoints are cold from when on, if some are. They count from when
// the first host knows it.
func (f *coldFleet) act(t *testing.T, action string) (cold []coldTime) {
	f.mu.Lock()
	host := f.hosts[f.random.IntN(len(f.hosts))]
	index := f.random.IntN(len(f.endpoints))
	endpoint := f.endpoints[index]
	f.mu.Unlock()
	now := time.Now()
	isPlain := f.pool.Engine == nil
	switch action {
	case "return":
		f.evacuate()
		time.Sleep(time.Second) // requests on their way have arrived
		now = time.Now()
		f.endEvacuation()
		for _, e := range f.endpoints {
			cold = append(cold, coldTime{id: e.ID, from: now, to: now.Add(coldStart)})
		}
	case "entry":
		endpoint.WarmupRemaining = coldStart
		cold = append(cold, coldTime{id: endpoint.ID, from: f.readLater(endpoint, false).Add(knowledgeDelay), to: now.Add(coldStart)})
	case "new":
		added := f.newEndpoint(len(f.endpoints), 2)
		if !isPlain {
			f.startResponder(t, len(f.endpoints))
		}
		f.readLater(added, true)
		cold = append(cold, coldTime{id: added.ID, from: now, to: now.Add(coldStart)})
	case "restart":
		if !isPlain {
			f.startResponder(t, index)
		}
	case "freeze", "thaw":
		if !isPlain {
			f.network.freeze(responderAddress(0), action == "freeze")
		}
	case "host":
		f.startHost(t)
	case "partition", "heal":
		f.partition(action == "partition")
	case "isolate":
		f.isolate(host)
	case "stale", "fresh":
		host.isStale.Store(action == "stale")
	}
	return cold
}

// readLater makes each host read the entry of an endpoint within maxReadLag, and returns when the first one does.
func (f *coldFleet) readLater(e fleetconfig.Endpoint, isNew bool) (first time.Time) {
	const maxReadLag = 700 * time.Millisecond
	f.mu.Lock()
	defer f.mu.Unlock()
	if isNew {
		f.endpoints = append(slices.Clone(f.endpoints), e)
	}
	shortest := maxReadLag
	for _, h := range f.hosts {
		if h.isStale.Load() {
			continue
		}
		lag := time.Duration(f.random.Int64N(int64(maxReadLag)))
		shortest = min(shortest, lag)
		time.AfterFunc(lag, func() { f.readEntry(h, e) })
	}
	return time.Now().Add(shortest)
}

func (f *coldFleet) readEntry(h *coldHost, e fleetconfig.Endpoint) {
	e.ReadAt = time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	h.listed = append(slices.DeleteFunc(slices.Clone(h.listed), func(other fleetconfig.Endpoint) bool { return other.ID == e.ID }), e)
	listed := h.listed
	h.tracker.SetEndpoints(listed)
	h.assigner.SetEndpoints(listed)
}
