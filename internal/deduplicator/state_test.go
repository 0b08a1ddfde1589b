package deduplicator_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/outcome"
	"github.com/nutmegdock/nutmegdock/internal/dispatcher"
	"github.com/nutmegdock/nutmegdock/internal/membership"
	"github.com/nutmegdock/nutmegdock/internal/rapidtest"
)

const (
	callerTimeout  = 40 * time.Second
	recoveryPeriod = 3 * time.Minute
)

// callResult is the result that one caller received.
type callResult struct {
	request  dispatcher.Request
	body     string
	err      *outcome.Error
	duration time.Duration
}

// kind returns the kind of the result, for counting.
func (r callResult) kind() string {
	if r.err == nil {
		return "answered"
	}
	return string(r.err.Kind) + " " + string(r.err.Reason)
}

// model drives a world and records the results that the callers received.
type model struct {
	w            *world
	callers      sync.WaitGroup
	mu           sync.Mutex
	results      []callResult
	requestCount int
	violation    error
}

func (m *model) newRequest(key string, ref string) dispatcher.Request {
	m.requestCount++
	return dispatcher.Request{
		ID:         ident.RequestID(fmt.Sprintf("request-%d", m.requestCount)),
		Deployment: catalog.EffectiveDeployment{Organisation: "o", Name: "b", Spec: catalog.Template{Kind: catalog.KindService, Pool: "p"}},
		Method:     http.MethodPost, Path: "/bookings/" + ref, Header: http.Header{}, IdempotencyKey: key, HeaderTimeout: 15 * time.Second,
		Repeatable: m.w.disabled.retryUnknown && key == "",
	}
}

// send sends a booking in the background and records its result.
func (m *model) send(e *entryHost, req dispatcher.Request) {
	m.w.mu.Lock()
	m.w.sentAt[req.ID] = time.Now()
	m.w.mu.Unlock()
	m.callers.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
		defer cancel()
		begin := time.Now()
		r := callResult{request: req}
		resp, err := e.deduplicator.Do(ctx, req)
		if err == nil {
			body, rerr := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			r.body = string(body)
			err = rerr
		}
		if err != nil && !errors.As(err, &r.err) {
			r.err = &outcome.Error{Kind: outcome.Unknown, Message: err.Error()}
		}
		r.duration = time.Since(begin)
		m.mu.Lock()
		defer m.mu.Unlock()
		m.results = append(m.results, r)
	})
}

// check compares the results that the callers received with what the back ends executed.
func (m *model) check() error {
	m.w.mu.Lock()
	defer m.w.mu.Unlock()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.w.lateRequest != "" {
		return fmt.Errorf("%s was forwarded too late", m.w.lateRequest)
	}
	for key, n := range m.w.executionsByKey {
		if n > 1 {
			return fmt.Errorf("key %s was executed %d times", key, n)
		}
	}
	for id, n := range m.w.executions {
		if n > 1 {
			return fmt.Errorf("%s was executed %d times", id, n)
		}
	}
	for _, r := range m.results {
		if r.err == nil && r.body != "booked "+r.request.Path {
			return fmt.Errorf("%s got the response %q to %s", r.request.ID, r.body, r.request.Path)
		}
		if r.err != nil && r.err.Kind == outcome.NotRun && m.w.executions[r.request.ID] > 0 {
			return fmt.Errorf("%s was reported as not run (%s) but was executed", r.request.ID, r.err.Message)
		}
		if r.err != nil && r.err.Kind == outcome.NotRun && r.err.RetryAfter == 0 && r.err.Reason != outcome.KeyConflict {
			return fmt.Errorf("%s was refused without a retry delay: %s", r.request.ID, r.err.Message)
		}
	}
	return nil
}

func (m *model) replaceEntry(i int) {
	m.w.mu.Lock()
	old := m.w.entries[i]
	m.w.mu.Unlock()
	old.kill()
	old.stop()
	fresh := m.w.newEntry()
	m.w.mu.Lock()
	m.w.entries[i] = fresh
	m.w.removedMembers = []membership.Member{{Host: ident.Host(old.name), ControlAddress: old.name}}
	m.w.mu.Unlock()
}

