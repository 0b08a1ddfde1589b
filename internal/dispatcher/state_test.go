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

const responseTokens = 12

// stateMachine runs random actions against a simulation and records the first violation.
type stateMachine struct {
	sim            *simulation
	wg             sync.WaitGroup
	mu             sync.Mutex
	requests       int
	lostNotices    int
	faultInjected  bool
	poisonInFlight bool
	failure        error
	complete       int
	incomplete     int
}

func (m *stateMachine) newRequest(prompt string) dispatcher.Request {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.requests++
	body, _ := json.Marshal(map[string]any{"model": "chat", "prompt": prompt, "max_tokens": responseTokens, "stream": true, "extra": true})
	return dispatcher.Request{
		ID:         ident.RequestID(fmt.Sprintf("request-%d", m.requests)),
		Deployment: catalog.EffectiveDeployment{Organisation: "o", Name: "chat", WeightSet: set, Spec: catalog.Template{Kind: catalog.KindEngine, Pool: "p"}},
		Method:     http.MethodPost, Path: engineapi.CompletionsPath, Header: http.Header{}, Body: body, Repeatable: true,
		Digest: quarantiner.RequestDigest(prompt), HeaderTimeout: 10 * time.Second, StallTimeout: 2 * time.Second,
	}
}

// send sends a request and returns the text of its response, and whether the response was complete.
func (m *stateMachine) send(ctx context.Context, d *dispatcher.Dispatcher, req dispatcher.Request) (string, bool, error) {
	resp, err := d.Do(ctx, req)
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
		if string(data) == engineapi.DoneData {
			done = true
			continue
		}
		var completion engineapi.Completion
		if uerr := json.Unmarshal(data, &completion); uerr != nil {
			return text, false, fmt.Errorf("event %q: %w", data, uerr)
		}
		text += completion.Choices[0].Text
	}
	return text, done && err == nil, err
}

func (m *stateMachine) recordFailure(format string, args ...any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failure == nil {
		m.failure = fmt.Errorf(format, args...)
	}
}

// sendNormal sends a request that crashes no engine and checks its response.
func (m *stateMachine) sendNormal(d *dispatcher.Dispatcher) {
	req := m.newRequest("")
	prompt := "normal " + string(req.ID)
	req.Body = bytes.Replace(req.Body, []byte(`"prompt":""`), []byte(`"prompt":"`+prompt+`"`), 1)
	req.Digest = quarantiner.RequestDigest(prompt)
	m.wg.Go(func() {
		text, complete, err := m.send(context.Background(), d, req)
		want := engine.ExpectedText(set, prompt, responseTokens)
		m.mu.Lock()
		faultInjected := m.faultInjected
		if complete {
			m.complete++
		} else {
			m.incomplete++
		}
		m.mu.Unlock()
		var o *outcome.Error
		switch {
		case complete && text != want:
			m.recordFailure("%s got %q instead of %q", prompt, text, want)
		case len(text) > len(want) || text != want[:len(text)]:
			m.recordFailure("%s got %q, which is not the beginning of its response", prompt, text)
		case !complete && err == nil:
			m.recordFailure("%s was truncated without an error", prompt)
		case errors.As(err, &o) && o.Reason == outcome.Quarantined:
			m.recordFailure("%s was quarantined", prompt)
		case !complete && !faultInjected:
			m.recordFailure("%s received no complete response: %w", prompt, err)
		}
	})
}

// sendPoison sends a request that crashes its engine and repeats it immediately through the other entry host.
func (m *stateMachine) sendPoison(firstEntry int) {
	m.mu.Lock()
	skip := m.poisonInFlight
	m.poisonInFlight = true
	m.mu.Unlock()
	if skip {
		return
	}
	m.wg.Go(func() {
		for i := range 4 {
			req := m.newRequest(poison)
			if _, complete, _ := m.send(context.Background(), m.sim.entries[(firstEntry+i)%2], req); complete {
				m.recordFailure("a request that crashes engines received a complete response")
			}
			time.Sleep(time.Millisecond)
		}
		m.mu.Lock()
		m.poisonInFlight = false
		m.mu.Unlock()
	})
}

