package assigner_test

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/assigner"
	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/loadtracker"
	"github.com/nutmegdock/nutmegdock/internal/core/outcometracker"
)

// plainReplay simulates requests to a plain service with endpoints in three zones, 6 slots each, and an objective of 120 ms. The
// first endpoint is slower by slowFactor, or unreachable, between from and to.
type plainReplay struct {
	endpoints  [3]int
	rate       float64
	slowFactor float64
	isAway     bool
	from, to   time.Duration
	isFormer   bool
}

const (
	plainObjective   = 120 * time.Millisecond
	plainServiceTime = 15 * time.Millisecond
	plainLongTime    = 110 * time.Millisecond
	plainLongShare   = 0.01
)

// run returns the share of the requests between from and to that were served in time.
func (r plainReplay) run(t *testing.T) (inTime float64) {
	var mu sync.Mutex
	served, total := 0.0, 0.0
	synctest.Test(t, func(*testing.T) {
		rng := rand.New(rand.NewPCG(5, 6))
		start := time.Now()
		end := start.Add(30 * time.Second)
		var endpoints []fleetconfig.Endpoint
		var loads []*loadtracker.Tracker
		var outcomes []*outcometracker.Tracker
		var slots []chan struct{}
		for z, n := range r.endpoints {
			for range n {
				id := fmt.Sprint(len(endpoints))
				endpoints = append(endpoints, fleetconfig.Endpoint{ID: id, Pool: "p", Zone: ident.Zone(fmt.Sprint(z)), Address: id, Slots: 6})
				loads, outcomes = append(loads, &loadtracker.Tracker{}), append(outcomes, &outcometracker.Tracker{})
				slots = append(slots, make(chan struct{}, 6))
			}
		}
		isFaulty := func(id string) bool {
			at := time.Since(start)
			return id == "0" && at >= r.from && at < r.to
		}
		var hosts []*assigner.Assigner
		var serial uint64
		next := func() uint64 {
			mu.Lock()
			defer mu.Unlock()
			serial++
			return serial
		}
		for i := range 40 {
			h := &assigner.Assigner{Zone: ident.Zone(fmt.Sprint(i % 3)), Random: lockedRandom(uint64(i))}
			h.OnLoadChange = func(e fleetconfig.Endpoint, load assigner.Load) {
				n, _ := strconv.Atoi(e.ID)
				s := next()
				go func() {
					time.Sleep(replayRoundTrip / 2)
					loads[n].Record(ident.Host(fmt.Sprint(i)), load, 1, s)
				}()
			}
			if !r.isFormer {
				h.OnEjection = func(assigner.Ejection) {}
			}
			h.SetPools(map[ident.Pool]*fleetconfig.Pool{"p": {Name: "p"}})
			h.SetEndpoints(endpoints)
			hosts = append(hosts, h)
			go func() { // probes, as in gatewayserver
				for time.Now().Before(end) {
					time.Sleep(250 * time.Millisecond)
					for _, p := range h.DueProbes() {
						h.RecordProbe(p, !r.isAway || !isFaulty(p.ID))
					}
				}
			}()
		}
		send := func(host int, took time.Duration, isCounted bool) {
			sentAt := time.Now()
			h, name := hosts[host], ident.Host(fmt.Sprint(host))
			excluded := make(map[string]bool)
			for range len(endpoints) {
				q := assigner.Query{Pool: "p", TimeLeft: plainObjective - time.Since(sentAt), Excluded: excluded, Among: make(map[string]bool), IsRepeatable: true, AvoidsSuspects: true}
				var choice *assigner.Assignment
				for round := range assigner.MaxRounds {
					candidates := h.Candidates(q, q.Among, round > 0)
					if len(candidates) == 0 {
						break
					}
					time.Sleep(replayRoundTrip / 2)
					for _, e := range candidates {
						n, _ := strconv.Atoi(e.ID)
						h.SetReport(e, loads[n].Others(name))
						if totals := h.OutcomeTotals(e); totals != nil {
							outcomes[n].Record(name, *totals, 1, next())
							if s, ok := outcomes[n].Sums(h.Zone); ok {
								h.SetOutcomes(e, s)
							}
						}
					}
					time.Sleep(replayRoundTrip / 2)
					var refusal assigner.Refusal
					if choice, refusal = h.Assign(q); refusal == "" {
						break
					}
				}
				if choice == nil {
					return
				}
				id := choice.Endpoint.ID
				excluded[id] = true
				if r.isAway && isFaulty(id) {
					time.Sleep(replayRoundTrip)
					h.Release(choice, assigner.Unreachable)
					continue
				}
				n, _ := strconv.Atoi(id)
				slots[n] <- struct{}{}
				if r.slowFactor > 1 && isFaulty(id) {
					took = time.Duration(float64(took) * r.slowFactor)
				}
				time.Sleep(took)
				<-slots[n]
				h.Release(choice, assigner.Served)
				if isCounted && time.Since(sentAt) <= plainObjective {
					mu.Lock()
					served++
					mu.Unlock()
				}
				return
			}
		}
		for time.Now().Before(end) {
			time.Sleep(time.Duration(rng.ExpFloat64() / r.rate * float64(time.Second)))
			took := plainServiceTime
			if rng.Float64() < plainLongShare {
				took = plainServiceTime + time.Duration(rng.Float64()*float64(plainLongTime-plainServiceTime))
			}
			at := time.Since(start)
			isCounted := at >= r.from && at < r.to
			if isCounted {
				mu.Lock()
				total++
				mu.Unlock()
			}
			go send(rng.IntN(len(hosts)), took, isCounted)
		}
		time.Sleep(10 * time.Second)
	})
	return served / total
}

// Guards against requests that wait at a slow or unreachable endpoint of a plain service while others are idle. The bound is that
// of docs/design/hard-load.md for uneven engines below capacity.
func TestPlainServiceWithOneFaultyEndpoint(t *testing.T) {
	from, to := 5*time.Second, 25*time.Second
	for _, c := range []struct {
		name string
		plainReplay
	}{
		{"slow", plainReplay{endpoints: [3]int{3, 2, 2}, rate: 94, slowFactor: 10, from: from, to: to}},
		{"away", plainReplay{endpoints: [3]int{3, 2, 2}, rate: 94, isAway: true, from: from, to: to}},
		{"in another zone", plainReplay{endpoints: [3]int{0, 3, 2}, rate: 94, from: from, to: to}},
		{"in another zone, one of them slow", plainReplay{endpoints: [3]int{3, 2, 0}, rate: 94, slowFactor: 10, from: from, to: to}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got := c.run(t)
			c.isFormer = true
			former := c.run(t)
			t.Logf("in time: assigner %.4f, former %.4f", got, former)
			is.True(got >= 0.985)
		})
	}
}
