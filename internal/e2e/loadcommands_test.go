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

// strangers is the number of orders past the endpoint host.
const strangers = 4

// pause is how long the endpoint host is paused while every second stranger orders its engine.
const pause = 300 * time.Millisecond

// load counts how streams end that run without a pause.
type load struct {
	whole, broken, wrong atomic.Int64
	last                 atomic.Value
}

func (l *load) run(c *cluster, id int, stop <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		prompt := fmt.Sprintf("stream %d %d", id, i)
		text, set, err := c.stream(i%2, prompt, 10)
		switch {
		case err != nil:
			l.broken.Add(1)
			l.last.Store(err.Error())
		case text != engine.Text(set, prompt, 10):
			l.wrong.Add(1)
		default:
			l.whole.Add(1)
		}
	}
}

// TestVersionChange publishes a second version under streams, then lets a stranger order an engine back. No answer
// that ends whole may have been made by another set than it names, and the change itself breaks no stream.
func TestVersionChange(t *testing.T) {
	is := is.New(t)
	const engines = 4
	c := start(t, engines, func(e *endpointhost.Settings) { e.Unfenced = e.Host == "endpoint-0" })
	c.eventually("all hosts report", func() bool { return len(c.status().Endpoints) == engines+2 })
	c.publish(engines)
	c.eventually("all replicas ready", func() bool { return c.ready("lm") == engines })
	first := c.chat()

	var l load
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for id := range 8 {
		wg.Go(func() { l.run(c, id, stop) })
	}
	second := c.write("chat-2.json", catalog.Template{
		Kind: catalog.KindEngine, Pool: "lm", Model: &catalog.ArtifactRef{Name: "m", Version: "2"}, Replicas: engines, MinServing: 3, FetchGoal: catalog.MinimizeOriginReads,
	})
	_, err := c.operator(0, "template", "publish", "chat", "--file", second)
	is.NoErr(err)
	least := engines
	c.eventually("all replicas serve version 2", func() bool {
		least = min(least, c.ready("lm"))
		return c.serving(c.chat().WeightSet) == engines && c.chat().WeightSet != first.WeightSet
	})
	is.True(least >= 3)
	if l.broken.Load() != 0 {
		t.Errorf("%d streams broke during the change, last: %v", l.broken.Load(), l.last.Load())
	}

	for round := range strangers {
		if round%2 == 1 {
			c.signal("endpoint-0", syscall.SIGSTOP)
		}
		c.stranger(0, first.Spec.Model.Digest)
		if round%2 == 1 {
			time.Sleep(pause)
			c.signal("endpoint-0", syscall.SIGCONT)
		}
		c.eventually("the engine is ordered again", func() bool {
			set := c.chat().WeightSet
			return c.engine(0).WeightSet == set && c.serving(set) == engines
		})
	}
	close(stop)
	wg.Wait()
	is.Equal(l.wrong.Load(), int64(0))
	is.True(l.whole.Load() > 0)
}

// chat returns the deployment of engines.
func (c *cluster) chat() catalog.EffectiveDeployment {
	for _, d := range c.status().Deployments {
		if d.Name == "chat" {
			return d
		}
	}
	return catalog.EffectiveDeployment{}
}

func (c *cluster) serving(set ident.WeightSet) int {
	n := 0
	for _, r := range c.status().Endpoints {
		if r.GateOpen && r.ServedSet == set && set != "" {
			n++
		}
	}
	return n
}

// engine returns what an engine reports.
func (c *cluster) engine(i int) engineapi.State {
	var st engineapi.State
	resp, err := http.Get(c.ends[i].BackendURL + engineapi.StatePath)
	if err != nil {
		return st
	}
	defer resp.Body.Close()
	_ = json.NewDecoder(resp.Body).Decode(&st)
	return st
}

// stranger orders an engine to load an artifact, past the endpoint host beside it.
func (c *cluster) stranger(i int, artifact ident.Digest) {
	c.t.Helper()
	body, err := json.Marshal(engineapi.LoadCommand{FencingToken: c.engine(i).FencingToken + 100, Artifacts: []ident.Digest{artifact}, Source: c.base + "/store"})
	if err != nil {
		c.t.Fatal(err)
	}
	resp, err := http.Post(c.ends[i].BackendURL+engineapi.LoadPath, "application/json", bytes.NewReader(body))
	if err != nil {
		c.t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		c.t.Fatalf("order by a stranger: status %d", resp.StatusCode)
	}
}
