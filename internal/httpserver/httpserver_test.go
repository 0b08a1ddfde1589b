package httpserver_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/httpserver"
)

const (
	request = "GET /%s HTTP/1.1\r\nHost: h\r\n\r\n"
	// closeNotice is the time in which the close of a caller must reach the handler.
	closeNotice = 500 * time.Millisecond
)

// startServer serves requests whose handler runs until the request is cancelled, for two seconds at most, unless the path is
// /now. It returns the address, and a channel that receives for how long each request for another path was handled.
func startServer(t *testing.T) (address string, handled <-chan time.Duration) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	is.New(t).NoErr(err)
	durations := make(chan time.Duration, 10)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.URL.Path)
		if r.URL.Path == "/now" {
			return
		}
		from := time.Now()
		select {
		case <-r.Context().Done():
		case <-time.After(2 * time.Second):
		}
		durations <- time.Since(from)
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = (&httpserver.Server{Listener: ln, Handler: handler, ShutdownTimeout: 5 * time.Second}).Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return ln.Addr().String(), durations
}

func dial(t *testing.T, address, text string) net.Conn {
	c, err := net.Dial("tcp4", address)
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = c.Close() })
	_, err = io.WriteString(c, text)
	is.New(t).NoErr(err)
	return c
}

// After a byte beyond the request, the handler was not told that its caller had closed the connection.
func TestByteAfterRequestHidesCloseOfCaller(t *testing.T) {
	for name, extra := range map[string]string{"nothing": "", "line": "\r\n", "request": strings.Replace(request, "%s", "wait", 1)} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, handled := startServer(t)
			c := dial(t, address, strings.Replace(request, "%s", "wait", 1))
			time.Sleep(100 * time.Millisecond)
			_, err := io.WriteString(c, extra)
			is.NoErr(err)
			time.Sleep(100 * time.Millisecond)
			is.NoErr(c.Close())
			took := <-handled
			is.True(took < 200*time.Millisecond+closeNotice)
		})
	}
}

// A second request that arrives while the first is handled must be served after it.
func TestRequestReadAheadIsServed(t *testing.T) {
	is := is.New(t)
	address, handled := startServer(t)
	c := dial(t, address, strings.Replace(request, "%s", "slow", 1))
	time.Sleep(100 * time.Millisecond)
	const split = 9
	next := strings.Replace(request, "%s", "now", 1) + strings.Replace(strings.Replace(request, "%s", "now", 1), "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1)
	for _, part := range []string{next[:1], next[1:split], next[split:]} {
		_, err := io.WriteString(c, part)
		is.NoErr(err)
		time.Sleep(50 * time.Millisecond)
	}
	is.NoErr(c.SetReadDeadline(time.Now().Add(5 * time.Second)))
	data, err := io.ReadAll(c)
	is.NoErr(err)
	is.Equal(strings.Count(string(data), "HTTP/1.1 200 OK"), 3)
	is.True(strings.HasSuffix(string(data), "/now"))
	is.True(<-handled >= 2*time.Second)
}
