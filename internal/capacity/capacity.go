// Package capacity works out what the daemons use at the target's size, from slopes that script/capacity measures.
package capacity

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"

	"gonum.org/v1/gonum/stat"
)

// Point is one measurement of the real programs.
type Point struct {
	// Role is entry or endpoint.
	Role string `json:"role"`
	// Load is idle or loaded.
	Load string `json:"load"`
	// Endpoints is the number of endpoint hosts.
	Endpoints int `json:"endpoints"`
	// CPU is the processor time as a share of one core.
	CPU float64 `json:"cpu"`
	// MemoryBytes is the resident memory in bytes.
	MemoryBytes float64 `json:"memory"`
	// ControlRate is the traffic of control connections in bytes a second, both ways.
	ControlRate float64 `json:"control"`
	// TokenRate is the number of tokens a second through one entry host.
	TokenRate float64 `json:"tokens"`
}

// Line is a straight line through points.
type Line struct {
	Intercept float64
	Slope     float64
}

// At returns the line's value.
func (l Line) At(x float64) float64 {
	return l.Intercept + l.Slope*x
}

// FitLine returns the line that fits one quantity of the points of a role and load, against the number of endpoints.
func FitLine(points []Point, role, load string, quantity func(Point) float64) (Line, error) {
	var xs, ys []float64
	for _, p := range points {
		if p.Role == role && p.Load == load {
			xs = append(xs, float64(p.Endpoints))
			ys = append(ys, quantity(p))
		}
	}
	if len(xs) < 2 {
		return Line{}, fmt.Errorf("fit of %s, %s: %d points, want at least 2; run script/capacity", role, load, len(xs))
	}
	base, slope := stat.LinearRegression(xs, ys, nil, false)
	return Line{Intercept: base, Slope: slope}, nil
}

// ReadPoints reads points, one JSON object a line.
func ReadPoints(r io.Reader) ([]Point, error) {
	var out []Point
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		var p Point
		if err := json.Unmarshal(lines.Bytes(), &p); err != nil {
			return nil, fmt.Errorf("point %d: %w", len(out), err)
		}
		out = append(out, p)
	}
	return out, lines.Err()
}
