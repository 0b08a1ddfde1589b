package e2e

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/engineapi"
	"github.com/nutmegdock/nutmegdock/internal/event"
	"github.com/nutmegdock/nutmegdock/internal/headers"
	"github.com/nutmegdock/nutmegdock/internal/standin/engine"
)

const (
	// crashText crashes an engine stand-in when a prompt contains it.
	crashText = "crash the engine"
	// restartMs is the time that a crashed engine stand-in takes to restart.
	restartMs = 500
)

// countCrashes returns the number of engine crashes that the endpoint hosts logged.
func (c *cluster) countCrashes() int {
	n := 0
	for _, e := range c.endpoints {
		data, err := os.ReadFile(filepath.Join(c.dir, string(e.Host)+".log"))
		if err != nil {
			c.t.Fatal(err)
		}
		n += strings.Count(string(data), event.BackendCrashed.Text)
	}
	return n
}

// sendCompletion requests a completion and returns the response's status and outcome. If the connection fails, the
// outcome is headers.Unknown.
func (c *cluster) sendCompletion(entryHost int, prompt string) (int, string) {
	resp, err := c.sendRequest(entryHost, engineapi.CompletionsPath, "", engineapi.Request{Model: "chat", Prompt: prompt, MaxTokens: 3, Stream: true})
	if err != nil {
		return 0, headers.Unknown
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return resp.StatusCode, headers.Unknown
	}
	return resp.StatusCode, resp.Header.Get(headers.Outcome)
}

// TestPoisonCostsTwoEngines repeatedly sends a request that crashes engines, through both entry hosts, while other
// completions stream on the same engines. The request must be quarantined after two crashes and the other streams must
// complete.
func TestPoisonCostsTwoEngines(t *testing.T) {
	is := is.New(t)
	const engines, streams, tokens = 4, 8, 300
	c := startCluster(t, engines)
	c.waitUntil("all hosts report", func() bool { return len(c.status().Endpoints) == engines+2 })
	c.publishConfiguration(engines)
	c.waitUntil("all replicas ready", func() bool { return c.countOpenReplicas("lm") == engines })
	var wg sync.WaitGroup
	errs := make(chan error, streams)
	for i := range streams {
		wg.Go(func() {
			prompt := fmt.Sprintf("neighbour %d", i)
			text, set, err := c.streamCompletion(i%2, prompt, tokens)
			if err == nil && text != engine.ExpectedText(set, prompt, tokens) {
				err = fmt.Errorf("stream %d: wrong text", i)
			}
			errs <- err
		})
	}
	// Each stream takes six seconds, so all of them are in flight after one second.
	time.Sleep(time.Second)
	status, outcome := c.sendCompletion(0, crashText)
	is.Equal(outcome, headers.Unknown)
	is.True(status != http.StatusOK)
	for i := range 6 {
		status, outcome = c.sendCompletion(1-i%2, crashText)
		is.Equal(status, http.StatusUnprocessableEntity)
		is.Equal(outcome, headers.NotRun)
	}
	wg.Wait()
	close(errs)
	for err := range errs {
		is.NoErr(err)
	}
	is.Equal(c.countCrashes(), 2)
	c.waitUntil("all replicas ready again", func() bool { return c.countOpenReplicas("lm") == engines })
}
