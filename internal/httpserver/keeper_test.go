package httpserver_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/nutmegdock/nutmegdock/internal/connectionkeeper"
	"github.com/nutmegdock/nutmegdock/internal/core/connectionbudget"
	"github.com/nutmegdock/nutmegdock/internal/httpserver"
)

// startKept serves requests on connections that a keeper keeps within parts. A request for /wait ends with the test.
func startKept(t *testing.T, parts connectionbudget.Parts) (address string, keeper *connectionkeeper.Keeper) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	is.New(t).NoErr(err)
	keeper = connectionkeeper.New(parts, prometheus.NewRegistry(), &log.Logger{Handler: discard.New()})
	ctx, cancel := context.WithCancel(context.Background())
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			<-ctx.Done()
		}
		_, _ = io.WriteString(w, "ok")
	})
	refuse := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }
	done := make(chan struct{}, 2)
	go func() { _ = keeper.Run(ctx); done <- struct{}{} }()
	go func() {
		_ = (&httpserver.Server{Listener: ln, Handler: handler, ShutdownTimeout: 5 * time.Second, Keeper: keeper, Refuse: refuse}).Run(ctx)
		done <- struct{}{}
	}()
	t.Cleanup(func() { cancel(); <-done; <-done })
	return ln.Addr().String(), keeper
}

// status returns the status of the response on a connection, or zero if it ended without one.
func status(c net.Conn) int {
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	return resp.StatusCode
}

// isClosed reports whether the server closes a connection within d.
func isClosed(c net.Conn, d time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(d))
	_, err := c.Read(make([]byte, 1))
	return err == io.EOF
}

const now, wait = "GET /now HTTP/1.1\r\nHost: h\r\n\r\n", "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n"

// Guards against idle connections that keep new callers out (review/3) or outlive the configured time, against heads without
// end, and against requests in progress that are cut.
func TestIdleConnectionsAndSlowHeadsEnd(t *testing.T) {
	const callers = 8
	is := is.New(t)
	address, keeper := startKept(t, connectionbudget.Parts{Callers: callers, Refused: 1})
	running, first := dial(t, address, wait), dial(t, address, now)
	last := first
	for range 5 * callers {
		is.Equal(status(last), http.StatusOK) // each new caller is served
		last = dial(t, address, now)
	}
	is.True(isClosed(first, 5*time.Second))
	u := keeper.Usage()
	is.True(u.Idle+u.Reading+2*u.Serving <= callers && !keeper.IsFull())
	keeper.SetTimes(300*time.Millisecond, 300*time.Millisecond)
	slow := dial(t, address, "GET /")
	is.Equal(status(last), http.StatusOK)
	is.True(isClosed(last, 5*time.Second))
	is.True(isClosed(slow, 5*time.Second))
	is.True(!isClosed(running, 50*time.Millisecond))
}

// Guards against callers without room that are left without an answer, and against a lack of room that is not reported.
func TestRequestsWithoutRoomAreRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	address, keeper := startKept(t, connectionbudget.Parts{Callers: 4, Refused: 1})
	for n := range 2 {
		dial(t, address, wait)
		for keeper.Usage().Serving != n+1 {
			time.Sleep(time.Millisecond)
		}
	}
	refused := dial(t, address, now)
	is.Equal(status(refused), http.StatusServiceUnavailable)
	is.True(isClosed(refused, 5*time.Second))
	for keeper.Usage().Refused > 0 {
		time.Sleep(time.Millisecond)
	}
	dial(t, address, "")
	for keeper.Usage().Refused == 0 {
		time.Sleep(time.Millisecond)
	}
	is.True(!keeper.IsFull())
	_ = status(dial(t, address, "")) // there is no room for a refusal
	is.True(keeper.IsFull())
}
