package engineagent_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/assigner"
)

// A load command was executed, but its response was late or lost. The gate stayed closed although the engine served the
// release.
func TestGateStaysClosedAfterLostResponseOfLoadCommand(t *testing.T) {
	b := start(t, &engine{staged: make(map[int][]byte), startTime: 1, release: 1, lostResponses: 1})
	b.publishRelease(2)
	b.awaitRelease(t, 2)
	settled := time.Now().Add(2 * time.Second)
	for time.Now().Before(settled) {
		select {
		case <-b.gates:
		case <-time.After(100 * time.Millisecond):
		}
	}
	select {
	case g := <-b.gates:
		if g.Closed {
			t.Errorf("gate is still announced as closed 2 s after the engine served the release: %+v", g)
		}
	case <-time.After(time.Second):
	}
}

// The host restarts while the engine loads. It announced neither the closed gate nor the served release.
func TestGateFollowsEngineThatLoadsAtStart(t *testing.T) {
	is := is.New(t)
	const loadTime = 1500 * time.Millisecond
	b := start(t, &engine{staged: make(map[int][]byte), startTime: 1, release: 1, next: 2, loadCommands: 1, loadingUntil: time.Now().Add(loadTime)})
	b.publishRelease(2)
	timeout := time.After(10 * time.Second)
	next := func() (g assigner.GateState) {
		select {
		case g = <-b.gates:
		case <-timeout:
			t.Fatal("no gate is announced")
		}
		return g
	}
	g := next()
	is.Equal(g, assigner.GateState{Address: "127.0.0.1:80", StartTime: 1, Closed: true})
	for g.Closed {
		g = next()
		r, err := b.report(t.Context())
		is.NoErr(err)
		is.True(g.Closed || !r.Loading) // closed while the engine loads
	}
	is.Equal(g, assigner.GateState{Address: "127.0.0.1:80", StartTime: 1, Model: "m", Release: 2})
	is.Equal(b.loadCommands, int64(1))
}
