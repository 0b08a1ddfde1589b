package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/nutmegdock/nutmegdock/internal/core/assigner"
	"github.com/nutmegdock/nutmegdock/internal/core/crashsuspector"
	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/fleettracker"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/retrybudget"
	"github.com/nutmegdock/nutmegdock/internal/gateway"
	"github.com/nutmegdock/nutmegdock/internal/headercodec"
	"github.com/nutmegdock/nutmegdock/internal/sender"
)

const (
	testRolloutTimeout = 8 * time.Second
	// longestSilence is how long a sound engine may be silent: "a second or so".
	longestSilence = 1500 * time.Millisecond
	prefillTime    = 100 * time.Millisecond
)

// silentEngine is an engine on an older release. While it is silent, it neither begins requests nor notices that
// connections are closed. It then goes on with the requests that it holds.
type silentEngine struct {
	silentFrom, silentUntil time.Time

	mu        sync.Mutex
	lastBegin time.Time
	begun     int
}

// remainingSilence returns how long the engine stays silent; zero if it is not silent now.
func (e *silentEngine) remainingSilence() time.Duration {
	now := time.Now()
	if now.Before(e.silentFrom) {
		return 0
	}
	return max(0, e.silentUntil.Sub(now))
}

func (e *silentEngine) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	r, err := http.ReadRequest(br)
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_, _ = br.ReadByte() // returns when the connection is closed
	}()
	select {
	case <-time.After(prefillTime):
	case <-closed:
	}
	if silence := e.remainingSilence(); silence > 0 {
		time.Sleep(silence)
	} else if isDone(closed) {
		return
	}
	e.mu.Lock()
	e.lastBegin = time.Now()
	e.begun++
	e.mu.Unlock()
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nSigned: s\r\nId: "+r.Header.Get("Id")+"\r\nRelease: 1\r\nTransfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: x\n\n\r\n0\r\n\r\n")
}

func isDone(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// A request that waited at a silent engine began on the older release after the rollout timeout, although its connection
// had been closed before.
func TestRequestBeginsOnOlderReleaseAfterEngineWasSilent(t *testing.T) {
	for start := testRolloutTimeout - 3*time.Second; start < testRolloutTimeout; start += 100 * time.Millisecond {
		t.Run(fmt.Sprint("silent from ", start), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkRolloutWithSilence(t, start, longestSilence) })
		})
	}
}

func checkRolloutWithSilence(t *testing.T, start, silence time.Duration) {
	engine := &silentEngine{silentFrom: time.Now().Add(start), silentUntil: time.Now().Add(start + silence)}
	r := &rollout{objective: time.Second, pool: &fleetconfig.Pool{Name: "p"}, serve: engine.serve}
	r.run(silence)
	r.check(t, engine.begun, 50, engine.lastBegin)
}

// rollout is a rollout of release 2 to one engine, which stays on release 1.
type rollout struct {
	objective    time.Duration
	pool         *fleetconfig.Pool
	promptTokens float64
	// serve serves one connection to the engine.
	serve func(c net.Conn)

	deadline time.Time
}

// run sends a request every 50 ms, until the rollout timeout has passed by the given time, and waits for all to end.
func (r *rollout) run(after time.Duration) {
	tracker := &fleettracker.Tracker{RolloutTimeout: testRolloutTimeout}
	pools := map[ident.Pool]*fleetconfig.Pool{"p": r.pool}
	a := &assigner.Assigner{Zone: "z", Random: func() float64 { return 0 }}
	a.SetEndpoints([]fleetconfig.Endpoint{{
		ID: "e", Pool: "p", Address: "e", Zone: "z", Slots: 100, Models: []fleetconfig.ServedModel{{Model: "m", Release: 1}}, Layers: fleetconfig.LayerRange{To: 1},
	}})
	a.SetPools(pools)
	var engine sync.WaitGroup
	codec := testCodec
	codec.ReadRequest = func(req *http.Request) headercodec.CallerRequest {
		c := testCodec.ReadRequest(req)
		c.PromptTokens = r.promptTokens
		return c
	}
	g := &gateway.Gateway{
		Codec: codec, Assigner: a, Suspector: &crashsuspector.Suspector{}, RetryBudget: &retrybudget.Budget{},
		Sender: &sender.Sender{Dial: func(context.Context, string, string) (net.Conn, error) {
			c, remote := net.Pipe()
			engine.Go(func() { r.serve(remote) })
			return c, nil
		}},
		OldestRelease: tracker.OldestAllowed, BeginDeadline: tracker.BeginDeadline, WithdrawalTime: tracker.WithdrawDeadline,
		RetryAfter: func(time.Duration) time.Duration { return 0 },
		Logger:     &log.Logger{Handler: discard.New(), Level: log.InfoLevel}, Meter: gateway.NewMeter(prometheus.NewRegistry()),
	}
	config := &fleetconfig.Config{Revision: 1, Pools: pools}
	config.SetRoutes([]fleetconfig.Route{{
		Name: "stream", Host: "h", Prefix: "/", Kind: fleetconfig.Stream, Resumable: true, MaxAttempts: 1, Timeout: 5 * time.Second,
		Objective: r.objective, Anonymous: true, Pools: []fleetconfig.PoolShare{{Pool: "p", Weight: 1}},
	}})
	g.SetConfig(config)
	tracker.AddRelease("m", 2, false, 0)
	r.deadline = time.Now().Add(testRolloutTimeout)
	var callers sync.WaitGroup
	for i := 0; time.Now().Before(r.deadline.Add(after)); i++ {
		callers.Go(func() {
			defer func() {
				if reason := recover(); reason != nil && reason != http.ErrAbortHandler { // the handler aborts broken streams
					panic(reason)
				}
			}()
			req := httptest.NewRequest(http.MethodPost, "http://h/", nil)
			req.Header.Set("Id", fmt.Sprint(i))
			req.Header.Set("Model", "m")
			req.Header.Set("Left", "4000")
			g.ServeHTTP(httptest.NewRecorder(), req)
		})
		time.Sleep(50 * time.Millisecond)
	}
	callers.Wait()
	engine.Wait()
}

// check checks that the older release served while it was allowed, and began no request after the rollout timeout.
func (r *rollout) check(t *testing.T, begun, minBegun int, lastBegin time.Time) {
	if begun <= minBegun {
		t.Errorf("%d requests began on the older release, want more than %d", begun, minBegun)
	}
	if late := lastBegin.Sub(r.deadline); late > 0 {
		t.Errorf("a request began on the older release %v after the rollout timeout", late)
	}
}
