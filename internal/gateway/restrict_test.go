package gateway_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"pgregory.net/rapid"

	"github.com/nutmegdock/nutmegdock/internal/core/assigner"
	"github.com/nutmegdock/nutmegdock/internal/core/crashsuspector"
	"github.com/nutmegdock/nutmegdock/internal/core/evacuationtracker"
	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/retrybudget"
	"github.com/nutmegdock/nutmegdock/internal/core/zonerestrictor"
	"github.com/nutmegdock/nutmegdock/internal/gateway"
	"github.com/nutmegdock/nutmegdock/internal/rapidtest"
	"github.com/nutmegdock/nutmegdock/internal/sender"
)

// zoneRegions are the regions of the zones of the fleet. The region of zone "x" is not known.
var zoneRegions = map[ident.Zone]ident.Region{"a1": "a", "a2": "a", "b1": "b", "c1": "c"}

// zoneArrival is a request that has reached an endpoint.
type zoneArrival struct {
	id   ident.RequestID
	zone ident.Zone
	at   time.Time
	// left is the remaining time in milliseconds that the request states.
	left string
}

// zoneFleet is a gateway with endpoints in several zones, which respond in ways that a random number selects.
type zoneFleet struct {
	gateway     *gateway.Gateway
	evacuations *evacuationtracker.Tracker
	behaviour   func() int
	dialDelay   func() time.Duration

	mu       sync.Mutex
	zones    map[string]ident.Zone // by address
	arrivals []zoneArrival
	conns    sync.WaitGroup
}

func newZoneFleet(behaviour func() int, dialDelay func() time.Duration) *zoneFleet {
	f := &zoneFleet{evacuations: &evacuationtracker.Tracker{}, behaviour: behaviour, dialDelay: dialDelay, zones: make(map[string]ident.Zone)}
	a := &assigner.Assigner{Zone: "a1"}
	var endpoints []fleetconfig.Endpoint
	for i, z := range []ident.Zone{"a1", "a2", "b1", "b1", "c1", "x"} {
		e := fleetconfig.Endpoint{ID: fmt.Sprint("e", i), Pool: "p", Address: fmt.Sprintf("10.0.0.%d:80", 1+i), Zone: z, Slots: 4}
		endpoints = append(endpoints, e)
		f.zones[e.Address] = z
	}
	a.SetEndpoints(endpoints)
	f.gateway = &gateway.Gateway{
		Codec: testCodec, Assigner: a, Sender: &sender.Sender{Dial: f.dial}, RetryBudget: &retrybudget.Budget{TokensPerRequest: 1, Burst: 100},
		Restrictor:    zonerestrictor.Restrictor{Regions: zoneRegions, IsEvacuated: f.evacuations.IsEvacuated},
		OldestRelease: func(fleetconfig.Model) fleetconfig.Release { return 1 },
		RetryAfter:    func(time.Duration) time.Duration { return time.Second },
		Logger:        &log.Logger{Handler: discard.New(), Level: log.InfoLevel}, Meter: gateway.NewMeter(prometheus.NewRegistry()),
		Suspector: &crashsuspector.Suspector{},
	}
	f.gateway.Suspector.OnQuarantine, f.gateway.Suspector.OnLift = f.gateway.HandleQuarantine, f.gateway.HandleLift
	return f
}

func (f *zoneFleet) dial(ctx context.Context, _, address string) (net.Conn, error) {
	select {
	case <-time.After(f.dialDelay()):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	near, far := net.Pipe()
	f.conns.Go(func() { f.serve(far, address) })
	return near, nil
}

func (f *zoneFleet) serve(c net.Conn, address string) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return // the request was withdrawn before it was sent
	}
	f.mu.Lock()
	f.arrivals = append(f.arrivals, zoneArrival{ident.RequestID(r.Header.Get("Id")), f.zones[address], time.Now(), r.Header.Get("Left")})
	f.mu.Unlock()
	time.Sleep(20 * time.Millisecond)
	switch f.behaviour() {
	case 0:
		_, _ = io.WriteString(c, "HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
	case 1: // no response
	case 2:
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nSigned: s\r\nId: "+r.Header.Get("Id")+"\r\nTransfer-Encoding: chunked\r\n\r\n10\r\nid: 1\ndata: xyz\n\n\r\n8\r\nid: 99\nd\r\n")
	default:
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nSigned: s\r\nId: "+r.Header.Get("Id")+"\r\nContent-Length: 2\r\n\r\nok")
	}
}

// configure puts a configuration into force. The lists restrict the routes and the organisation.
func (f *zoneFleet) configure(revision fleetconfig.Revision, route, org []ident.Region) {
	config := &fleetconfig.Config{
		Revision: revision, Keys: map[fleetconfig.Key]*fleetconfig.Organisation{"k": {Name: "o", Regions: org}},
		Pools: map[ident.Pool]*fleetconfig.Pool{"p": {Name: "p"}},
	}
	var list []fleetconfig.Route
	for _, r := range routes[:4] {
		r.Pools, r.Timeout, r.Objective, r.Regions = []fleetconfig.PoolShare{{Pool: "p", Weight: 1}}, 3*time.Second, time.Second, route
		list = append(list, r)
	}
	config.SetRoutes(list)
	f.gateway.SetConfig(config)
}

