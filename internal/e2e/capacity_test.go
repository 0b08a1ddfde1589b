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
	capacityWindow            = 10 * time.Second
	capacityRequestsPerSecond = 40
	capacityTokensPerRequest  = 50
	capacityEntries           = 2
)

// usage is the resource usage of one process. CPU time and control traffic accumulate from its start.
type usage struct {
	cpuSeconds   float64
	memoryBytes  float64
	controlBytes float64
	readAt       time.Time
}

// scrape reads the resource usage of a process from the metrics at its admin address.
func scrape(address string) (usage, error) {
	resp, err := http.Get("http://" + address + "/metrics")
	if err != nil {
		return usage{}, err
	}
	defer resp.Body.Close()
	u := usage{readAt: time.Now()}
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
			u.cpuSeconds = n
		case name == "process_resident_memory_bytes":
			u.memoryBytes = n
		case strings.HasPrefix(name, "nutmegdock_control_bytes_total"):
			u.controlBytes += n
		}
	}
	return u, lines.Err()
}

// BenchmarkCapacity measures the resource usage of the real programs on fleets of several sizes, and appends the points
// to the file that NUTMEGDOCK_POINTS names. script/capacity runs it.
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
	c := startCluster(b, engines)
	c.waitUntil("all hosts report", func() bool { return len(c.status().Endpoints) == engines+2 })
	c.publishConfiguration(engines)
	c.waitUntil("all replicas ready", func() bool { return c.countOpenReplicas("lm") == engines })
	time.Sleep(capacityWindow / 2)
	out := c.measureWindow(engines, "idle", func() int { time.Sleep(capacityWindow); return 0 })
	return append(out, c.measureWindow(engines, "loaded", c.generateLoad)...)
}

// measureWindow measures the entry hosts and up to five endpoint hosts while work runs. The work returns the number of
// tokens that it streamed.
func (c *cluster) measureWindow(engines int, load string, work func() int) []capacity.Point {
	c.t.Helper()
	sampled := map[string][]string{"entry": nil, "endpoint": nil}
	for _, e := range c.entries {
		sampled["entry"] = append(sampled["entry"], e.AdminAddress)
	}
	for _, e := range c.endpoints[:min(engines, 5)] {
		sampled["endpoint"] = append(sampled["endpoint"], e.AdminAddress)
	}
	before := make(map[string]usage)
	for _, addresses := range sampled {
		for _, address := range addresses {
			before[address] = c.scrapeMetrics(address)
		}
	}
	tokens := work()
	var out []capacity.Point
	for role, addresses := range sampled {
		p := capacity.Point{Role: role, Load: load, Endpoints: engines + 2}
		for _, address := range addresses {
			end, begin := c.scrapeMetrics(address), before[address]
			seconds := end.readAt.Sub(begin.readAt).Seconds()
			p.CPU += (end.cpuSeconds - begin.cpuSeconds) / seconds / float64(len(addresses))
			p.MemoryBytes += end.memoryBytes / float64(len(addresses))
			p.ControlRate += (end.controlBytes - begin.controlBytes) / seconds / float64(len(addresses))
			p.TokenRate = float64(tokens) / seconds / capacityEntries
		}
		out = append(out, p)
	}
	return out
}

func (c *cluster) scrapeMetrics(address string) usage {
	c.t.Helper()
	u, err := scrape(address)
	if err != nil {
		c.t.Fatal(err)
	}
	return u
}

// generateLoad streams completions at a fixed rate for the window and returns the number of tokens received.
func (c *cluster) generateLoad() int {
	var wg sync.WaitGroup
	var tokens atomic.Int64
	ticker := time.NewTicker(time.Second / capacityRequestsPerSecond)
	defer ticker.Stop()
	for i := range int(capacityWindow/time.Second) * capacityRequestsPerSecond {
		<-ticker.C
		wg.Go(func() {
			_, _, err := c.streamCompletion(i%capacityEntries, fmt.Sprintf("load %d", i), capacityTokensPerRequest)
			if err == nil {
				tokens.Add(capacityTokensPerRequest)
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
