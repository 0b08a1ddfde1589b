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

// bookingResult is the result of one booking as its caller sees it.
type bookingResult struct {
	ref string
	// keyed reports whether the booking had an idempotency key.
	keyed bool
	// outcome and body are those of the last attempt.
	outcome string
	body    string
	// neverRun reports whether every attempt for this reference had the outcome headers.NotRun.
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

// sendBooking sends one booking and returns the response's outcome, status and body. If the connection fails, the
// outcome is headers.Unknown.
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

// runCaller sends bookings, alternately with and without an idempotency key, until stop is closed. It sends a booking
// with a key up to four times, through alternating entry hosts, until it receives a response from the service.
func (c *cluster) runCaller(id int, stop <-chan struct{}, report func(bookingResult)) {
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
		for attempt := range 4 {
			b.outcome, _, b.body = c.sendBooking((id+attempt)%2, b.ref, key)
			b.neverRun = b.neverRun && b.outcome == headers.NotRun
			if b.outcome == headers.Answered || !b.keyed {
				break
			}
			time.Sleep(200 * time.Millisecond)
		}
		report(b)
		time.Sleep(5 * time.Millisecond)
	}
}

// TestBookingsAmidFaults kills and suspends an endpoint host and an entry host and makes the log service fail, while
// callers send bookings. The services count the executions: no booking may be executed twice, and the outcomes that
// callers received must agree with the counts.
func TestBookingsAmidFaults(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, 1)
	c.waitUntil("all hosts report", func() bool { return len(c.status().Endpoints) == 3 })
	c.publishConfiguration(1)
	c.waitUntil("both entry hosts serve bookings", func() bool {
		for i := range 2 {
			if outcome, _, _ := c.sendBooking(i, fmt.Sprintf("warm-%d", i), ""); outcome != headers.Answered {
				return false
			}
		}
		return true
	})
	var mu sync.Mutex
	var results []bookingResult
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for id := range 6 {
		wg.Go(func() {
			c.runCaller(id, stop, func(b bookingResult) {
				mu.Lock()
				defer mu.Unlock()
				results = append(results, b)
			})
		})
	}
	c.injectFaults()
	close(stop)
	wg.Wait()
	time.Sleep(time.Second)
	counts := c.standInCounts().Bookings
	outcomes := make(map[string]int)
	for _, b := range results {
		outcomes[fmt.Sprintf("keyed=%v %s", b.keyed, b.outcome)]++
		executions := counts[b.ref]
		var receipt service.Receipt
		switch {
		case executions > 1:
			t.Errorf("booking %+v was executed %d times", b, executions)
		case b.neverRun && executions > 0:
			t.Errorf("booking %+v was reported as not executed, but was executed", b)
		case b.outcome == headers.Answered && (json.Unmarshal([]byte(b.body), &receipt) != nil || receipt.Ref != b.ref || executions != 1):
			t.Errorf("booking %+v was answered, but its receipt is wrong or it was executed %d times", b, executions)
		}
	}
	t.Logf("bookings by outcome: %v", outcomes)
	is.True(outcomes["keyed=true answered"] > 100)
	is.True(outcomes["keyed=false answered"] > 100)
}

// injectFaults suspends an endpoint host and an entry host, makes the log service fail, and then kills and restarts the
// same endpoint host and the other entry host.
func (c *cluster) injectFaults() {
	suspend := func(host ident.Host, d time.Duration) {
		c.signal(host, syscall.SIGSTOP)
		time.Sleep(d)
		c.signal(host, syscall.SIGCONT)
		time.Sleep(300 * time.Millisecond)
	}
	endpointHost := c.endpoints[len(c.endpoints)-1]
	suspend(endpointHost.Host, 700*time.Millisecond)
	suspend(c.entries[0].Host, 4*time.Second) // longer than the deadline of claims
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