func (m *model) replaceEndpoint(i int, kill bool) {
	m.w.mu.Lock()
	old := m.w.endpoints[i]
	m.w.mu.Unlock()
	if kill {
		old.kill()
	} else {
		// A graceful shutdown: the host refuses new requests and stops when none is in flight.
		<-old.gate.Drain()
	}
	fresh := m.w.newEndpoint()
	m.w.mu.Lock()
	m.w.endpoints[i] = fresh
	m.w.mu.Unlock()
}

func (m *model) actions() map[string]func(*rapid.T) {
	pick := rapid.IntRange(0, 1)
	freeze := rapid.IntRange(100, 8000)
	entry := func(rt *rapid.T) *entryHost { return m.w.entries[pick.Draw(rt, "entry")] }
	set := func(n *int) func(*rapid.T) {
		return func(rt *rapid.T) {
			k := rapid.IntRange(1, 2).Draw(rt, "count")
			m.w.mu.Lock()
			defer m.w.mu.Unlock()
			*n = k
		}
	}
	setLog := func(change func(l *fakeLog)) func(*rapid.T) {
		return func(*rapid.T) {
			m.w.log.mu.Lock()
			defer m.w.log.mu.Unlock()
			change(&m.w.log)
		}
	}
	keyed := func(rt *rapid.T) {
		key := fmt.Sprintf("key-%d", rapid.IntRange(0, 7).Draw(rt, "key"))
		m.send(entry(rt), m.newRequest(key, key))
	}
	return map[string]func(*rapid.T){
		"keyed": keyed, "keyed again": keyed, "keyed once more": keyed,
		"keyed at both": func(rt *rapid.T) {
			key := fmt.Sprintf("key-%d", rapid.IntRange(0, 7).Draw(rt, "key"))
			m.send(m.w.entries[0], m.newRequest(key, key))
			m.send(m.w.entries[1], m.newRequest(key, key))
		},
		"keyed, then freeze": func(rt *rapid.T) {
			e := entry(rt)
			m.send(e, m.newRequest("key-1", "key-1"))
			time.Sleep(time.Duration(rapid.IntRange(0, 20).Draw(rt, "after")) * time.Millisecond)
			e.freeze(time.Duration(freeze.Draw(rt, "ms")) * time.Millisecond)
		},
		"freeze, then keyed": func(rt *rapid.T) {
			e := entry(rt)
			e.freeze(time.Duration(freeze.Draw(rt, "ms")) * time.Millisecond)
			m.send(e, m.newRequest("key-2", "key-2"))
		},
		"other body":   func(rt *rapid.T) { m.send(entry(rt), m.newRequest("key-0", "other")) },
		"unkeyed":      func(rt *rapid.T) { m.send(entry(rt), m.newRequest("", fmt.Sprintf("ref-%d", m.requestCount))) },
		"freeze entry": func(rt *rapid.T) { entry(rt).freeze(time.Duration(freeze.Draw(rt, "ms")) * time.Millisecond) },
		"freeze endpoint": func(rt *rapid.T) {
			m.w.endpoints[pick.Draw(rt, "end")].freeze(time.Duration(freeze.Draw(rt, "ms")) * time.Millisecond)
		},
		"kill entry":                func(rt *rapid.T) { m.replaceEntry(pick.Draw(rt, "entry")) },
		"kill endpoint":             func(rt *rapid.T) { m.replaceEndpoint(pick.Draw(rt, "end"), true) },
		"leave":                     func(rt *rapid.T) { m.replaceEndpoint(pick.Draw(rt, "end"), false) },
		"log down":                  setLog(func(l *fakeLog) { l.down = true }),
		"log up":                    setLog(func(l *fakeLog) { l.down = false }),
		"log up again":              setLog(func(l *fakeLog) { l.down = false }),
		"lose appends":              setLog(func(l *fakeLog) { l.loseResponses = 2 }),
		"late appends":              setLog(func(l *fakeLog) { l.delayAppends = 1 }),
		"lose an HTTP response":     set(&m.w.loseResponses),
		"cross responses":           set(&m.w.crossResponses),
		"delay response":            set(&m.w.delayResponses),
		"relay call loses response": set(&m.w.loseRelayResponses),
		"pause claims":              set(&m.w.pauseAfterClaims),
		"pause forwards":            set(&m.w.pauseBeforeForwards),
		"lose back-end response":    set(&m.w.loseBackendResponses),
		"wait a little":             func(rt *rapid.T) { time.Sleep(time.Duration(rapid.IntRange(1, 100).Draw(rt, "ms")) * time.Millisecond) },
		"wait for a while": func(rt *rapid.T) {
			time.Sleep(time.Duration(rapid.IntRange(100, 5000).Draw(rt, "ms")) * time.Millisecond)
		},
		"": func(*rapid.T) {
			m.w.reportEndpoints()
			if m.violation == nil {
				m.violation = m.check()
			}
		},
	}
}

