package loadexchanger_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/nutmegdock/nutmegdock/internal/core/assigner"
	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/ratelimiter"
	"github.com/nutmegdock/nutmegdock/internal/loadexchanger"
	"github.com/nutmegdock/nutmegdock/internal/rapidtest"
)

const (
	limitWindow = 4 * time.Second
	// limitFactor and limitSlack bound the requests in a window: limitFactor times what the limit allows, and limitSlack more.
	limitFactor = 1.5
	limitSlack  = 5
	// graceTime is the time after the first statement of a limit from which it must be kept, and learnTime the time after a
	// change in which the requests may follow the limit before it.
	graceTime = 3 * time.Second
	learnTime = 500 * time.Millisecond
	// maxDelay is the longest time that a datagram takes.
	maxDelay = 3500 * time.Microsecond
)

// packetNetwork carries datagrams between hosts in virtual time, with delays and losses.
type packetNetwork struct {
	mu     sync.Mutex
	random *rand.Rand
	conns  map[netip.AddrPort]*packetConn
	// lossRate is the fraction of the datagrams that are lost.
	lossRate float64
	// isCut reports whether datagrams between two addresses are lost; nil means that none are.
	isCut func(from, to netip.AddrPort) bool
	sent  int
}

type datagram struct {
	data []byte
	from netip.AddrPort
}

// packetConn is the socket of one host.
type packetConn struct {
	network  *packetNetwork
	address  netip.AddrPort
	received chan datagram
	closed   chan struct{}
	once     sync.Once
	// frozen holds the datagrams that arrive while the host is frozen; nil if it is not.
	frozen []datagram
	// isFrozen is guarded by the mutex of the network.
	isFrozen bool
}

func (n *packetNetwork) listen(address netip.AddrPort) *packetConn {
	c := &packetConn{network: n, address: address, received: make(chan datagram, 4096), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[address] = c
	return c
}

func (c *packetConn) ReadFrom(p []byte) (int, net.Addr, error) {
	select {
	case <-c.closed:
		return 0, nil, net.ErrClosed
	case d := <-c.received:
		return copy(p, d.data), net.UDPAddrFromAddrPort(d.from), nil
	}
}

func (c *packetConn) WriteTo(p []byte, to net.Addr) (int, error) {
	udp, ok := to.(*net.UDPAddr)
	if !ok {
		return 0, errors.New("not a UDP address")
	}
	n := c.network
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sent++
	if n.random.Float64() < n.lossRate || n.isCut != nil && n.isCut(c.address, udp.AddrPort()) {
		return len(p), nil
	}
	d := datagram{data: slices.Clone(p), from: c.address}
	time.AfterFunc(time.Duration(n.random.Int64N(int64(maxDelay))), func() { n.deliver(udp.AddrPort(), d) })
	return len(p), nil
}

func (n *packetNetwork) deliver(to netip.AddrPort, d datagram) {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := n.conns[to]
	switch {
	case c == nil:
	case c.isFrozen:
		c.frozen = append(c.frozen, d)
	default:
		select {
		case c.received <- d:
		default: // the buffer of the socket is full
		}
	}
}

// freeze keeps the datagrams to an address from being read, or hands them out.
func (n *packetNetwork) freeze(address netip.AddrPort, isFrozen bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := n.conns[address]
	c.isFrozen = isFrozen
	if !isFrozen {
		for _, d := range c.frozen {
			select {
			case c.received <- d:
			default: // the buffer of the socket is full
			}
		}
		c.frozen = nil
	}
}

func (c *packetConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}
func (c *packetConn) LocalAddr() net.Addr              { return net.UDPAddrFromAddrPort(c.address) }
func (c *packetConn) SetDeadline(time.Time) error      { return nil }
func (c *packetConn) SetReadDeadline(time.Time) error  { return nil }
func (c *packetConn) SetWriteDeadline(time.Time) error { return nil }

// limitFleet is a number of entry hosts and endpoints, one of which states limits.
type limitFleet struct {
	network   *packetNetwork
	random    *rand.Rand
	hosts     []*assigner.Assigner
	exchanges []*loadexchanger.Exchanger
	endpoints []fleetconfig.Endpoint
	// ignoresLimits makes hosts send requests without permits, as they did before there were any.
	ignoresLimits bool
	// logger receives the log events of hosts that start; nil discards them.
	logger log.Interface

	mu sync.Mutex
	// limit is what the first endpoint states now, or nil.
	limit    *ident.Rate
	stop     map[netip.AddrPort]func()
	arrivals []time.Time
	refused  int
	tasks    sync.WaitGroup
}

const (
	limitPool   = "pool"
	limitSlots  = 8
	serviceTime = 100 * time.Millisecond
)

func newLimitFleet(t *testing.T, seed uint64, hosts, endpoints int, lossRate float64) *limitFleet {
	f := &limitFleet{
		network: &packetNetwork{random: rand.New(rand.NewPCG(seed, 1)), conns: make(map[netip.AddrPort]*packetConn), lossRate: lossRate},
		random:  rand.New(rand.NewPCG(seed, 2)), stop: make(map[netip.AddrPort]func()),
	}
	for i := range endpoints {
		e := fleetconfig.Endpoint{ID: fmt.Sprint("e", i), Pool: limitPool, Address: responderAddress(i).String(), Slots: limitSlots, StartTime: 1}
		f.endpoints = append(f.endpoints, e)
		f.startResponder(t, i)
	}
	for i := range hosts {
		f.startHost(t, i)
	}
	return f
}

func responderAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(i / 250), byte(1 + i%250)}), 70)
}

