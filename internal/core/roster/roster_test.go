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

func TestShortAbsenceMovesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var r Roster
		r.List(time.Now(), []Sighting{{Host: "a", Zone: "z", Birth: 1}})
		time.Sleep(GoneTime)
		r.List(time.Now(), nil)
		is.Equal(r.State(time.Now(), "a"), Live)
		time.Sleep(time.Millisecond)
		r.List(time.Now(), nil)
		is.Equal(r.State(time.Now(), "a"), Gone)
	})
}

func TestOutageOfTheListAgesNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var r Roster
		r.List(time.Now(), []Sighting{{Host: "a", Zone: "z", Birth: 1}})
		time.Sleep(time.Hour)
		is.Equal(r.State(time.Now(), "a"), Live)
		r.List(time.Now(), []Sighting{{Host: "a", Zone: "z", Birth: 1}})
		is.Equal(r.State(time.Now(), "a"), Live)
	})
}

// TestStateRoster holds the roster against the truth of each host's incarnations, with a list that lags, loses hosts
// for a while and has outages.
func TestStateRoster(t *testing.T) {
	rapidtest.Check(t, func(_ *testing.T, rt *rapid.T) {
		const hosts, lag = 4, 3
		var r Roster
		type truth struct {
			birth   int64
			leaving bool
		}
		now := make(map[ident.Host]truth)
		left := make(map[ident.Host]int64) // latest incarnation that gave a sign of leaving
		known := make(map[ident.Host]int64)
		var past [][]Sighting
		name := func() ident.Host {
			return ident.Host(fmt.Sprintf("h%d", rapid.IntRange(0, hosts-1).Draw(rt, "host")))
		}
		sign := func(h ident.Host) Sighting {
			return Sighting{Host: h, Zone: "z", Birth: now[h].birth, Leaving: now[h].leaving}
		}
		take := func(s Sighting) {
			if s.Birth < known[s.Host] {
				return
			}
			known[s.Host] = s.Birth
			if s.Leaving {
				left[s.Host] = s.Birth
			}
		}
		rt.Repeat(map[string]func(*rapid.T){
			"restart": func(*rapid.T) {
				h := name()
				now[h] = truth{birth: now[h].birth + 1}
			},
			"leave": func(*rapid.T) {
				h := name()
				now[h] = truth{birth: now[h].birth, leaving: true}
			},
			"report": func(*rapid.T) {
				s := sign(name())
				if r.Hear(time.Now(), s) != (s.Birth >= known[s.Host]) {
					rt.Fatalf("report of %+v misjudged, known incarnation %d", s, known[s.Host])
				}
				take(s)
			},
			"late report": func(*rapid.T) {
				h := name()
				s := Sighting{Host: h, Zone: "z", Birth: now[h].birth - 1}
				r.Hear(time.Now(), s)
				take(s)
			},
			"list": func(*rapid.T) {
				var list []Sighting
				for h := range now {
					list = append(list, sign(h))
				}
				past = append(past, list)
				seen := past[max(0, len(past)-1-rapid.IntRange(0, lag).Draw(rt, "lag"))]
				if rapid.Bool().Draw(rt, "gap") {
					seen = nil
				}
				r.List(time.Now(), seen)
				for _, s := range seen {
					take(s)
				}
			},
			"pass": func(*rapid.T) {
				time.Sleep(time.Duration(rapid.IntRange(1, 4000).Draw(rt, "ms")) * time.Millisecond)
			},
			"": func(*rapid.T) {
				for h := range now {
					st := r.State(time.Now(), h)
					if left[h] != 0 && left[h] == known[h] && st != Leaving && st != Gone {
						rt.Fatalf("host %s gave a sign of leaving in incarnation %d and is %s", h, known[h], st)
					}
					if left[h] < known[h] && st == Leaving {
						rt.Fatalf("host %s is taken for leaving by a sign of an earlier incarnation", h)
					}
				}
			},
		})
	})
}
