package roster

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/rapidtest"
)

func TestHostIsGoneOnlyAfterGoneTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var r Roster
		r.ApplyList(time.Now(), []Observation{{Host: "a", Zone: "z", StartTime: 1}})
		time.Sleep(GoneTimeout)
		r.ApplyList(time.Now(), nil)
		is.Equal(r.State(time.Now(), "a"), Live)
		time.Sleep(time.Millisecond)
		r.ApplyList(time.Now(), nil)
		is.Equal(r.State(time.Now(), "a"), Gone)
	})
}

func TestHostStaysLiveDuringListOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var r Roster
		r.ApplyList(time.Now(), []Observation{{Host: "a", Zone: "z", StartTime: 1}})
		time.Sleep(time.Hour)
		is.Equal(r.State(time.Now(), "a"), Live)
		r.ApplyList(time.Now(), []Observation{{Host: "a", Zone: "z", StartTime: 1}})
		is.Equal(r.State(time.Now(), "a"), Live)
	})
}

// TestStateRoster checks the roster against the actual incarnations of the hosts, with a list that lags, is sometimes
// empty, and has outages.
func TestStateRoster(t *testing.T) {
	rapidtest.Check(t, func(_ *testing.T, rt *rapid.T) {
		const hosts, lag = 4, 3
		var r Roster
		type hostState struct {
			incarnation int64
			leaving     bool
		}
		actual := make(map[ident.Host]hostState)
		leaving := make(map[ident.Host]int64) // the latest incarnation that was seen leaving
		known := make(map[ident.Host]int64)
		var pastLists [][]Observation
		drawHost := func() ident.Host {
			return ident.Host(fmt.Sprintf("h%d", rapid.IntRange(0, hosts-1).Draw(rt, "host")))
		}
		observation := func(h ident.Host) Observation {
			return Observation{Host: h, Zone: "z", StartTime: actual[h].incarnation, Leaving: actual[h].leaving}
		}
		apply := func(s Observation) {
			if s.StartTime < known[s.Host] {
				return
			}
			known[s.Host] = s.StartTime
			if s.Leaving {
				leaving[s.Host] = s.StartTime
			}
		}
		rt.Repeat(map[string]func(*rapid.T){
			"restart": func(*rapid.T) {
				h := drawHost()
				actual[h] = hostState{incarnation: actual[h].incarnation + 1}
			},
			"leave": func(*rapid.T) {
				h := drawHost()
				actual[h] = hostState{incarnation: actual[h].incarnation, leaving: true}
			},
			"report": func(*rapid.T) {
				s := observation(drawHost())
				if r.Observe(time.Now(), s) != (s.StartTime >= known[s.Host]) {
					rt.Fatalf("observation %+v was wrongly accepted or ignored, known incarnation %d", s, known[s.Host])
				}
				apply(s)
			},
			"late report": func(*rapid.T) {
				h := drawHost()
				s := Observation{Host: h, Zone: "z", StartTime: actual[h].incarnation - 1}
				r.Observe(time.Now(), s)
				apply(s)
			},
			"list": func(*rapid.T) {
				var list []Observation
				for h := range actual {
					list = append(list, observation(h))
				}
				pastLists = append(pastLists, list)
				received := pastLists[max(0, len(pastLists)-1-rapid.IntRange(0, lag).Draw(rt, "lag"))]
				if rapid.Bool().Draw(rt, "gap") {
					received = nil
				}
				r.ApplyList(time.Now(), received)
				for _, s := range received {
					apply(s)
				}
			},
			"pass": func(*rapid.T) {
				time.Sleep(time.Duration(rapid.IntRange(1, 4000).Draw(rt, "ms")) * time.Millisecond)
			},
			"": func(*rapid.T) {
				for h := range actual {
					state := r.State(time.Now(), h)
					if leaving[h] != 0 && leaving[h] == known[h] && state != Leaving && state != Gone {
						rt.Fatalf("host %s was seen leaving in incarnation %d but is %s", h, known[h], state)
					}
					if leaving[h] < known[h] && state == Leaving {
						rt.Fatalf("host %s counts as leaving because of an earlier incarnation", h)
					}
				}
			},
		})
	})
}