// startResponder starts the process beside endpoint i, or starts it again.
func (f *limitFleet) startResponder(t *testing.T, i int) {
	f.run(t, responderAddress(i), &loadexchanger.Exchanger{Host: ident.Host(fmt.Sprint("responder", i))})
}

func (f *limitFleet) startHost(t *testing.T, i int) {
	a := &assigner.Assigner{}
	a.SetEndpoints(f.endpoints)
	x := &loadexchanger.Exchanger{
		Host: ident.Host(fmt.Sprint("h", i)), LocalLoad: a.LocalLoad, LoadedEndpoints: a.LoadedEndpoints, IsLeaving: a.IsLeaving, Limit: a.Limit,
		OnLimit: func(e fleetconfig.Endpoint, limit fleetconfig.RateLimit) { a.RecordLimit(e, limit) },
		OnReply: func(e fleetconfig.Endpoint, r loadexchanger.Reply) { a.SetReport(e, r.Load) },
		Responder: func(e fleetconfig.Endpoint) netip.AddrPort {
			return netip.MustParseAddrPort(e.Address)
		},
	}
	a.OnLoadChange = x.LoadChanged
	f.run(t, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i / 250), byte(1 + i%250)}), 70), x)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts, f.exchanges = append(f.hosts, a), append(f.exchanges, x)
}

func (f *limitFleet) run(t *testing.T, address netip.AddrPort, x *loadexchanger.Exchanger) {
	if stop := f.stop[address]; stop != nil {
		stop()
	}
	x.Conn, x.Logger = f.network.listen(address), &log.Logger{Handler: discard.New(), Level: log.InfoLevel}
	if f.logger != nil {
		x.Logger = f.logger
	}
	x.Init()
	ctx, cancel := context.WithCancel(context.Background())
	f.stop[address] = cancel
	f.tasks.Go(func() {
		if err := x.Run(ctx); err != nil {
			t.Errorf("exchanger at %s: %v", address, err)
		}
	})
}

func (f *limitFleet) close() {
	for _, stop := range f.stop {
		stop()
	}
	f.tasks.Wait()
	time.Sleep(10 * time.Second) // queries are kept for a while
}

func (f *limitFleet) setLimit(limit *ident.Rate) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.limit = limit
}

