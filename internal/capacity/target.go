package capacity

import (
	"fmt"
	"strings"
)

// Sizes of the target, from the users' letter.
const (
	TargetEndpoints = 2400
	TargetEntries   = 330
	TargetRequests  = 1800    // requests a second
	TargetTokens    = 630_000 // tokens a second
)

// Reports at the target. Each endpoint host keeps up to eight entry hosts of its zone up to date, and writes to the
// others of the zone more rarely.
const (
	targetZones    = 13
	nearEntries    = 8
	farCost        = 4.0 / 30 // cost of a host that reports every 30 s, relative to one that reports every 4 s
	measuredNear   = 2.0 / 3  // part of the measured endpoints that keep one entry host up to date
	zoneEndpoints  = float64(TargetEndpoints) / targetZones
	zoneEntries    = float64(TargetEntries) / targetZones
	nearEndpoints  = zoneEndpoints * nearEntries / zoneEntries
	entryEndpoints = (nearEndpoints + (zoneEndpoints-nearEndpoints)*farCost) / measuredNear
)

// Limits on a daemon's control work at the target, from the users' letter.
const (
	LimitCPU     = 0.022     // share of one core
	LimitMemory  = 256 << 20 // bytes
	LimitControl = 9 * 1000  // bytes a second
)

// quantity is one measured property of a process.
type quantity struct {
	name  string
	unit  string
	scale float64
	limit float64
	of    func(Point) float64
}

var quantities = []quantity{
	{name: "processor", unit: "% of a core", scale: 100, limit: LimitCPU, of: func(p Point) float64 { return p.CPU }},
	{name: "memory", unit: "MB", scale: 1.0 / (1 << 20), limit: LimitMemory, of: func(p Point) float64 { return p.Memory }},
	{name: "control traffic", unit: "KB/s", scale: 1.0 / 1000, limit: LimitControl, of: func(p Point) float64 { return p.Control }},
}

// Table writes the measured slopes of the idle daemons and their values at the target as a Markdown table.
func Table(points []Point) (string, error) {
	var b strings.Builder
	b.WriteString("| role | quantity | " + header(points) + " base | per 100 endpoints | at the target | limit | fits |\n")
	b.WriteString("|---|---|" + strings.Repeat("---|", len(sizes(points))) + "---|---|---|---|---|\n")
	for _, role := range []string{"entry", "endpoint"} {
		for _, q := range quantities {
			line, err := Fit(points, role, "idle", q.of)
			if err != nil {
				return "", err
			}
			b.WriteString(row(points, role, q, line))
		}
	}
	return b.String(), nil
}

func sizes(points []Point) []int {
	var out []int
	for _, p := range points {
		if p.Role == "entry" && p.Load == "idle" {
			out = append(out, p.Endpoints)
		}
	}
	return out
}

func header(points []Point) string {
	var b strings.Builder
	for _, n := range sizes(points) {
		fmt.Fprintf(&b, "at %d |", n)
	}
	return b.String()
}

func row(points []Point, role string, q quantity, line Line) string {
	var b strings.Builder
	fmt.Fprintf(&b, "| %s | %s, %s |", role, q.name, q.unit)
	for _, p := range points {
		if p.Role == role && p.Load == "idle" {
			fmt.Fprintf(&b, " %.1f |", q.of(p)*q.scale)
		}
	}
	at := max(line.Base, line.At(targetOf(role)))
	fits := "yes"
	if at > q.limit {
		fits = "**no**"
	}
	fmt.Fprintf(&b, " %.1f | %.2f | %.1f | %.1f | %s |\n", line.Base*q.scale, line.Slope*100*q.scale, at*q.scale, q.limit*q.scale, fits)
	return b.String()
}

// targetOf returns the number of endpoints of the measured shape that weighs as much on a daemon as the target does.
func targetOf(role string) float64 {
	if role == "entry" {
		return entryEndpoints
	}
	return TargetEndpoints
}

// TokenCost returns the processor seconds that an entry host takes for one streamed token, from the difference
// between its loaded and idle points.
func TokenCost(points []Point) (float64, error) {
	idle := make(map[int]float64)
	for _, p := range points {
		if p.Role == "entry" && p.Load == "idle" {
			idle[p.Endpoints] = p.CPU
		}
	}
	sum, n := 0.0, 0
	for _, p := range points {
		if p.Role == "entry" && p.Load == "loaded" && p.Tokens > 0 {
			sum += (p.CPU - idle[p.Endpoints]) / p.Tokens
			n++
		}
	}
	if n == 0 {
		return 0, fmt.Errorf("no loaded points; run script/capacity")
	}
	return sum / float64(n), nil
}

// Streams writes what the tokens of the target cost the entry hosts.
func Streams(points []Point) (string, error) {
	cost, err := TokenCost(points)
	if err != nil {
		return "", err
	}
	perHost := float64(TargetTokens) / TargetEntries
	return fmt.Sprintf("| quantity | value |\n|---|---|\n| processor time a streamed token, measured | %.1f µs |\n"+
		"| tokens a second through one of %d entry hosts, worked out | %.0f |\n| share of a core for them, worked out | %.1f%% |\n",
		cost*1e6, TargetEntries, perHost, cost*perHost*100), nil
}
