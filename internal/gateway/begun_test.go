package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A stream that had begun was withdrawn at the cutoff, because the entry of its endpoint had been removed before its first
// event, so that the event was not recorded.
func TestRunningStreamOfEndpointWithoutEntryIsWithdrawn(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, []step{func(c *net.TCPConn, _ *http.Request) {
		time.Sleep(100 * time.Millisecond)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nSigned: s\r\nId: id1\r\nTransfer-Encoding: chunked\r\n\r\n")
		for i := 1; i <= 10; i++ {
			ev := fmt.Sprintf("id: %d\ndata: x\n\n", i)
			_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(ev), ev)
			time.Sleep(50 * time.Millisecond)
		}
		_, _ = io.WriteString(c, "0\r\n\r\n")
	}})
	f.setCutoff(time.Now().Add(400 * time.Millisecond))
	f.configure(1)
	f.serveModel()
	time.AfterFunc(50*time.Millisecond, func() { f.gateway.Assigner.SetEndpoints(nil) })
	_, body, _, err := f.send("/stream/", f.setModel)
	is.NoErr(err)
	is.Equal(body, streamBody(1, 10))
}

// slowBody sends the response header at once, and the body in two parts with a pause between them.
func slowBody(first, second string, pause time.Duration) step {
	return func(c *net.TCPConn, _ *http.Request) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nSigned: s\r\nId: id1\r\nContent-Length: %d\r\n\r\n%s", len(first)+len(second), first)
		time.Sleep(pause)
		_, _ = io.WriteString(c, second)
	}
}

// A running request whose response is not a stream was withdrawn at the cutoff, because it has no first event.
func TestRunningRequestWithoutEventsIsWithdrawn(t *testing.T) {
	large := strings.Repeat("x", 2<<20) // more than is buffered
	for name, c := range map[string]struct{ path, first string }{
		"at most once": {"/once/", "fir"},
		"repeatable":   {"/read/", "fir"},
		"large":        {"/read/", large},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := startFleet(t, []step{slowBody(c.first, "st", 400*time.Millisecond)}, []step{response(200, "second")})
			f.setCutoff(time.Now().Add(200 * time.Millisecond))
			f.configure(1)
			f.serveReleases()
			status, body, _, err := f.send(c.path, f.setModel)
			is.NoErr(err)
			is.Equal(status, 200)
			is.True(body == c.first+"st")
			is.Equal(len(f.requests()), 1)
		})
	}
}

// Without a response header, a request whose response is not a stream may still be queued, and is withdrawn.
func TestRequestWithoutEventsBeginsAfterCutoff(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, []step{noResponse}, []step{response(200, "second")})
	f.setCutoff(time.Now().Add(200 * time.Millisecond))
	f.configure(1)
	f.serveReleases()
	status, body, _, err := f.send("/read/", f.setModel)
	is.NoErr(err)
	is.Equal(status, 200)
	is.Equal(body, "second")
	is.Equal(len(f.requests()), 2)
}