// send sends one request of a host, as the gateway does, and returns when its response is complete.
func (f *limitFleet) send(host int) {
	f.mu.Lock()
	a, x := f.hosts[host], f.exchanges[host]
	f.mu.Unlock()
	query := assigner.Query{Pool: limitPool, TimeLeft: time.Second, Among: make(map[string]bool)}
	for round := range assigner.MaxRounds {
		candidates := a.Candidates(query, query.Among, round > 0)
		if len(candidates) == 0 {
			break
		}
		x.Query(context.Background(), candidates)
		for {
			choice, refusal := a.Assign(query)
			if refusal != "" {
				break
			}
			if !f.ignoresLimits && ratelimiter.NeedsPermit(a.Limit(choice.Endpoint)) {
				if ok, wait := x.TakePermit(context.Background(), choice.Endpoint); !ok {
					a.RecordNoPermit(choice.Endpoint, wait)
					a.Release(choice, assigner.NotSent)
					continue
				}
			}
			f.execute(a, choice)
			return
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refused++
}

func (f *limitFleet) execute(a *assigner.Assigner, choice *assigner.Assignment) {
	sentAt := time.Now()
	f.mu.Lock()
	delay := time.Duration(f.random.Int64N(int64(2 * maxDelay)))
	work := time.Duration((0.5 + f.random.Float64()) * float64(serviceTime))
	f.mu.Unlock()
	time.Sleep(delay)
	f.mu.Lock()
	limit := f.limit
	if choice.Endpoint.ID == f.endpoints[0].ID {
		f.arrivals = append(f.arrivals, time.Now())
	} else {
		limit = nil
	}
	f.mu.Unlock()
	time.Sleep(work)
	if limit != nil || a.Limit(choice.Endpoint).IsKnown() {
		statement := fleetconfig.RateLimit{ID: rand.Uint64() | 1, SentAt: sentAt, ReceivedAt: time.Now()}
		if limit != nil {
			statement.IsLimited, statement.Rate = true, *limit
		}
		a.RecordLimit(choice.Endpoint, statement)
	}
	a.Release(choice, assigner.Served)
}

// sendUnevenly sends requests at a rate from all hosts together for a time. Some hosts have many times the traffic of
// others.
func (f *limitFleet) sendUnevenly(rate float64, duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		f.mu.Lock()
		pause := time.Duration(f.random.ExpFloat64() / rate * float64(time.Second))
		// The square makes host i get about 1/sqrt(i) of the traffic of the first one.
		draw := f.random.Float64()
		host := int(draw * draw * float64(len(f.hosts)))
		f.mu.Unlock()
		time.Sleep(pause)
		f.tasks.Go(func() { f.send(host) })
	}
}

// maxInWindow returns the highest number of arrivals within limitWindow from one of them on.
func maxInWindow(times []time.Time) (most int) {
	for i, from := range times {
		n := 0
		for _, t := range times[i:] {
			if t.Sub(from) > limitWindow {
				break
			}
			n++
		}
		most = max(most, n)
	}
	return most
}

// Load pattern: uneven traffic of all hosts at most of the capacity, while one endpoint takes few requests a second from
// all of them together.
func TestLimitHoldsForAllHostsTogether(t *testing.T) {
	for _, c := range []struct {
		hosts, endpoints int
		rate             float64
		limit            ident.Rate
	}{
		{8, 16, 180, 1}, {8, 16, 180, 1.7}, {8, 16, 180, 6}, {149, 60, 700, 1}, {149, 60, 700, 4.5},
	} {
		t.Run(fmt.Sprintf("%d hosts, limit %g", c.hosts, c.limit), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				const duration = 20 * time.Second
				run := func(ignoresLimits bool) (most int, used, messages float64) {
					f := newLimitFleet(t, 1, c.hosts, c.endpoints, 0)
					f.ignoresLimits = ignoresLimits
					f.setLimit(&c.limit)
					start := time.Now()
					f.sendUnevenly(c.rate, duration)
					f.close()
					times := slices.DeleteFunc(f.arrivals, func(at time.Time) bool { return at.Sub(start) < graceTime })
					slices.SortFunc(times, time.Time.Compare)
					return maxInWindow(times), float64(len(times)) / (float64(c.limit) * (duration - graceTime).Seconds()), float64(f.network.sent) / (c.rate * duration.Seconds())
				}
				most, used, messages := run(false)
				before, _, messagesBefore := run(true)
				allowed := int(limitFactor*float64(c.limit)*limitWindow.Seconds() + limitSlack)
				t.Logf("at most %d in %s (%d allowed), %.2f of the limit used, %.1f messages a request; without permits %d, %.1f messages", most, limitWindow, allowed, used, messages, before, messagesBefore)
				is.True(most <= allowed)
				is.True(used > 0.8)
				is.True(before > allowed)
			})
		})
	}
}

