package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
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
	id         string
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
	q := &queuedRequest{receivedAt: time.Now(), closed: make(chan struct{}), isOver: make(chan struct{}), conn: c, id: r.Header.Get("Id")}
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
	_, _ = io.WriteString(q.conn, "HTTP/1.1 200 OK\r\nSigned: s\r\nId: "+q.id+"\r\nRelease: 1\r\nTransfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: x\n\n\r\n0\r\n\r\n")
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
	engine := &queueingEngine{silentFrom: time.Now().Add(start), silentUntil: time.Now().Add(start + silence), queue: make(chan *queuedRequest, 1000)}
	var running sync.WaitGroup
	running.Go(engine.run)
	// The prompt of a request takes prefillTime.
	r := &rollout{objective: 2 * time.Second, promptTokens: 1000, serve: engine.serve, pool: &fleetconfig.Pool{Name: "p", Engine: &fleetconfig.EngineProfile{
		Models: []fleetconfig.Model{"m"}, Layers: 1, Slots: 16, PrefillRate: 10000, PromptTokens: 1000, ResponseTokens: 1, StepTime: time.Millisecond, StepsPerPass: 1,
	}}}
	r.run(silence)
	close(engine.queue)
	running.Wait()
	r.check(t, engine.begun, 30, engine.lastBegin)
}
