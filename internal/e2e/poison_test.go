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
	// poison in a prompt crashes the engines of the process tests.
	poison      = "crash the engine"
	restartTime = 500 // ms
)

// crashes counts the engine crashes that the endpoint hosts reported.
func (c *cluster) crashes() int {
	n := 0
	for _, e := range c.ends {
		data, err := os.ReadFile(filepath.Join(c.dir, string(e.Host)+".log"))
		if err != nil {
			c.t.Fatal(err)
		}
		n += strings.Count(string(data), event.BackendCrashed.Text)
	}
	return n
}

// complete sends a completion and returns its status and outcome; a broken connection is unknown.
func (c *cluster) complete(entryHost int, prompt string) (int, string) {
	resp, err := c.post(entryHost, engineapi.CompletionsPath, "", engineapi.Request{Model: "chat", Prompt: prompt, MaxTokens: 3, Stream: true})
	if err != nil {
		return 0, headers.Unknown
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return resp.StatusCode, headers.Unknown
	}
	return resp.StatusCode, resp.Header.Get(headers.Outcome)
}

// TestPoisonCostsTwoEngines sends a request that crashes engines again and again, through both entry hosts, while other
// answers stream on the same engines.
func TestPoisonCostsTwoEngines(t *testing.T) {
	is := is.New(t)
	const engines, streams, tokens = 4, 8, 300
	c := start(t, engines)
	c.eventually("all hosts report", func() bool { return len(c.status().Endpoints) == engines+2 })
	c.publish(engines)
	c.eventually("all replicas ready", func() bool { return c.ready("lm") == engines })
	var wg sync.WaitGroup
	errs := make(chan error, streams)
	for i := range streams {
		wg.Go(func() {
			prompt := fmt.Sprintf("neighbour %d", i)
			text, set, err := c.stream(i%2, prompt, tokens)
			if err == nil && text != engine.Text(set, prompt, tokens) {
				err = fmt.Errorf("stream %d: wrong text", i)
			}
			errs <- err
		})
	}
	// The streams take six seconds. All of them are under way after one.
	time.Sleep(time.Second)
	status, outcome := c.complete(0, poison)
	is.Equal(outcome, headers.Unknown)
	is.True(status != http.StatusOK)
	for i := range 6 {
		status, outcome = c.complete(1-i%2, poison)
		is.Equal(status, http.StatusUnprocessableEntity)
		is.Equal(outcome, headers.NotRun)
	}
	wg.Wait()
	close(errs)
	for err := range errs {
		is.NoErr(err)
	}
	is.Equal(c.crashes(), 2)
	c.eventually("all replicas ready again", func() bool { return c.ready("lm") == engines })
}