// Limits change, responders restart and freeze, datagrams are lost, and entry hosts start.
func TestStateLimitAmidFaults(t *testing.T) {
	rapidtest.Check(t, func(t *testing.T, rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		hosts := rapid.IntRange(1, 10).Draw(rt, "hosts")
		loss := rapid.SampledFrom([]float64{0, 0, 0.02, 0.2}).Draw(rt, "loss")
		rate := rapid.Float64Range(20, 150).Draw(rt, "rate")
		type step struct {
			limit  ident.Rate
			action string
		}
		steps := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) step {
			return step{
				limit:  ident.Rate(rapid.SampledFrom([]float64{0, 0.2, 1, 1, 1.7, 2, 3, 5, 8, 20, -1}).Draw(rt, "limit")),
				action: rapid.SampledFrom([]string{"", "", "", "restart", "freeze", "thaw", "host"}).Draw(rt, "action"),
			}
		}), 8, 24).Draw(rt, "steps")
		f := newLimitFleet(t, seed, hosts, 3, loss)
		var changes []limitChange
		var traffic sync.WaitGroup
		traffic.Go(func() { f.sendUnevenly(rate, time.Duration(len(steps))*time.Second) })
		for _, s := range steps {
			switch s.action {
			case "restart":
				f.startResponder(t, 0)
			case "freeze", "thaw":
				f.network.freeze(responderAddress(0), s.action == "freeze")
			case "host":
				f.startHost(t, len(f.hosts))
			}
			limit := s.limit
			if limit < 0 {
				f.setLimit(nil)
			} else {
				f.setLimit(&limit)
			}
			changes = append(changes, limitChange{time.Now(), limit})
			time.Sleep(time.Second)
		}
		f.network.freeze(responderAddress(0), false)
		traffic.Wait()
		f.close()
		if failure := checkLimits(f.arrivals, changes); failure != "" {
			rt.Fatal(failure)
		}
	})
}

// limitChange is a limit that the endpoint states from a time on; a negative one is none.
type limitChange struct {
	at    time.Time
	limit ident.Rate
}

// checkLimits returns a description of a window that had more requests than allowed, or "". A limit counts from graceTime
// after it was first stated, while there was one without a break.
func checkLimits(arrivals []time.Time, changes []limitChange) string {
	slices.SortFunc(arrivals, time.Time.Compare)
	var stated time.Time // when the current series of limits was first stated to a request
	for i, c := range changes {
		end := c.at.Add(time.Second)
		if c.limit < 0 {
			stated = time.Time{}
			continue
		}
		if first := slices.IndexFunc(arrivals, func(a time.Time) bool { return a.After(c.at) && a.Before(end) }); stated.IsZero() && first >= 0 {
			stated = arrivals[first].Add(2 * serviceTime) // the response has arrived
		}
		from := end.Add(-limitWindow)
		if stated.IsZero() || from.Before(stated.Add(graceTime)) || i < int(limitWindow/time.Second) {
			continue
		}
		var allowed float64
		for j := i - int(limitWindow/time.Second) + 1; j <= i; j++ {
			// The requests may follow the limit before for learnTime.
			allowed += limitFactor * float64(max(changes[j].limit, changes[j-1].limit))
		}
		n := 0
		for _, a := range arrivals {
			if a.After(from) && a.Before(end) {
				n++
			}
		}
		if n > int(allowed+limitSlack) {
			return fmt.Sprintf("%d requests in the %s before %s, want at most %d; limits %v", n, limitWindow, end.Sub(changes[0].at), int(allowed+limitSlack), changes[max(0, i-4):i+1])
		}
	}
	return ""
}
