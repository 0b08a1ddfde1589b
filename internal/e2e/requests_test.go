package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/headers"
	"github.com/nutmegdock/nutmegdock/internal/standin/platform"
	"github.com/nutmegdock/nutmegdock/internal/standin/service"
)

// bookingResult is what a caller was told of one booking.
type bookingResult struct {
	ref     string
	keyed   bool
	outcome string
	body    string
	// neverRun tells that every request with this reference was said not to be run.
	neverRun bool
}

func (c *cluster) setFaults(f platform.Faults) {
	c.t.Helper()
	data, err := json.Marshal(f)
	if err != nil {
		c.t.Fatal(err)
	}
	resp, err := http.Post(c.platformURL+"/faults", "application/json", bytes.NewReader(data))
	if err != nil {
		c.t.Fatal(err)
	}
	_ = resp.Body.Close()
}

// sendBooking sends one booking and returns its outcome, its status and its body. A broken connection is unknown.
func (c *cluster) sendBooking(entryHost int, ref, key string) (string, int, string) {
	resp, err := c.sendRequest(entryHost, "/services/bookings/bookings", key, service.Booking{Ref: ref})
	if err != nil {
		return headers.Unknown, 0, ""
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return headers.Unknown, resp.StatusCode, ""
	}
	return resp.Header.Get(headers.Outcome), resp.StatusCode, string(body)
}

// runCaller books keyed and unkeyed in turn until stop is closed. It asks again with the same key, through the other entry
// host, until it has an answer or the final word.
func (c *cluster) runCaller(id int, stop <-chan struct{}, tell func(bookingResult)) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		b := bookingResult{ref: fmt.Sprintf("booking-%d-%d", id, i), keyed: i%2 == 0, neverRun: true}
		key := ""
		if b.keyed {
			key = b.ref
		}
		for try := range 4 {
			b.outcome, _, b.body = c.sendBooking((id+try)%2, b.ref, key)
			b.neverRun = b.neverRun && b.outcome == headers.NotRun
			if b.outcome == headers.Answered || !b.keyed {
				break
			}
			time.Sleep(200 * time.Millisecond)
		}
		tell(b)
		time.Sleep(5 * time.Millisecond)
	}
}

// TestBookingsAmidFaults kills and freezes an endpoint host and an entry host while callers book, and takes the log
// away for a while. The executions are counted at the service.
func TestBookingsAmidFaults(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, 1)
	c.waitUntil("all hosts report", func() bool { return len(c.status().Endpoints) == 3 })
	c.publishConfiguration(1)
	c.waitUntil("bookings open", func() bool {
		for i := range 2 {
			if o, _, _ := c.sendBooking(i, fmt.Sprintf("warm-%d", i), ""); o != headers.Answered {
				return false
			}
		}
		return true
	})
	var mu sync.Mutex
	var told []bookingResult
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for id := range 6 {
		wg.Go(func() {
			c.runCaller(id, stop, func(b bookingResult) {
				mu.Lock()
				defer mu.Unlock()
				told = append(told, b)
			})
		})
	}
	c.injectFaults()
	close(stop)
	wg.Wait()
	time.Sleep(time.Second)
	counts := c.standInCounts().Bookings
	seen := make(map[string]int)
	for _, b := range told {
		seen[fmt.Sprintf("keyed=%v %s", b.keyed, b.outcome)]++
		n := counts[b.ref]
		var receipt service.Receipt
		switch {
		case n > 1:
			t.Errorf("%+v was executed %d times", b, n)
		case b.neverRun && n > 0:
			t.Errorf("%+v was said not to be run, but was executed", b)
		case b.outcome == headers.Answered && (json.Unmarshal([]byte(b.body), &receipt) != nil || receipt.Ref != b.ref || n != 1):
			t.Errorf("%+v was answered, but executed %d times", b, n)
		}
	}
	t.Logf("told: %v", seen)
	is.True(seen["keyed=true answered"] > 100)
	is.True(seen["keyed=false answered"] > 100)
}

// injectFaults brings the faults about one after the other.
func (c *cluster) injectFaults() {
	freeze := func(host ident.Host, d time.Duration) {
		c.signal(host, syscall.SIGSTOP)
		time.Sleep(d)
		c.signal(host, syscall.SIGCONT)
		time.Sleep(300 * time.Millisecond)
	}
	endpointHost := c.endpoints[len(c.endpoints)-1]
	freeze(endpointHost.Host, 700*time.Millisecond)
	freeze(c.entries[0].Host, 4*time.Second) // past the deadline of claims
	c.setFaults(platform.Faults{Log: &platform.LogFaults{Down: true}})
	time.Sleep(700 * time.Millisecond)
	c.setFaults(platform.Faults{Log: &platform.LogFaults{LoseResponses: 5}})
	time.Sleep(500 * time.Millisecond)
	c.signal(endpointHost.Host, syscall.SIGKILL)
	_ = c.waitExit(endpointHost.Host)
	time.Sleep(300 * time.Millisecond)
	c.startProcess("endpointd", endpointHost.Host, endpointHost)
	time.Sleep(time.Second)
	c.signal(c.entries[1].Host, syscall.SIGKILL)
	_ = c.waitExit(c.entries[1].Host)
	time.Sleep(300 * time.Millisecond)
	c.startProcess("entryd", c.entries[1].Host, c.entries[1])
	time.Sleep(1500 * time.Millisecond)
}
