// Package capacity extrapolates the resource usage of the daemons to the target fleet, from the
// measurements of script/capacity on smaller fleets.
package capacity

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"

	"gonum.org/v1/gonum/stat"
)

// Point is the mean usage of the daemons of one role, measured on one fleet.
type Point struct {
	// Role is entry or endpoint.
	Role string `json:"role"`
	// Load is idle or loaded.
	Load string `json:"load"`
	// Endpoints is the number of endpoint hosts in the fleet.
	Endpoints int `json:"endpoints"`
	// CPU is the CPU usage as a fraction of one core.
	CPU float64 `json:"cpu"`
	// MemoryBytes is the resident memory in bytes.
	MemoryBytes float64 `json:"memory"`
	// ControlRate is the traffic of control connections in bytes per second, both directions together.
	ControlRate float64 `json:"control"`
	// TokenRate is the number of streamed tokens per second through one entry host.
	TokenRate float64 `json:"tokens"`
}

// Line is a linear function of the number of endpoint hosts.
type Line struct {
	Intercept float64
	Slope     float64
}

// At returns the line's value at x.
func (l Line) At(x float64) float64 {
	return l.Intercept + l.Slope*x
}

// FitLine returns the least-squares line of one quantity against the number of endpoint hosts, over the points of the
// given role and load.
func FitLine(points []Point, role, load string, quantity func(Point) float64) (Line, error) {
	var xs, ys []float64
	for _, p := range points {
		if p.Role == role && p.Load == load {
			xs = append(xs, float64(p.Endpoints))
			ys = append(ys, quantity(p))
		}
	}
	if len(xs) < 2 {
		return Line{}, fmt.Errorf("fit line for role %s, load %s: got %d points, need at least 2; run script/capacity", role, load, len(xs))
	}
	intercept, slope := stat.LinearRegression(xs, ys, nil, false)
	return Line{Intercept: intercept, Slope: slope}, nil
}

// ReadPoints reads points in JSON Lines format.
func ReadPoints(r io.Reader) ([]Point, error) {
	var out []Point
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		var p Point
		if err := json.Unmarshal(lines.Bytes(), &p); err != nil {
			return nil, fmt.Errorf("decode point %d: %w", len(out), err)
		}
		out = append(out, p)
	}
	return out, lines.Err()
}
