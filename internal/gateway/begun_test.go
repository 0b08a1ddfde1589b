package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
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
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
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