// send sends a request and returns the status of its response; zero if the connection was closed.
func (f *zoneFleet) send(id, path string) (status int) {
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader("body"))
	r.Host = ""
	for k, v := range map[string]string{"Id": id, "Left": "3000", "Key": "k"} {
		r.Header.Set(k, v)
	}
	w := httptest.NewRecorder()
	defer func() {
		if err, ok := recover().(error); ok && !errors.Is(err, http.ErrAbortHandler) {
			panic(err)
		}
	}()
	f.gateway.ServeHTTP(w, r)
	return w.Code
}

func (f *zoneFleet) close() {
	f.conns.Wait()
}

// allowedZones is the oracle of the restrictions: the zones of the regions that are in both lists.
func allowedZones(route, org []ident.Region) map[ident.Zone]bool {
	out := make(map[ident.Zone]bool)
	for _, z := range []ident.Zone{"a1", "a2", "b1", "c1", "x"} {
		region := zoneRegions[z]
		inRoute := len(route) == 0 || region != "" && slices.Contains(route, region)
		inOrg := len(org) == 0 || region != "" && slices.Contains(org, region)
		out[z] = inRoute && inOrg
	}
	return out
}

// Configurations that narrow the regions of the route and the organisation, and evacuations, come into force while requests
// wait, connect, are repeated and resume. No request may reach an endpoint outside of the zones that were allowed when it
// arrived and are still allowed when it is sent.
func TestStateRequestsRunOnlyInAllowedZones(t *testing.T) {
	rapidtest.Check(t, func(_ *testing.T, rt *rapid.T) {
		type change struct {
			route, org []ident.Region
			evacuated  ident.Zone
			path       string
			pause      time.Duration
		}
		regionList := rapid.SampledFrom([][]ident.Region{nil, nil, {"a"}, {"b"}, {"a", "b"}, {"b", "c"}, {"d"}})
		changes := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) change {
			return change{
				regionList.Draw(rt, "route"), regionList.Draw(rt, "org"),
				rapid.SampledFrom([]ident.Zone{"", "", "a1", "b1", "x"}).Draw(rt, "evacuated"),
				rapid.SampledFrom([]string{"/once/", "/read/", "/stream/"}).Draw(rt, "path"),
				time.Duration(rapid.IntRange(1, 90).Draw(rt, "pause")) * time.Millisecond,
			}
		}), 1, 20).Draw(rt, "changes")
		behaviours := rapid.SliceOfN(rapid.IntRange(0, 5), 8, 8).Draw(rt, "behaviours")
		delays := rapid.SliceOfN(rapid.IntRange(0, 60), 8, 8).Draw(rt, "delays")
		var mu sync.Mutex
		drawn := 0
		next := func(list []int) int {
			mu.Lock()
			defer mu.Unlock()
			drawn++
			return list[drawn%len(list)]
		}
		f := newZoneFleet(func() int { return next(behaviours) }, func() time.Duration {
			// The fraction keeps arrivals from coinciding with changes, which happen at whole milliseconds.
			return time.Duration(next(delays))*time.Millisecond + 100*time.Microsecond
		})
		type period struct {
			from    time.Time
			allowed map[ident.Zone]bool
		}
		var periods []period
		atArrival := make(map[ident.RequestID]map[ident.Zone]bool)
		var requests sync.WaitGroup
		for i, c := range changes {
			f.configure(fleetconfig.Revision(1+i), c.route, c.org)
			f.evacuations.Replace(nil)
			allowed := allowedZones(c.route, c.org)
			if c.evacuated != "" {
				f.evacuations.Begin(c.evacuated)
			}
			restricted := allowedZones(c.route, c.org)
			if c.evacuated != "" {
				restricted[c.evacuated] = false
			}
			periods = append(periods, period{time.Now(), restricted})
			id := fmt.Sprint("r", i)
			atArrival[ident.RequestID(id)] = allowed
			requests.Go(func() {
				status := f.send(id, c.path)
				if !anyAllowed(allowed) && status != http.StatusServiceUnavailable {
					rt.Errorf("request %s may run nowhere, but was answered %d", id, status)
				}
			})
			time.Sleep(c.pause)
		}
		requests.Wait()
		f.close()
		for _, a := range f.arrivals {
			current := periods[0].allowed
			for _, p := range periods {
				if !p.from.After(a.at) {
					current = p.allowed
				}
			}
			if !atArrival[a.id][a.zone] || !current[a.zone] {
				rt.Fatalf("request %s reached zone %s at %s; allowed at its arrival %v, now %v", a.id, a.zone, a.at, atArrival[a.id], current)
			}
		}
	})
}

func anyAllowed(zones map[ident.Zone]bool) bool {
	for _, ok := range zones {
		if ok {
			return true
		}
	}
	return false
}

// A request that may run nowhere must be refused at once, without an invitation to retry.
func TestRequestWithoutAllowedZoneIsRefused(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, []step{notLimited})
	f.configure(1)
	for _, evacuated := range []bool{true, false} {
		f.gateway.Restrictor.IsEvacuated = func(ident.Zone) bool { return evacuated }
		start := time.Now()
		status, body, h, err := f.send("/once/", nil)
		is.NoErr(err)
		is.True(time.Since(start) < time.Second)
		if !evacuated {
			is.Equal(status, 200)
			continue
		}
		is.Equal(status, 503)
		is.True(strings.Contains(body, `"restricted"`))
		is.Equal(h.Get("Retry-After"), "")
		is.Equal(len(f.requests()), 0)
	}
}