// checkRecovery ends all faults and returns the first violation, including those caused by messages that arrive late.
// It also checks that new requests then get responses.
func (m *model) checkRecovery() error {
	m.w.log.mu.Lock()
	m.w.log.down, m.w.log.loseResponses, m.w.log.delayAppends = false, 0, 0
	m.w.log.mu.Unlock()
	m.w.mu.Lock()
	m.w.loseResponses, m.w.crossResponses, m.w.delayResponses, m.w.loseBackendResponses, m.w.loseRelayResponses = 0, 0, 0, 0, 0
	m.w.pauseAfterClaims, m.w.pauseBeforeForwards = 0, 0
	m.w.mu.Unlock()
	for range recoveryPeriod / time.Second {
		time.Sleep(time.Second)
		m.w.reportEndpoints()
	}
	m.callers.Wait()
	if m.violation == nil {
		m.violation = m.check()
	}
	m.send(m.w.entries[0], m.newRequest("fresh", "fresh"))
	m.send(m.w.entries[1], m.newRequest("", "unkeyed"))
	m.callers.Wait()
	if m.violation != nil {
		return m.violation
	}
	for _, r := range m.results[len(m.results)-2:] {
		if r.err != nil {
			return fmt.Errorf("all faults ended, but %s got no response: %w", r.request.ID, r.err)
		}
	}
	return m.check()
}

func run(rt *rapid.T, disabled mechanismSwitches) (*model, error) {
	m := &model{w: newWorld(disabled)}
	defer func() {
		for _, e := range m.w.entries {
			e.stop()
		}
		m.callers.Wait()
	}()
	rt.Repeat(m.actions())
	return m, m.checkRecovery()
}

func TestStateBookings(t *testing.T) {
	outcomes := make(map[string]int)
	rapidtest.Check(t, func(_ *testing.T, rt *rapid.T) {
		m, err := run(rt, mechanismSwitches{})
		if err != nil {
			rt.Fatal(err)
		}
		for _, r := range m.results {
			outcomes[r.kind()]++
		}
	})
	t.Logf("outcomes: %v", outcomes)
}

// TestBookingsWithoutMechanism checks that the test oracle detects a violation when a mechanism is disabled.
func TestBookingsWithoutMechanism(t *testing.T) {
	for name, disabled := range map[string]mechanismSwitches{
		"claims":              {noClaims: true},
		"first claim wins":    {everyClaimWins: true},
		"reading back":        {noReadBack: true},
		"permits":             {noPermits: true},
		"deadline":            {noDeadline: true},
		"no retry of unknown": {retryUnknown: true},
	} {
		t.Run(name, func(t *testing.T) {
			violations := 0
			rapidtest.Check(t, func(_ *testing.T, rt *rapid.T) {
				if _, err := run(rt, disabled); err != nil {
					violations++
				}
			})
			if violations == 0 {
				t.Fatal("the oracle detects no violation with the mechanism disabled")
			}
			t.Logf("violations: %d", violations)
		})
	}
}
