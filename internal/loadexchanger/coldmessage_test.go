package loadexchanger_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/assigner"
	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/event"
	"github.com/nutmegdock/nutmegdock/internal/loadexchanger"
)

// startColdHosts starts entry hosts with the given exchangers, whose fields must not change afterwards.
func (f *limitFleet) startColdHosts(t *testing.T, exchangers ...*loadexchanger.Exchanger) {
	for _, x := range exchangers {
		i := len(f.exchanges)
		a := &assigner.Assigner{}
		a.SetEndpoints(f.endpoints)
		x.Host = ident.Host(fmt.Sprint("h", i))
		x.LocalLoad, x.LoadedEndpoints, x.IsLeaving, x.Limit = a.LocalLoad, a.LoadedEndpoints, a.IsLeaving, a.Limit
		x.OnReply = func(fleetconfig.Endpoint, loadexchanger.Reply) {}
		x.Responder = func(e fleetconfig.Endpoint) netip.AddrPort { return netip.MustParseAddrPort(e.Address) }
		f.run(t, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(1 + i)}), 70), x)
		f.hosts, f.exchanges = append(f.hosts, a), append(f.exchanges, x)
	}
}

// claim is what a host says about an endpoint, which may change.
type claim struct {
	mu    sync.Mutex
	value fleetconfig.Coldness
}

func (c *claim) get(fleetconfig.Endpoint) fleetconfig.Coldness {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.value
}

func (c *claim) set(_ fleetconfig.Endpoint, value fleetconfig.Coldness) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.value = value
}

// Guards against bytes on the wire, or permits that are refused, where no endpoint can be cold.
func TestNothingIsSaidAboutEndpointsThatCannotBeCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLimitFleet(t, 1, 0, 1, 0)
		var heard atomic.Int64
		x := &loadexchanger.Exchanger{
			Cold:   func(fleetconfig.Endpoint) fleetconfig.Coldness { return fleetconfig.Coldness{} },
			OnCold: func(fleetconfig.Endpoint, fleetconfig.Coldness) { heard.Add(1) },
		}
		f.startColdHosts(t, x)
		for range 100 {
			x.Query(context.Background(), f.endpoints)
			ok, _ := x.TakePermit(context.Background(), f.endpoints[0])
			is.True(ok)
		}
		is.Equal(heard.Load(), int64(0))
		f.close()
	})
}

// Guards against a responder that vouches for an endpoint which it has not known for long, or forgets what one host has
// said, and against a log that does not name both limits.
func TestResponderPassesOnWhatHostsSay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLimitFleet(t, 1, 0, 1, 0)
		logs := memory.New()
		f.logger = &log.Logger{Handler: logs, Level: log.InfoLevel}
		f.startResponder(t, 0)
		e := f.endpoints[0]
		known := fleetconfig.Coldness{Rate: 17, Start: 3 * time.Second}
		var said claim
		claims := []*claim{{value: known}, {value: known}}
		for _, c := range claims {
			f.startColdHosts(t, &loadexchanger.Exchanger{Cold: c.get, OnCold: said.set})
		}
		query := func(host int) fleetconfig.Coldness {
			f.exchanges[host].Query(context.Background(), []fleetconfig.Endpoint{e})
			return said.get(e)
		}
		is.True(!query(0).IsSure)
		time.Sleep(3100 * time.Millisecond)
		is.True(query(0).IsSure)
		known.Remaining = 2 * time.Second
		claims[0].set(e, known)
		query(0)
		is.True(query(1).Remaining > 1900*time.Millisecond)
		taken := 0
		for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			if ok, _ := f.exchanges[1].TakePermit(context.Background(), e); ok {
				taken++
			}
		}
		is.True(taken >= 14 && taken <= 18)
		f.hosts[0].RecordLimit(e, fleetconfig.RateLimit{ID: 1, IsLimited: true, Rate: 5, SentAt: time.Now(), ReceivedAt: time.Now()})
		query(0)
		synctest.Wait()
		last := logs.Entries[len(logs.Entries)-1]
		is.Equal(last.Fields["event"], event.PermitRateChanged.Number)
		is.Equal(last.Fields["applies"], "stated")
		is.Equal(last.Fields["stated"], 5.0)
		is.Equal(last.Fields["cold"], 17.0)
		f.close()
	})
}

// Guards against a host that does not hear from the responder that an endpoint is cold until it queries it, and against
// reports that grow for endpoints that are not cold.
func TestHostReportsColdEndpointWithoutQuery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLimitFleet(t, 1, 0, 1, 0)
		e := f.endpoints[0]
		cold := &claim{value: fleetconfig.Coldness{Rate: 17, Start: 3 * time.Second, Remaining: 3 * time.Second}}
		warm := &claim{value: fleetconfig.Coldness{Rate: 17, Start: 3 * time.Second}}
		var said claim
		f.startColdHosts(t, &loadexchanger.Exchanger{Cold: cold.get}, &loadexchanger.Exchanger{Cold: warm.get, OnCold: said.set})
		f.exchanges[0].LoadChanged(e, assigner.Load{})
		time.Sleep(10 * time.Millisecond)
		f.exchanges[1].Query(context.Background(), []fleetconfig.Endpoint{e})
		is.True(said.get(e).Remaining > 2900*time.Millisecond)
		f.close()
	})
}

// Guards against permits that are passed to a host which is not the successor, or twice.
func TestPermitsAreHandedOverOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLimitFleet(t, 1, 0, 0, 0)
		var mu sync.Mutex
		share := 0.5
		var asked []netip.Addr
		var got []float64
		former := &loadexchanger.Exchanger{Cede: func(_ string, from netip.Addr) float64 {
			mu.Lock()
			defer mu.Unlock()
			asked = append(asked, from)
			out := share
			share = 0
			return out
		}}
		successor := &loadexchanger.Exchanger{OnHandover: func(_ string, s float64) {
			mu.Lock()
			defer mu.Unlock()
			got = append(got, s)
		}}
		f.startColdHosts(t, former, successor)
		address := netip.MustParseAddrPort("10.1.0.1:70")
		for range 3 {
			successor.RequestHandover("e", address)
			time.Sleep(100 * time.Millisecond)
		}
		mu.Lock()
		defer mu.Unlock()
		is.Equal(got, []float64{0.5})
		is.Equal(asked[0], netip.MustParseAddr("10.1.0.2"))
		f.close()
	})
}
