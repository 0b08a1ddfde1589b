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
	"github.com/nutmegdock/nutmegdock/internal/endpoint"
	"github.com/nutmegdock/nutmegdock/internal/engineapi"
	"github.com/nutmegdock/nutmegdock/internal/standin/engine"
)

// foreignLoadCount is the number of orders past the endpoint host.
const foreignLoadCount = 4

// suspension is how long the endpoint host is paused while every second stranger orders its engine.
const suspension = 300 * time.Millisecond

// streamResults counts how streams end that run without a pause.
type streamResults struct {
	complete, failed, wrong atomic.Int64
	lastError               atomic.Value
}

func (l *streamResults) streamUntil(c *cluster, id int, stop <-chan struct{}) {
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
			l.failed.Add(1)
			l.lastError.Store(err.Error())
		case text != engine.Text(set, prompt, 10):
			l.wrong.Add(1)
		default:
			l.complete.Add(1)
		}
	}
}

// TestVersionChange publishes a second version under streams, then lets a stranger order an engine back. No answer
// that ends whole may have been made by another set than it names, and the change itself breaks no stream.
func TestVersionChange(t *testing.T) {
	is := is.New(t)
	const engines = 4
	c := startCluster(t, engines, func(e *endpoint.Settings) { e.Unfenced = e.Host == "endpoint-0" })
	c.waitUntil("all hosts report", func() bool { return len(c.status().Endpoints) == engines+2 })
	c.publishConfiguration(engines)
	c.waitUntil("all replicas ready", func() bool { return c.openReplicas("lm") == engines })
	first := c.chatDeployment()

	var l streamResults
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for id := range 8 {
		wg.Go(func() { l.streamUntil(c, id, stop) })
	}
	second := c.writeFile("chat-2.json", catalog.Template{
		Kind: catalog.KindEngine, Pool: "lm", Model: &catalog.Ref{Name: "m", Version: "2"}, Replicas: engines, Floor: 3, Bias: catalog.BiasOrigin,
	})
	_, err := c.runCommand(0, "template", "publish", "chat", "--file", second)
	is.NoErr(err)
	least := engines
	c.waitUntil("all replicas serve version 2", func() bool {
		least = min(least, c.openReplicas("lm"))
		return c.countServing(c.chatDeployment().Set) == engines && c.chatDeployment().Set != first.Set
	})
	is.True(least >= 3)
	if l.failed.Load() != 0 {
		t.Errorf("%d streams broke during the change, last: %v", l.failed.Load(), l.lastError.Load())
	}

	for round := range foreignLoadCount {
		if round%2 == 1 {
			c.signal("endpoint-0", syscall.SIGSTOP)
		}
		c.sendForeignLoad(0, first.Spec.Model.Digest)
		if round%2 == 1 {
			time.Sleep(suspension)
			c.signal("endpoint-0", syscall.SIGCONT)
		}
		c.waitUntil("the engine is ordered again", func() bool {
			set := c.chatDeployment().Set
			return c.engineState(0).Set == set && c.countServing(set) == engines
		})
	}
	close(stop)
	wg.Wait()
	is.Equal(l.wrong.Load(), int64(0))
	is.True(l.complete.Load() > 0)
}

// chatDeployment returns the deployment of engines.
func (c *cluster) chatDeployment() catalog.Effective {
	for _, d := range c.status().Deployments {
		if d.Name == "chat" {
			return d
		}
	}
	return catalog.Effective{}
}

func (c *cluster) countServing(set ident.WeightSet) int {
	n := 0
	for _, r := range c.status().Endpoints {
		if r.Open && r.Set == set && set != "" {
			n++
		}
	}
	return n
}

// engineState returns what an engine reports.
func (c *cluster) engineState(i int) engineapi.State {
	var st engineapi.State
	resp, err := http.Get(c.endpoints[i].Backend + engineapi.StatePath)
	if err != nil {
		return st
	}
	defer resp.Body.Close()
	_ = json.NewDecoder(resp.Body).Decode(&st)
	return st
}

// sendForeignLoad orders an engine to load an artifact, past the endpoint host beside it.
func (c *cluster) sendForeignLoad(i int, artifact ident.Digest) {
	c.t.Helper()
	body, err := json.Marshal(engineapi.Order{Fence: c.engineState(i).Fence + 100, Artifacts: []ident.Digest{artifact}, Source: c.platformURL + "/store"})
	if err != nil {
		c.t.Fatal(err)
	}
	resp, err := http.Post(c.endpoints[i].Backend+engineapi.LoadPath, "application/json", bytes.NewReader(body))
	if err != nil {
		c.t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		c.t.Fatalf("order by a stranger: status %d", resp.StatusCode)
	}
}