func (m *stateMachine) actions() map[string]func(*rapid.T) {
	entryIndex := rapid.IntRange(0, 1)
	injectFault := func(n *int) func(*rapid.T) {
		return func(*rapid.T) {
			m.mu.Lock()
			m.faultInjected = true
			m.mu.Unlock()
			m.sim.mu.Lock()
			defer m.sim.mu.Unlock()
			*n = 1
		}
	}
	sendRequests := func(rt *rapid.T) {
		for range rapid.IntRange(1, 3).Draw(rt, "count") {
			m.sendNormal(m.sim.entries[entryIndex.Draw(rt, "entry")])
		}
	}
	return map[string]func(*rapid.T){
		"ask": sendRequests, "ask more": sendRequests, "ask again": sendRequests,
		"poison":  func(rt *rapid.T) { m.sendPoison(entryIndex.Draw(rt, "entry")) },
		"cut":     injectFault(&m.sim.cutStreams),
		"foreign": injectFault(&m.sim.foreignEvents),
		"stall":   injectFault(&m.sim.stalledStreams),
		"drop notice": func(*rapid.T) {
			// A lost crash notice can cost one more engine, and so one more attempt of the requests in flight on it.
			m.lostNotices++
			m.mu.Lock()
			m.faultInjected = true
			m.mu.Unlock()
			m.sim.mu.Lock()
			defer m.sim.mu.Unlock()
			m.sim.lostNotices++
		},
		"caller leaves": func(rt *rapid.T) {
			ctx, cancel := context.WithTimeout(context.Background(), time.Duration(rapid.IntRange(1, 40).Draw(rt, "ms"))*time.Millisecond)
			d := m.sim.entries[entryIndex.Draw(rt, "entry")]
			req := m.newRequest("left")
			m.wg.Go(func() {
				defer cancel()
				_, _, _ = m.send(ctx, d, req)
			})
		},
		"wait": func(rt *rapid.T) { time.Sleep(time.Duration(rapid.IntRange(1, 300).Draw(rt, "ms")) * time.Millisecond) },
		"":     func(*rapid.T) { m.sim.sendReports() },
	}
}

// run executes random actions, waits until all requests have ended, and returns the first violation.
func run(rt *rapid.T, disabled disabledMechanisms) (*stateMachine, error) {
	m := &stateMachine{sim: newSimulation(disabled)}
	rt.Repeat(m.actions())
	for range 200 {
		time.Sleep(100 * time.Millisecond)
		m.sim.sendReports()
	}
	m.wg.Wait()
	streams := 0
	for _, e := range m.sim.endpoints {
		streams += e.streamCount()
	}
	m.sim.stop()
	m.sim.wg.Wait()
	switch {
	case m.failure != nil:
		return m, m.failure
	case streams > 0:
		return m, fmt.Errorf("%d streams are still running although their callers have disconnected", streams)
	case m.sim.crashes > 2+m.lostNotices:
		return m, fmt.Errorf("one request crashed %d engines, with %d crash notices lost", m.sim.crashes, m.lostNotices)
	}
	return m, nil
}

func TestStateStreams(t *testing.T) {
	complete, incomplete := 0, 0
	rapidtest.Check(t, func(_ *testing.T, rt *rapid.T) {
		m, err := run(rt, disabledMechanisms{})
		if err != nil {
			rt.Fatal(err)
		}
		complete += m.complete
		incomplete += m.incomplete
	})
	t.Logf("complete responses: %d, visibly interrupted responses: %d", complete, incomplete)
}

// TestDisabledMechanismCausesViolations verifies that TestStateStreams would detect the failure of each mechanism.
func TestDisabledMechanismCausesViolations(t *testing.T) {
	for name, disabled := range map[string]disabledMechanisms{
		"suspects":          {suspects: true},
		"refusal when down": {refusalWhenDown: true},
		"resume tokens":     {resumeTokens: true},
	} {
		t.Run(name, func(t *testing.T) {
			violations := 0
			rapidtest.Check(t, func(_ *testing.T, rt *rapid.T) {
				if _, err := run(rt, disabled); err != nil {
					violations++
				}
			})
			if violations == 0 {
				t.Fatal("no violation detected with the mechanism disabled")
			}
			t.Logf("violations: %d", violations)
		})
	}
}
