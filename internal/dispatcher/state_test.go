package dispatcher_test

import (
	"bytes"
	"context"
	"encoding/json"
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
	"github.com/nutmegdock/nutmegdock/internal/core/quarantiner"
	"github.com/nutmegdock/nutmegdock/internal/dispatcher"
	"github.com/nutmegdock/nutmegdock/internal/engineapi"
	"github.com/nutmegdock/nutmegdock/internal/rapidtest"
	"github.com/nutmegdock/nutmegdock/internal/standin/engine"
)

const answerTokens = 12

// model drives a world and keeps what went wrong.
type model struct {
	w       *world
	wg      sync.WaitGroup
	mu      sync.Mutex
	next    int
	dropped int
	faulty  bool
	busy    bool
	fault   error
	whole   int
	broken  int
}

func (m *model) job(prompt string) dispatcher.Job {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.next++
	body, _ := json.Marshal(map[string]any{"model": "chat", "prompt": prompt, "max_tokens": answerTokens, "stream": true, "extra": true})
	return dispatcher.Job{
		ID:         ident.Request(fmt.Sprintf("request-%d", m.next)),
		Deployment: catalog.Effective{Organisation: "o", Name: "chat", Set: set, Spec: catalog.Template{Kind: catalog.KindEngine, Pool: "p"}},
		Method:     http.MethodPost, Path: engineapi.CompletionsPath, Header: http.Header{}, Body: body, Repeatable: true,
		Digest: quarantiner.Digest(prompt), Wait: 10 * time.Second, Stall: 2 * time.Second,
	}
}

