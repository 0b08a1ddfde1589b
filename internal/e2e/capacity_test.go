package e2e

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/capacity"
)

const (
	capacityWindow  = 10 * time.Second
	capacityRate    = 40 // requests a second
	capacityTokens  = 50 // tokens a request
	capacityEntries = 2
)

// usage is what one process has used since its start.
type usage struct {
	cpu     float64 // seconds
	memory  float64 // bytes
	control float64 // bytes
	at      time.Time
}

// scrape reads a process's metrics from its second address.
func scrape(address string) (usage, error) {
	resp, err := http.Get("http://" + address + "/metrics")
	if err != nil {
		return usage{}, err
	}
	defer resp.Body.Close()
	u := usage{at: time.Now()}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		name, value, ok := strings.Cut(lines.Text(), " ")
		if !ok {
			continue
		}
		n, err := strconv.ParseFloat(value, 64)
		if err != nil {
			continue
		}
		switch {
		case name == "process_cpu_seconds_total":
			u.cpu = n
		case name == "process_resident_memory_bytes":
			u.memory = n
		case strings.HasPrefix(name, "nutmegdock_control_bytes_total"):
			u.control += n
		}
	}
	return u, lines.Err()
}

// BenchmarkCapacity measures what the real programs use as endpoints grow, and appends the points to the file that
// NUTMEGDOCK_POINTS names. script/capacity runs it.
func BenchmarkCapacity(b *testing.B) {
	path := os.Getenv("NUTMEGDOCK_POINTS")
	if path == "" {
		b.Fatal("NUTMEGDOCK_POINTS must name a file; run script/capacity")
	}
	for _, n := range []int{10, 50, 150} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			for _, p := range measureCapacity(b, n) {
				appendPoint(b, path, p)
			}
		})
	}
}

func measureCapacity(b *testing.B, engines int) []capacity.Point {
	c := start(b, engines)
	c.eventually("all hosts report", func() bool { return len(c.status().Endpoints) == engines+2 })
	c.publish(engines)
	c.eventually("all replicas ready", func() bool { return c.ready("lm") == engines })
	time.Sleep(capacityWindow / 2)
	out := c.window(engines, "idle", func() int { time.Sleep(capacityWindow); return 0 })
	return append(out, c.window(engines, "loaded", c.drive)...)
}

// window measures the processes while work runs. The work returns the number of tokens that it streamed.
func (c *cluster) window(engines int, load string, work func() int) []capacity.Point {
	c.t.Helper()
	watched := map[string][]string{"entry": nil, "endpoint": nil}
	for _, e := range c.entries {
		watched["entry"] = append(watched["entry"], e.AdminAddress)
	}
	for _, e := range c.ends[:min(engines, 5)] {
		watched["endpoint"] = append(watched["endpoint"], e.AdminAddress)
	}
	before := make(map[string]usage)
	for _, list := range watched {
		for _, a := range list {
			before[a] = c.scrape(a)
		}
	}
	tokens := work()
	var out []capacity.Point
	for role, list := range watched {
		p := capacity.Point{Role: role, Load: load, Endpoints: engines + 2}
		for _, a := range list {
			now, was := c.scrape(a), before[a]
			seconds := now.at.Sub(was.at).Seconds()
			p.CPU += (now.cpu - was.cpu) / seconds / float64(len(list))
			p.Memory += now.memory / float64(len(list))
			p.Control += (now.control - was.control) / seconds / float64(len(list))
			p.Tokens = float64(tokens) / seconds / capacityEntries
		}
		out = append(out, p)
	}
	return out
}

func (c *cluster) scrape(address string) usage {
	c.t.Helper()
	u, err := scrape(address)
	if err != nil {
		c.t.Fatal(err)
	}
	return u
}

// drive streams completions at a fixed rate for the window and returns the tokens that came.
func (c *cluster) drive() int {
	var wg sync.WaitGroup
	var tokens atomic.Int64
	tick := time.NewTicker(time.Second / capacityRate)
	defer tick.Stop()
	for i := range int(capacityWindow/time.Second) * capacityRate {
		<-tick.C
		wg.Go(func() {
			_, _, err := c.stream(i%capacityEntries, fmt.Sprintf("load %d", i), capacityTokens)
			if err == nil {
				tokens.Add(capacityTokens)
			}
		})
	}
	wg.Wait()
	return int(tokens.Load())
}

func appendPoint(b *testing.B, path string, p capacity.Point) {
	b.Helper()
	f, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		b.Fatal(err)
	}
	defer f.Close()
	if err := json.NewEncoder(f).Encode(p); err != nil {
		b.Fatal(err)
	}
}
