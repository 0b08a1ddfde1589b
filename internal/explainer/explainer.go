// Package explainer finds, in the log lines of many processes, those that tell what became of one request and why.
package explainer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/event"
)

const (
	// lookback is how long before a request the events of its endpoints count: several heartbeats, and the time that a new
	// release takes.
	lookback = 10 * time.Second
	// maxLine bounds one log line.
	maxLine = 1 << 20
)

// beliefs are the events of which the newest on the request's own host tells what that host believed.
var beliefs = []event.Event{
	event.Started, event.DirectoryInForce, event.ReleaseKnown, event.StoreLost, event.StoreRegained, event.Stopping,
}

// Line is one log line.
type Line struct {
	Time   time.Time
	Host   string
	Event  int
	Text   string
	Fields map[string]any
}

// Explainer follows one request. Set its fields before use.
type Explainer struct {
	// ID is the id of the caller's attempt.
	ID string

	lines []Line
}

// Read takes the lines of one or more processes. What stands before a line's JSON object is passed over, and so is a line
// without one. It returns the number of lines taken.
func (e *Explainer) Read(r io.Reader) (int, error) {
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLine)
	n := 0
	for sc.Scan() {
		if l, ok := parse(sc.Bytes()); ok {
			e.lines = append(e.lines, l)
			n++
		}
	}
	if err := sc.Err(); err != nil {
		return n, fmt.Errorf("read log: %w", err)
	}
	return n, nil
}

func parse(data []byte) (Line, bool) {
	at := bytes.IndexByte(data, '{')
	if at < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if json.Unmarshal(data[at:], &fields) != nil {
		return Line{}, false
	}
	t, err := time.Parse(time.RFC3339Nano, text(fields["time"]))
	if err != nil {
		return Line{}, false
	}
	number, _ := fields["event"].(float64)
	l := Line{Time: t, Host: text(fields["host"]), Event: int(number), Text: text(fields["text"]), Fields: fields}
	for _, name := range []string{"time", "host", "event", "text", "level"} {
		delete(fields, name)
	}
	return l, true
}

func text(v any) string {
	s, _ := v.(string)
	return s
}

// ErrUnknown says that no line bears the id.
var ErrUnknown = errors.New("no line bears this id; answered requests are logged one in sixteen unless they are late or fail")

// Story returns the lines of the request, and those that tell what its host believed and what befell its endpoints, in the
// order of their times.
func (e *Explainer) Story() ([]Line, error) {
	slices.SortStableFunc(e.lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	var own []int
	endpoints := make(map[string]bool)
	for i, l := range e.lines {
		if l.Fields["id"] != e.ID {
			continue
		}
		own = append(own, i)
		if name := text(l.Fields["endpoint"]); name != "" {
			endpoints[name] = true
		}
	}
	if len(own) == 0 {
		return nil, ErrUnknown
	}
	first, last := own[0], own[len(own)-1]
	keep := make(map[int]bool)
	for _, i := range own {
		keep[i] = true
	}
	for _, b := range beliefs {
		if i, ok := e.newest(b, e.lines[first].Host, last); ok {
			keep[i] = true
		}
	}
	for i, l := range e.lines[:last] {
		isAbout := endpoints[text(l.Fields["endpoint"])] && text(l.Fields["id"]) == ""
		if isAbout && e.lines[first].Time.Sub(l.Time) < lookback {
			keep[i] = true
		}
	}
	var out []Line
	for i, l := range e.lines {
		if keep[i] {
			out = append(out, l)
		}
	}
	return out, nil
}

// newest returns the index of a host's newest line of an event before the index given.
func (e *Explainer) newest(ev event.Event, host string, before int) (int, bool) {
	for i := before - 1; i >= 0; i-- {
		if e.lines[i].Event == ev.Number && e.lines[i].Host == host {
			return i, true
		}
	}
	return 0, false
}

// Detail returns the line's fields as NAME=VALUE, sorted by name.
func (l Line) Detail() string {
	names := make([]string, 0, len(l.Fields))
	for name := range l.Fields {
		names = append(names, name)
	}
	slices.Sort(names)
	parts := make([]string, len(names))
	for i, name := range names {
		parts[i] = fmt.Sprintf("%s=%v", name, l.Fields[name])
	}
	return strings.Join(parts, " ")
}
