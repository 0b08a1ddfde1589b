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
	"github.com/matryer/is"
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

// queueingEngine is an engine on an older release that processes the prompts of its requests one after the other. It
// drops requests whose connections are closed. When it continues after a silence, it first processes those that it held.
type queueingEngine struct {
	silentFrom, silentUntil time.Time

	queue chan *queuedRequest

	mu        sync.Mutex
	lastBegin time.Time
	begun     int
}

type queuedRequest struct {
	receivedAt time.Time
	closed     chan struct{}
	isOver     chan struct{}
	conn       net.Conn
}

func (e *queueingEngine) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	r, err := http.ReadRequest(br)
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	q := &queuedRequest{receivedAt: time.Now(), closed: make(chan struct{}), isOver: make(chan struct{}), conn: c}
	go func() {
		defer close(q.closed)
		_, _ = br.ReadByte() // returns when the connection is closed
	}()
	e.queue <- q
	<-q.isOver
}

func (e *queueingEngine) run() {
	for q := range e.queue {
		e.process(q)
		close(q.isOver)
	}
}

func (e *queueingEngine) process(q *queuedRequest) {
	if now := time.Now(); now.After(e.silentFrom) && now.Before(e.silentUntil) {
		time.Sleep(e.silentUntil.Sub(now))
	}
	isHeld := q.receivedAt.Before(e.silentFrom) && !time.Now().Before(e.silentUntil)
	if !isHeld && isDone(q.closed) {
		return
	}
	time.Sleep(prefillTime)
	if now := time.Now(); now.After(e.silentFrom) && now.Before(e.silentUntil) {
		time.Sleep(e.silentUntil.Sub(now))
	}
	e.mu.Lock()
	e.lastBegin = time.Now()
	e.begun++
	e.mu.Unlock()
	_, _ = io.WriteString(q.conn, "HTTP/1.1 200 OK\r\nRelease: 1\r\nTransfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: x\n\n\r\n0\r\n\r\n")
}

// Requests that waited in the queue of a silent engine began on the older release after the rollout timeout, one after the
// other: the margin covers the silence, but not the wait in the queue after it.
func TestQueueOfSilentEngineBeginsOnOlderReleaseAfterRolloutTimeout(t *testing.T) {
	for start := testRolloutTimeout - 3*time.Second; start < testRolloutTimeout; start += 100 * time.Millisecond {
		t.Run(fmt.Sprint("silent from ", start), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkQueueWithSilence(t, start, longestSilence) })
		})
	}
}

func checkQueueWithSilence(t *testing.T, start, silence time.Duration) {
	is := is.New(t)
	tracker := &fleettracker.Tracker{RolloutTimeout: testRolloutTimeout}
	a := &assigner.Assigner{Zone: "z", Random: func() float64 { return 0 }}
	a.SetEndpoints([]fleetconfig.Endpoint{{ID: "e", Pool: "p", Address: "e", Zone: "z", Slots: 16, Models: []fleetconfig.ServedModel{{Model: "m", Release: 1}}, Layers: fleetconfig.LayerRange{To: 1}}})
	// 1000 prompt tokens take prefillTime.
	pools := map[ident.Pool]*fleetconfig.Pool{"p": {Name: "p", Engine: &fleetconfig.EngineProfile{
		Models: []fleetconfig.Model{"m"}, Layers: 1, Slots: 16, PrefillRate: 10000, PromptTokens: 1000, ResponseTokens: 1, StepTime: time.Millisecond, StepsPerPass: 1,
	}}}
	a.SetPools(pools)
	engine := &queueingEngine{silentFrom: time.Now().Add(start), silentUntil: time.Now().Add(start + silence), queue: make(chan *queuedRequest, 1000)}
	var engines, running sync.WaitGroup
	running.Go(engine.run)
	codec := testCodec
	readRequest := codec.ReadRequest
	codec.ReadRequest = func(r *http.Request) (c headercodec.CallerRequest) {
		c = readRequest(r)
		c.PromptTokens = 1000
		return c
	}
	g := &gateway.Gateway{
		Codec: codec, Assigner: a, Suspector: &crashsuspector.Suspector{}, RetryBudget: &retrybudget.Budget{},
		Sender: &sender.Sender{Dial: func(context.Context, string, string) (net.Conn, error) {
			c, remote := net.Pipe()
			engines.Go(func() { engine.serve(remote) })
			return c, nil
		}},
		OldestRelease: tracker.OldestAllowed, BeginDeadline: tracker.BeginDeadline, WithdrawalTime: tracker.WithdrawDeadline,
		RetryAfter: func(time.Duration) time.Duration { return 0 },
		Logger:     &log.Logger{Handler: discard.New(), Level: log.InfoLevel}, Meter: gateway.NewMeter(prometheus.NewRegistry()),
	}
	config := &fleetconfig.Config{Revision: 1, Pools: pools}
	config.SetRoutes([]fleetconfig.Route{{
		Name: "stream", Host: "h", Prefix: "/", Kind: fleetconfig.Stream, Resumable: true, MaxAttempts: 1, Timeout: 5 * time.Second,
		Objective: 2 * time.Second, Anonymous: true, Pools: []fleetconfig.PoolShare{{Pool: "p", Weight: 1}},
	}})
	g.SetConfig(config)
	tracker.AddRelease("m", 2, false, 0)
	deadline := time.Now().Add(testRolloutTimeout)
	var callers sync.WaitGroup
	for i := 0; time.Now().Before(deadline.Add(silence)); i++ {
		callers.Go(func() {
			defer func() {
				if reason := recover(); reason != nil && reason != http.ErrAbortHandler { // the handler aborts broken streams
					panic(reason)
				}
			}()
			r := httptest.NewRequest(http.MethodPost, "http://h/", nil)
			r.Header.Set("Id", fmt.Sprint(i))
			r.Header.Set("Model", "m")
			r.Header.Set("Left", "4000")
			g.ServeHTTP(httptest.NewRecorder(), r)
		})
		time.Sleep(50 * time.Millisecond)
	}
	callers.Wait()
	engines.Wait()
	close(engine.queue)
	running.Wait()
	is.True(engine.begun > 30) // the older release served while it was allowed
	if late := engine.lastBegin.Sub(deadline); late > 0 {
		t.Errorf("a request began on the older release %v after the rollout timeout", late)
	}
}
