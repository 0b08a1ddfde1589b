package capacity

import (
	"fmt"
	"strings"
)

// Size and load of the target fleet, from the users' requirements.
const (
	TargetEndpoints   = 2400
	TargetEntries     = 330
	TargetRequestRate = 1800    // requests per second
	TargetTokenRate   = 630_000 // tokens per second
)

// Load reports at the target. An endpoint host reports frequently to up to eight entry hosts of its zone, and
// infrequently to the other entry hosts of the zone.
const (
	targetZones                = 13
	frequentEntriesPerEndpoint = 8
	infrequentReportCost       = 4.0 / 30 // cost of a host that reports every 30 s, relative to one that reports every 4 s
	measuredFrequentShare      = 2.0 / 3  // fraction of the measured endpoint hosts that report frequently to one entry host
	endpointsPerZone           = float64(TargetEndpoints) / targetZones
	entriesPerZone             = float64(TargetEntries) / targetZones
	frequentEndpointsPerEntry  = endpointsPerZone * frequentEntriesPerEndpoint / entriesPerZone
	entryEquivalentEndpoints   = (frequentEndpointsPerEntry + (endpointsPerZone-frequentEndpointsPerEntry)*infrequentReportCost) / measuredFrequentShare
)

// Limits on the control overhead of one daemon at the target, from the users' requirements.
const (
	LimitCPU         = 0.022     // fraction of one core
	LimitMemoryBytes = 256 << 20 // bytes
	LimitControlRate = 9 * 1000  // bytes per second
)

// quantity is one measured property of a process.
type quantity struct {
	name  string
	unit  string
	scale float64
	limit float64
	value func(Point) float64
}

var quantities = []quantity{
	{name: "processor", unit: "% of a core", scale: 100, limit: LimitCPU, value: func(p Point) float64 { return p.CPU }},
	{name: "memory", unit: "MB", scale: 1.0 / (1 << 20), limit: LimitMemoryBytes, value: func(p Point) float64 { return p.MemoryBytes }},
	{name: "control traffic", unit: "KB/s", scale: 1.0 / 1000, limit: LimitControlRate, value: func(p Point) float64 { return p.ControlRate }},
}

// DaemonTable returns a Markdown table of the measurements of the idle daemons, their slopes and the extrapolation to
// the target.
func DaemonTable(points []Point) (string, error) {
	var b strings.Builder
	b.WriteString("| role | quantity | " + sizeColumns(points) + " base | per 100 endpoints | at the target | limit | fits |\n")
	b.WriteString("|---|---|" + strings.Repeat("---|", len(fleetSizes(points))) + "---|---|---|---|---|\n")
	for _, role := range []string{"entry", "endpoint"} {
		for _, q := range quantities {
			line, err := FitLine(points, role, "idle", q.value)
			if err != nil {
				return "", err
			}
			b.WriteString(tableRow(points, role, q, line))
		}
	}
	return b.String(), nil
}

func fleetSizes(points []Point) []int {
	var out []int
	for _, p := range points {
		if p.Role == "entry" && p.Load == "idle" {
			out = append(out, p.Endpoints)
		}
	}
	return out
}

func sizeColumns(points []Point) string {
	var b strings.Builder
	for _, n := range fleetSizes(points) {
		fmt.Fprintf(&b, "at %d |", n)
	}
	return b.String()
}

func tableRow(points []Point, role string, q quantity, line Line) string {
	var b strings.Builder
	fmt.Fprintf(&b, "| %s | %s, %s |", role, q.name, q.unit)
	for _, p := range points {
		if p.Role == role && p.Load == "idle" {
			fmt.Fprintf(&b, " %.1f |", q.value(p)*q.scale)
		}
	}
	atTarget := max(line.Intercept, line.At(equivalentEndpoints(role)))
	fits := "yes"
	if atTarget > q.limit {
		fits = "**no**"
	}
	fmt.Fprintf(&b, " %.1f | %.2f | %.1f | %.1f | %s |\n", line.Intercept*q.scale, line.Slope*100*q.scale, atTarget*q.scale, q.limit*q.scale, fits)
	return b.String()
}

// equivalentEndpoints returns the number of endpoint hosts of a measured fleet that load a daemon of the role as much
// as the target fleet does.
func equivalentEndpoints(role string) float64 {
	if role == "entry" {
		return entryEquivalentEndpoints
	}
	return TargetEndpoints
}

// CPUSecondsPerToken returns the CPU time that an entry host uses for one streamed token, from the difference between
// its loaded and idle points.
func CPUSecondsPerToken(points []Point) (float64, error) {
	idle := make(map[int]float64)
	for _, p := range points {
		if p.Role == "entry" && p.Load == "idle" {
			idle[p.Endpoints] = p.CPU
		}
	}
	sum, n := 0.0, 0
	for _, p := range points {
		if p.Role == "entry" && p.Load == "loaded" && p.TokenRate > 0 {
			sum += (p.CPU - idle[p.Endpoints]) / p.TokenRate
			n++
		}
	}
	if n == 0 {
		return 0, fmt.Errorf("no points of a loaded entry host; run script/capacity")
	}
	return sum / float64(n), nil
}

// StreamTable returns a Markdown table of the CPU usage of an entry host for the streamed tokens of the target.
func StreamTable(points []Point) (string, error) {
	cost, err := CPUSecondsPerToken(points)
	if err != nil {
		return "", err
	}
	perHost := float64(TargetTokenRate) / TargetEntries
	return fmt.Sprintf("| quantity | value |\n|---|---|\n| processor time a streamed token, measured | %.1f µs |\n"+
		"| tokens a second through one of %d entry hosts, worked out | %.0f |\n| share of a core for them, worked out | %.1f%% |\n",
		cost*1e6, TargetEntries, perHost, cost*perHost*100), nil
}
