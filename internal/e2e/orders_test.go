package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/endpointhost"
	"github.com/nutmegdock/nutmegdock/internal/engineapi"
	"github.com/nutmegdock/nutmegdock/internal/standin/engine"
)

// directLoadCount is the number of load commands that bypass the endpoint host.
const directLoadCount = 4

// suspendDuration is how long the endpoint host stays suspended after a load command that bypasses it. Half of these
// commands are sent while it is suspended.
const suspendDuration = 300 * time.Millisecond

// streamResults counts the results of the completions that callers stream.
type streamResults struct {
	complete, failed, wrong atomic.Int64
	lastError               atomic.Value
}

// streamRepeatedly streams completions one after the other until stop is closed, and counts their results.
func (r *streamResults) streamRepeatedly(c *cluster, id int, stop <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		prompt := fmt.Sprintf("stream %d %d", id, i)
		text, set, err := c.streamCompletion(i%2, prompt, 10)
		switch {
		case err != nil:
			r.failed.Add(1)
			r.lastError.Store(err.Error())
		case text != engine.ExpectedText(set, prompt, 10):
			r.wrong.Add(1)
		default:
			r.complete.Add(1)
		}
	}
}

// TestVersionChange publishes a second version while completions stream, and then sends load commands for the first
// version to an engine, bypassing its endpoint host. A complete stream must never contain tokens of another weight
// set than its header names, and the rollout itself must not fail any stream.
func TestVersionChange(t *testing.T) {
	is := is.New(t)
	const engines = 4
	c := startCluster(t, engines, func(e *endpointhost.Settings) { e.Unfenced = e.Host == "endpoint-0" })
	c.waitUntil("all hosts report", func() bool { return len(c.status().Endpoints) == engines+2 })
	c.publishConfiguration(engines)
	c.waitUntil("all replicas ready", func() bool { return c.countOpenReplicas("lm") == engines })
	first := c.chatDeployment()

	var results streamResults
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for id := range 8 {
		wg.Go(func() { results.streamRepeatedly(c, id, stop) })
	}
	second := c.writeFile("chat-2.json", catalog.Template{
		Kind: catalog.KindEngine, Pool: "lm", Model: &catalog.ArtifactRef{Name: "m", Version: "2"}, Replicas: engines, MinServing: 3, FetchGoal: catalog.MinimizeOriginReads,
	})
	_, err := c.runCommand(0, "template", "publish", "chat", "--file", second)
	is.NoErr(err)
	minReady := engines
	c.waitUntil("all replicas serve version 2", func() bool {
		minReady = min(minReady, c.countOpenReplicas("lm"))
		return c.countServing(c.chatDeployment().WeightSet) == engines && c.chatDeployment().WeightSet != first.WeightSet
	})
	is.True(minReady >= 3)
	if results.failed.Load() != 0 {
		t.Errorf("%d streams failed during the rollout, last error: %v", results.failed.Load(), results.lastError.Load())
	}

	for round := range directLoadCount {
		if round%2 == 1 {
			c.signal("endpoint-0", syscall.SIGSTOP)
		}
		c.sendLoadCommand(0, first.Spec.Model.Digest)
		if round%2 == 1 {
			time.Sleep(suspendDuration)
			c.signal("endpoint-0", syscall.SIGCONT)
		}
		c.waitUntil("the engine serves the assigned weight set again", func() bool {
			set := c.chatDeployment().WeightSet
			return c.engineState(0).WeightSet == set && c.countServing(set) == engines
		})
	}
	close(stop)
	wg.Wait()
	is.Equal(results.wrong.Load(), int64(0))
	is.True(results.complete.Load() > 0)
}

// chatDeployment returns the effective chat deployment, or an empty one if the status does not list it.
func (c *cluster) chatDeployment() catalog.EffectiveDeployment {
	for _, d := range c.status().Deployments {
		if d.Name == "chat" {
			return d
		}
	}
	return catalog.EffectiveDeployment{}
}

// countServing returns the number of endpoint hosts that serve the weight set and accept requests.
func (c *cluster) countServing(set ident.WeightSet) int {
	n := 0
	for _, r := range c.status().Endpoints {
		if r.GateOpen && r.ServedSet == set && set != "" {
			n++
		}
	}
	return n
}

// engineState returns the state that an engine reports, or an empty state if it does not respond.
func (c *cluster) engineState(i int) engineapi.State {
	var st engineapi.State
	resp, err := http.Get(c.endpoints[i].BackendURL + engineapi.StatePath)
	if err != nil {
		return st
	}
	defer resp.Body.Close()
	_ = json.NewDecoder(resp.Body).Decode(&st)
	return st
}

// sendLoadCommand sends a load command directly to an engine, bypassing its endpoint host. The fencing token is higher
// than the engine's current one, so that the engine accepts the command.
func (c *cluster) sendLoadCommand(i int, artifact ident.Digest) {
	c.t.Helper()
	body, err := json.Marshal(engineapi.LoadCommand{FencingToken: c.engineState(i).FencingToken + 100, Artifacts: []ident.Digest{artifact}, Source: c.platformURL + "/store"})
	if err != nil {
		c.t.Fatal(err)
	}
	resp, err := http.Post(c.endpoints[i].BackendURL+engineapi.LoadPath, "application/json", bytes.NewReader(body))
	if err != nil {
		c.t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		c.t.Fatalf("load command that bypasses the endpoint host: status %d", resp.StatusCode)
	}
}
