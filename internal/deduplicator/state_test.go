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
	callerPatience = 40 * time.Second
	settleTime     = 3 * time.Minute
)

// booking is what one caller was told.
type booking struct {
	job    dispatcher.Job
	answer string
	err    *outcome.Error
	took   time.Duration
}

// kind sums up what the caller was told.
func (b booking) kind() string {
	if b.err == nil {
		return "answered"
	}
	return string(b.err.Kind) + " " + string(b.err.Reason)
}

// model drives a world and keeps what the callers were told.
type model struct {
	w     *world
	wg    sync.WaitGroup
	mu    sync.Mutex
	told  []booking
	next  int
	fault error
}

func (m *model) job(key string, ref string) dispatcher.Job {
	m.next++
	return dispatcher.Job{
		ID:         ident.Request(fmt.Sprintf("request-%d", m.next)),
		Deployment: catalog.Effective{Organisation: "o", Name: "b", Spec: catalog.Template{Kind: catalog.KindService, Pool: "p"}},
		Method:     http.MethodPost, Path: "/bookings/" + ref, Header: http.Header{}, Key: key, Wait: 15 * time.Second,
		Repeatable: m.w.off.retryUnknown && key == "",
	}
}

// ask sends a booking in the background.
func (m *model) ask(e *entryHost, j dispatcher.Job) {
	m.w.mu.Lock()
	m.w.asked[j.ID] = time.Now()
	m.w.mu.Unlock()
	m.wg.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), callerPatience)
		defer cancel()
		begin := time.Now()
		b := booking{job: j}
		resp, err := e.dup.Do(ctx, j)
		if err == nil {
			body, rerr := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			b.answer = string(body)
			err = rerr
		}
		if err != nil && !errors.As(err, &b.err) {
			b.err = &outcome.Error{Kind: outcome.Unknown, Text: err.Error()}
		}
		b.took = time.Since(begin)
		m.mu.Lock()
		defer m.mu.Unlock()
		m.told = append(m.told, b)
	})
}

