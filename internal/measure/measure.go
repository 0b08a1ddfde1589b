// Package measure reports figures of tests that measure, and holds them against their bounds.
package measure

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Output names the environment variable that makes figures appear on standard output, as script/bench needs them.
const Output = "NUTMEGDOCK_BENCH"

// Limit tells which side of a figure's bound is good.
type Limit int

// Limits of figures.
const (
	// None marks a baseline or a plain reading.
	None Limit = iota
	// AtMost marks a figure that must not exceed its bound.
	AtMost
	// AtLeast marks a figure that must not fall below its bound.
	AtLeast
)

// Figure is one measured value. Its bound comes from a stated target.
type Figure struct {
	Name  string
	Value float64
	Unit  string
	Limit Limit
	Bound float64
}

type line struct {
	Name  string   `json:"name"`
	Value float64  `json:"value"`
	Unit  string   `json:"unit"`
	Bound *float64 `json:"bound,omitempty"`
	OK    bool     `json:"ok"`
}

// OK tells whether the figure keeps its bound.
func (f Figure) OK() bool {
	switch f.Limit {
	case AtMost:
		return f.Value <= f.Bound
	case AtLeast:
		return f.Value >= f.Bound
	}
	return true
}

// Report prints a figure for script/bench, and fails the test if the figure is out of bound and KNOWN-RED.txt does
// not list it.
func Report(t testing.TB, f Figure) {
	t.Helper()
	out := line{Name: f.Name, Value: f.Value, Unit: f.Unit, OK: f.OK()}
	if f.Limit != None {
		out.Bound = &f.Bound
	}
	data, err := json.Marshal(out)
	if err != nil {
		t.Fatalf("figure %s: %v", f.Name, err)
	}
	if Wanted() {
		fmt.Printf("\n%s\n", data)
	}
	switch {
	case f.OK():
	case isKnownRed(t, f.Name):
		t.Logf("known red: %s", data)
	default:
		t.Errorf("out of bound: %s", data)
	}
}

// Wanted tells whether script/bench runs the tests, so that long and wall-time readings are wanted too.
func Wanted() bool {
	return os.Getenv(Output) != ""
}

func isKnownRed(t testing.TB, name string) bool {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(moduleRoot(t), "KNOWN-RED.txt"))
	if err != nil {
		t.Fatalf("known red list: %v", err)
	}
	for l := range strings.Lines(string(data)) {
		if strings.TrimSpace(l) == "figure: "+name {
			return true
		}
	}
	return false
}

func moduleRoot(t testing.TB) string {
	t.Helper()
	dir, err := os.Getwd()
	if err != nil {
		t.Fatalf("module root: %v", err)
	}
	for {
		if _, err := os.Stat(filepath.Join(dir, "go.work")); err == nil {
			return dir
		}
		parent := filepath.Dir(dir)
		if parent == dir {
			t.Fatal("module root: no go.work above the test")
		}
		dir = parent
	}
}
