package gateway_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/assigner"
)

// silentStream returns a step that sends events, is silent, and goes on with the rest unless its connection was closed.
// begun is closed when it is silent.
func silentStream(silence time.Duration, begun, resumed chan struct{}) step {
	return func(c *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(c, responseHeader+events(1, 3))
		close(begun)
		_ = c.SetReadDeadline(time.Now().Add(silence))
		if _, err := c.Read(make([]byte, 1)); err == io.EOF {
			return
		}
		close(resumed)
		_, _ = io.WriteString(c, events(4, 6)+"0\r\n\r\n")
	}
}

// failProbe records a failed connection to the endpoint that has a request.
func (f *testFleet) failProbe() {
	for _, e := range f.endpoints {
		if f.gateway.Assigner.LocalLoad(e).Requests > 0 {
			f.gateway.Assigner.RecordProbe(assigner.Probe{ID: e.ID, Address: e.Address}, false)
		}
	}
}

// Guards against streams and requests that are broken off because somebody else's connection to their endpoint failed: each
// is kept until another endpoint has begun to respond.
func TestAttemptIsKeptAfterFailedProbe(t *testing.T) {
	wholeStream := events(1, 6)
	for name, c := range map[string]struct {
		path string
		// others are the responses of the other endpoints to the request.
		others []step
		// wantsMove says that the response comes from another endpoint.
		wantsMove bool
		requests  int
	}{
		"no other endpoint":                {"/stream/", nil, false, 1},
		"other endpoint is full":           {"/stream/", []step{notRun}, false, 2},
		"other endpoint resets":            {"/stream/", []step{reset}, false, 2},
		"other endpoint fails":             {"/stream/", []step{response(http.StatusInternalServerError, "no")}, false, 2},
		"other endpoint has another kind":  {"/stream/", []step{rawResponse("HTTP/1.1 200 OK\r\nSigned: s\r\nId: id1\r\nContent-Type: text/html\r\nContent-Length: 1\r\n\r\nx")}, false, 2},
		"other endpoint responds too late": {"/stream/", []step{noResponse}, false, 2},
		"other endpoint takes it":          {"/stream/", []step{streamOf(4, 6, true)}, true, 2},
		"stream that may not be repeated":  {"/fixed/", []step{streamOf(4, 6, true)}, false, 1},
		"third endpoint takes it":          {"/stream/", []step{noResponse, streamOf(4, 6, true)}, true, 3},
		"second and third are silent":      {"/stream/", []step{noResponse, noResponse}, false, 3},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			begun, resumed := make(chan struct{}), make(chan struct{})
			steps := append([]step{silentStream(1500*time.Millisecond, begun, resumed)}, c.others...)
			f := startFleet(t, append(make([][]step, len(c.others)), steps)...)
			f.configure(1)
			go func() {
				<-begun
				for range 2 {
					time.Sleep(500 * time.Millisecond) // the silence after which an endpoint is probed
					f.failProbe()
				}
			}()
			status, body, _, err := f.send(c.path, nil)
			is.NoErr(err) // the response is complete
			is.Equal(status, http.StatusOK)
			is.Equal(strings.Count(body, "id: "), strings.Count(wholeStream, "id: "))
			select {
			case <-resumed:
				is.True(!c.wantsMove)
			default:
				is.True(c.wantsMove)
			}
			is.Equal(len(f.requests()), c.requests)
			time.Sleep(20 * time.Millisecond)
			for _, e := range f.endpoints {
				is.Equal(f.gateway.Assigner.LocalLoad(e).Requests, 0)
			}
		})
	}
}

// Guards against an endpoint that is taken out of use because this host had no descriptor for a connection to it.
func TestConnectionWithoutDescriptorSaysNothingAboutEndpoint(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, []step{response(http.StatusOK, "a")}, nil)
	f.configure(1)
	dial, dials := f.gateway.Sender.Dial, 0
	f.gateway.Sender.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		if dials++; dials == 1 {
			return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", syscall.EMFILE)}
		}
		return dial(ctx, network, address)
	}
	status, _, _, err := f.send("/once/", nil)
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.Equal(dials, 2)
	is.Equal(len(f.gateway.Assigner.DueProbes()), 0)
}
