package gateway_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/assigner"
)

// Each attempt must count once, as served or failed, or not at all if it says nothing about the endpoint. Server errors
// counted as served requests before, so that an endpoint that failed at once seemed fast and sound.
func TestOutcomesAreCounted(t *testing.T) {
	slow := step(func(c *net.TCPConn, _ *http.Request) {
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(c, "HTTP/1.1 500 X\r\nId: id1\r\nContent-Length: 0\r\n\r\n")
	})
	for _, c := range []struct {
		name, path     string
		step           step
		served, failed uint32
	}{
		{"response", "/once/", response(200, "ok"), 1, 0},
		{"error of the caller", "/once/", response(404, "no"), 1, 0},
		{"server error", "/once/", response(500, "no"), 0, 1},
		{"slow server error", "/once/", slow, 0, 1},
		{"503 of a request that may have run", "/once/", response(503, "no"), 0, 1},
		{"request that was not run", "/once/", notRun, 0, 0},
		{"connection reset", "/once/", reset, 0, 1},
		{"no response", "/brief/", noResponse, 0, 1},
		{"stream", "/stream/", streamOf(1, 3, true), 1, 0},
		{"server error of a stream", "/stream/", response(500, "no"), 0, 1},
		{"broken stream", "/stream/", streamOf(1, 3, false), 1, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := startFleet(t, []step{c.step})
			f.gateway.Assigner.OnEjection = func(assigner.Ejection) {}
			f.gateway.Assigner.SetEndpoints(f.endpoints)
			is.True(f.configure(1))
			_, _, _, _ = f.send(c.path, nil)
			var served, failed uint32
			for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
				totals := f.gateway.Assigner.OutcomeTotals(f.endpoints[0])
				served, failed = totals.Served, totals.Failed
				if served == c.served && failed == c.failed {
					break
				}
			}
			is.Equal(served, c.served)
			is.Equal(failed, c.failed)
		})
	}
}

// The endpoint's counts must stay nil for deployments that do not enable ejection, whose reports they would enlarge.
func TestOutcomesAreNotCountedUnlessEnabled(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, []step{response(500, "no")})
	is.True(f.configure(1))
	_, _, _, err := f.send("/once/", nil)
	is.NoErr(err)
	is.True(f.gateway.Assigner.OutcomeTotals(f.endpoints[0]) == nil)
}
