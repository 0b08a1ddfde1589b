package router_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/prefixhasher"
	"github.com/nutmegdock/nutmegdock/internal/core/router"
)

func candidates(n int, zone ident.Zone) []router.Candidate {
	var out []router.Candidate
	for i := range n {
		h := ident.Host(fmt.Sprintf("%s-%d", zone, i))
		out = append(out, router.Candidate{Host: h, Zone: zone, Available: true, Load: 0.5, EstimatedWait: 100 * time.Millisecond})
	}
	return out
}

func newRouter() *router.Router {
	return &router.Router{Zone: "a", Intn: rand.New(rand.NewPCG(1, 1)).IntN}
}

func TestChoosesLocalZoneFirst(t *testing.T) {
	is := is.New(t)
	r := newRouter()
	cs := append(candidates(3, "a"), candidates(3, "b")...)
	for range 50 {
		c, ok := r.Choose(cs, 0)
		is.True(ok)
		is.Equal(c.Zone, ident.Zone("a"))
	}
}

func TestLeavesLocalZoneThatIsBusyOrMuchSlower(t *testing.T) {
	is := is.New(t)
	r := newRouter()
	cs := append(candidates(3, "a"), candidates(3, "b")...)
	for i := range 3 {
		cs[i].EstimatedWait = time.Second
	}
	c, _ := r.Choose(cs, 0)
	is.Equal(c.Zone, ident.Zone("b"))
	for i := range 3 {
		cs[i].EstimatedWait = 0
		cs[i].Available = false
	}
	c, _ = r.Choose(cs, 0)
	is.Equal(c.Zone, ident.Zone("b"))
}

func TestPrefixKeepsItsEndpointWithinLoadBound(t *testing.T) {
	is := is.New(t)
	r := newRouter()
	cs := candidates(8, "a")
	const p = prefixhasher.Prefix(7)
	first, _ := r.Choose(cs, p)
	for range 20 {
		c, _ := r.Choose(cs, p)
		is.Equal(c.Host, first.Host)
	}
	for i := range cs {
		if cs[i].Host == first.Host {
			cs[i].Load = 1
		}
	}
	second, _ := r.Choose(cs, p)
	is.True(second.Host != first.Host)
	for range 20 {
		c, _ := r.Choose(cs, p)
		is.Equal(c.Host, second.Host)
	}
}

func TestChoosesShorterWaitOfTwo(t *testing.T) {
	is := is.New(t)
	r := newRouter()
	cs := candidates(4, "a")
	cs[2].EstimatedWait = time.Second
	for range 100 {
		c, _ := r.Choose(cs, 0)
		is.True(c.Host != "a-2") // a-2 has the longest wait and loses every comparison
	}
}