// read sends a job and returns the text of its answer, and whether it was whole.
func (m *model) read(ctx context.Context, d *dispatcher.Dispatcher, j dispatcher.Job) (string, bool, error) {
	resp, err := d.Do(ctx, j)
	if err != nil {
		return "", false, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	text, done := "", false
	for ev := range bytes.SplitSeq(body, []byte("\n\n")) {
		data, ok := bytes.CutPrefix(ev, []byte("data: "))
		if !ok {
			if len(ev) > 0 {
				return text, false, fmt.Errorf("partial event %q passed on", ev)
			}
			continue
		}
		if string(data) == engineapi.DoneMark {
			done = true
			continue
		}
		var a engineapi.Answer
		if uerr := json.Unmarshal(data, &a); uerr != nil {
			return text, false, fmt.Errorf("event %q: %w", data, uerr)
		}
		text += a.Choices[0].Text
	}
	return text, done && err == nil, err
}

func (m *model) fail(format string, args ...any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fault == nil {
		m.fault = fmt.Errorf(format, args...)
	}
}

func (m *model) innocent(d *dispatcher.Dispatcher) {
	j := m.job("")
	prompt := "innocent " + string(j.ID)
	j.Body = bytes.Replace(j.Body, []byte(`"prompt":""`), []byte(`"prompt":"`+prompt+`"`), 1)
	j.Digest = quarantiner.Digest(prompt)
	m.wg.Go(func() {
		text, whole, err := m.read(context.Background(), d, j)
		want := engine.Text(set, prompt, answerTokens)
		m.mu.Lock()
		faulty := m.faulty
		if whole {
			m.whole++
		} else {
			m.broken++
		}
		m.mu.Unlock()
		var o *outcome.Error
		switch {
		case whole && text != want:
			m.fail("%s got %q instead of %q", prompt, text, want)
		case len(text) > len(want) || text != want[:len(text)]:
			m.fail("%s got %q, which does not begin its answer", prompt, text)
		case !whole && err == nil:
			m.fail("%s was cut but looks whole", prompt)
		case errors.As(err, &o) && o.Reason == outcome.Condemned:
			m.fail("%s was condemned", prompt)
		case !whole && !faulty:
			m.fail("%s was not answered: %w", prompt, err)
		}
	})
}

// poisonous is a caller who asks again at once through the other entry host.
func (m *model) poisonous(first int) {
	m.mu.Lock()
	skip := m.busy
	m.busy = true
	m.mu.Unlock()
	if skip {
		return
	}
	m.wg.Go(func() {
		for i := range 4 {
			j := m.job(poison)
			if _, whole, _ := m.read(context.Background(), m.w.entries[(first+i)%2], j); whole {
				m.fail("a request that kills engines was answered")
			}
			time.Sleep(time.Millisecond)
		}
		m.mu.Lock()
		m.busy = false
		m.mu.Unlock()
	})
}

func (m *model) actions() map[string]func(*rapid.T) {
	pick := rapid.IntRange(0, 1)
	fault := func(n *int) func(*rapid.T) {
		return func(*rapid.T) {
			m.mu.Lock()
			m.faulty = true
			m.mu.Unlock()
			m.w.mu.Lock()
			defer m.w.mu.Unlock()
			*n = 1
		}
	}
	ask := func(rt *rapid.T) {
		for range rapid.IntRange(1, 3).Draw(rt, "count") {
			m.innocent(m.w.entries[pick.Draw(rt, "entry")])
		}
	}
	return map[string]func(*rapid.T){
		"ask": ask, "ask more": ask, "ask again": ask,
		"poison":  func(rt *rapid.T) { m.poisonous(pick.Draw(rt, "entry")) },
		"cut":     fault(&m.w.cut),
		"foreign": fault(&m.w.foreign),
		"stall":   fault(&m.w.stall),
		"drop notice": func(*rapid.T) {
			// A lost notice can cost one more engine, and so one more attempt of its neighbours.
			m.dropped++
			m.mu.Lock()
			m.faulty = true
			m.mu.Unlock()
			m.w.mu.Lock()
			defer m.w.mu.Unlock()
			m.w.dropped++
		},
		"caller leaves": func(rt *rapid.T) {
			ctx, cancel := context.WithTimeout(context.Background(), time.Duration(rapid.IntRange(1, 40).Draw(rt, "ms"))*time.Millisecond)
			d := m.w.entries[pick.Draw(rt, "entry")]
			j := m.job("left")
			m.wg.Go(func() {
				defer cancel()
				_, _, _ = m.read(ctx, d, j)
			})
		},
		"wait": func(rt *rapid.T) { time.Sleep(time.Duration(rapid.IntRange(1, 300).Draw(rt, "ms")) * time.Millisecond) },
		"":     func(*rapid.T) { m.w.report() },
	}
}

func run(rt *rapid.T, off switches) (*model, error) {
	m := &model{w: newWorld(off)}
	rt.Repeat(m.actions())
	for range 200 {
		time.Sleep(100 * time.Millisecond)
		m.w.report()
	}
	m.wg.Wait()
	live := 0
	for _, e := range m.w.ends {
		live += e.running()
	}
	m.w.stop()
	m.w.wg.Wait()
	switch {
	case m.fault != nil:
		return m, m.fault
	case live > 0:
		return m, fmt.Errorf("%d streams run on although their callers have left", live)
	case m.w.deaths > 2+m.dropped:
		return m, fmt.Errorf("one request killed %d engines, with %d notices lost", m.w.deaths, m.dropped)
	}
	return m, nil
}

func TestStateStreams(t *testing.T) {
	whole, broken := 0, 0
	rapidtest.Check(t, func(_ *testing.T, rt *rapid.T) {
		m, err := run(rt, switches{})
		if err != nil {
			rt.Fatal(err)
		}
		whole += m.whole
		broken += m.broken
	})
	t.Logf("whole answers %d, visible breaks %d", whole, broken)
}

// TestStreamsWithoutMechanism shows that the oracle sees a violation when a mechanism is off.
func TestStreamsWithoutMechanism(t *testing.T) {
	for name, off := range map[string]switches{
		"suspects":          {noSuspects: true},
		"refusal when down": {noDown: true},
		"resume's token":    {noTokens: true},
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