// check holds everything that was told against what was executed.
func (m *model) check() error {
	m.w.mu.Lock()
	defer m.w.mu.Unlock()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.w.late != "" {
		return fmt.Errorf("%s was handed over too late", m.w.late)
	}
	for key, n := range m.w.keys {
		if n > 1 {
			return fmt.Errorf("key %s was executed %d times", key, n)
		}
	}
	for id, n := range m.w.runs {
		if n > 1 {
			return fmt.Errorf("%s was executed %d times", id, n)
		}
	}
	for _, b := range m.told {
		if b.err == nil && b.answer != "booked "+b.job.Path {
			return fmt.Errorf("%s got the answer %q to %s", b.job.ID, b.answer, b.job.Path)
		}
		if b.err != nil && b.err.Kind == outcome.NotRun && m.w.runs[b.job.ID] > 0 {
			return fmt.Errorf("%s was said not to be run (%s) but was executed", b.job.ID, b.err.Text)
		}
		if b.err != nil && b.err.Kind == outcome.NotRun && b.err.After == 0 && b.err.Reason != outcome.KeyConflict {
			return fmt.Errorf("%s was refused without a time to come back: %s", b.job.ID, b.err.Text)
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
	m.w.gone = []membership.Member{{Host: ident.Host(old.name), Control: old.name}}
	m.w.mu.Unlock()
}

func (m *model) replaceEnd(i int, kill bool) {
	m.w.mu.Lock()
	old := m.w.ends[i]
	m.w.mu.Unlock()
	if kill {
		old.kill()
	} else {
		// A planned stop: it refuses new work and ends when it is idle.
		<-old.gate.Leave()
	}
	fresh := m.w.newEnd()
	m.w.mu.Lock()
	m.w.ends[i] = fresh
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
		m.ask(entry(rt), m.job(key, key))
	}
	return map[string]func(*rapid.T){
		"keyed": keyed, "keyed again": keyed, "keyed once more": keyed,
		"keyed at both": func(rt *rapid.T) {
			key := fmt.Sprintf("key-%d", rapid.IntRange(0, 7).Draw(rt, "key"))
			m.ask(m.w.entries[0], m.job(key, key))
			m.ask(m.w.entries[1], m.job(key, key))
		},
		"keyed, then freeze": func(rt *rapid.T) {
			e := entry(rt)
			m.ask(e, m.job("key-1", "key-1"))
			time.Sleep(time.Duration(rapid.IntRange(0, 20).Draw(rt, "after")) * time.Millisecond)
			e.freeze(time.Duration(freeze.Draw(rt, "ms")) * time.Millisecond)
		},
		"freeze, then keyed": func(rt *rapid.T) {
			e := entry(rt)
			e.freeze(time.Duration(freeze.Draw(rt, "ms")) * time.Millisecond)
			m.ask(e, m.job("key-2", "key-2"))
		},
		"other body":   func(rt *rapid.T) { m.ask(entry(rt), m.job("key-0", "other")) },
		"unkeyed":      func(rt *rapid.T) { m.ask(entry(rt), m.job("", fmt.Sprintf("ref-%d", m.next))) },
		"freeze entry": func(rt *rapid.T) { entry(rt).freeze(time.Duration(freeze.Draw(rt, "ms")) * time.Millisecond) },
		"freeze endpoint": func(rt *rapid.T) {
			m.w.ends[pick.Draw(rt, "end")].freeze(time.Duration(freeze.Draw(rt, "ms")) * time.Millisecond)
		},
		"kill entry":       func(rt *rapid.T) { m.replaceEntry(pick.Draw(rt, "entry")) },
		"kill endpoint":    func(rt *rapid.T) { m.replaceEnd(pick.Draw(rt, "end"), true) },
		"leave":            func(rt *rapid.T) { m.replaceEnd(pick.Draw(rt, "end"), false) },
		"log down":         setLog(func(l *fakeLog) { l.down = true }),
		"log up":           setLog(func(l *fakeLog) { l.down = false }),
		"log up again":     setLog(func(l *fakeLog) { l.down = false }),
		"lose appends":     setLog(func(l *fakeLog) { l.lose = 2 }),
		"late appends":     setLog(func(l *fakeLog) { l.late = 1 }),
		"lose answer":      set(&m.w.lost),
		"cross answer":     set(&m.w.crossed),
		"delay answer":     set(&m.w.slow),
		"tear calls":       set(&m.w.torn),
		"pause claims":     set(&m.w.pausedClaims),
		"pause hand-overs": set(&m.w.pausedSends),
		"mute service":     set(&m.w.mute),
		"wait a little":    func(rt *rapid.T) { time.Sleep(time.Duration(rapid.IntRange(1, 100).Draw(rt, "ms")) * time.Millisecond) },
		"wait for a while": func(rt *rapid.T) {
			time.Sleep(time.Duration(rapid.IntRange(100, 5000).Draw(rt, "ms")) * time.Millisecond)
		},
		"": func(*rapid.T) {
			m.w.report()
			if m.fault == nil {
				m.fault = m.check()
			}
		},
	}
}

// heal ends all faults and returns the first violation, also of what comes late.
func (m *model) heal() error {
	m.w.log.mu.Lock()
	m.w.log.down, m.w.log.lose, m.w.log.late = false, 0, 0
	m.w.log.mu.Unlock()
	m.w.mu.Lock()
	m.w.lost, m.w.crossed, m.w.slow, m.w.mute, m.w.torn = 0, 0, 0, 0, 0
	m.w.pausedClaims, m.w.pausedSends = 0, 0
	m.w.mu.Unlock()
	for range settleTime / time.Second {
		time.Sleep(time.Second)
		m.w.report()
	}
	m.wg.Wait()
	if m.fault == nil {
		m.fault = m.check()
	}
	m.ask(m.w.entries[0], m.job("fresh", "fresh"))
	m.ask(m.w.entries[1], m.job("", "unkeyed"))
	m.wg.Wait()
	if m.fault != nil {
		return m.fault
	}
	for _, b := range m.told[len(m.told)-2:] {
		if b.err != nil {
			return fmt.Errorf("healthy again, but %s was not answered: %w", b.job.ID, b.err)
		}
	}
	return m.check()
}

func run(rt *rapid.T, off switches) (*model, error) {
	m := &model{w: newWorld(off)}
	defer func() {
		for _, e := range m.w.entries {
			e.stop()
		}
		m.wg.Wait()
	}()
	rt.Repeat(m.actions())
	return m, m.heal()
}

func TestStateBookings(t *testing.T) {
	told := make(map[string]int)
	rapidtest.Check(t, func(_ *testing.T, rt *rapid.T) {
		m, err := run(rt, switches{})
		if err != nil {
			rt.Fatal(err)
		}
		for _, b := range m.told {
			told[b.kind()]++
		}
	})
	t.Logf("told: %v", told)
}

// TestBookingsWithoutMechanism shows that the oracle sees a violation when a mechanism is off.
func TestBookingsWithoutMechanism(t *testing.T) {
	for name, off := range map[string]switches{
		"claims":              {noClaims: true},
		"first claim wins":    {alwaysWon: true},
		"reading back":        {noReadBack: true},
		"permits":             {noPermits: true},
		"deadline":            {noDeadline: true},
		"no retry of unknown": {retryUnknown: true},
	} {
		t.Run(name, func(t *testing.T) {
			violations := 0
			rapidtest.Check(t, func(_ *testing.T, rt *rapid.T) {
				if _, err := run(rt, off); err != nil {
					violations++
				}
			})
			if violations == 0 {
				t.Fatal("the oracle sees no violation without it")
			}
			t.Logf("violations: %d", violations)
		})
	}
}
