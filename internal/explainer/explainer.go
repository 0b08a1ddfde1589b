// Package explainer finds, in the log lines of many processes, those that show how one request was handled and why.
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
	// lookbackWindow is the time before a request from which events of its endpoints are included: several heartbeats, and
	// the time that the rollout of a release takes.
	lookbackWindow = 10 * time.Second
	// maxLineBytes bounds one log line.
	maxLineBytes = 1 << 20
)

// contextEvents are the events whose newest line on the request's host shows the state that the host based its
// decisions on.
var contextEvents = []event.Event{
	event.Started, event.ConfigApplied, event.ReleaseFound, event.StoreUnreachable, event.StoreReachable, event.Stopping,
}

// Line is one log line.
type Line struct {
	Time   time.Time
	Host   string
	Event  int
	Text   string
	Fields map[string]any
}

// Explainer collects log lines and selects those about one request. Set its fields before use.
type Explainer struct {
	// AttemptID is the id of the caller's request attempt, as logged.
	AttemptID string

	lines []Line
}

// Read adds the log lines of one or more processes. It ignores text before a line's JSON object, and lines without such
// an object. It returns the number of lines added.
func (e *Explainer) Read(r io.Reader) (int, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	n := 0
	for scanner.Scan() {
		if l, ok := parse(scanner.Bytes()); ok {
			e.lines = append(e.lines, l)
			n++
		}
	}
	if err := scanner.Err(); err != nil {
		return n, fmt.Errorf("read log: %w", err)
	}
	return n, nil
}

func parse(data []byte) (Line, bool) {
	start := bytes.IndexByte(data, '{')
	if start < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if json.Unmarshal(data[start:], &fields) != nil {
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

// ErrNotFound reports that no log line has the id.
var ErrNotFound = errors.New("no log line has this id; of the requests that are neither late nor failed, only one in sixteen is logged")

// Timeline returns the lines of the request, and those that show the state known to its host, the events of its
// endpoints, and the crashes for which it was refused, ordered by time.
func (e *Explainer) Timeline() ([]Line, error) {
	slices.SortStableFunc(e.lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	var requestLines []int
	endpoints, features := make(map[string]bool), make(map[string]bool)
	for i, l := range e.lines {
		if l.Fields["id"] != e.AttemptID {
			continue
		}
		requestLines = append(requestLines, i)
		if name := text(l.Fields["endpoint"]); name != "" {
			endpoints[name] = true
		}
		if feature := text(l.Fields["feature"]); feature != "" {
			features[feature] = true
		}
	}
	if len(requestLines) == 0 {
		return nil, ErrNotFound
	}
	first, last := requestLines[0], requestLines[len(requestLines)-1]
	selected := make(map[int]bool)
	for _, i := range requestLines {
		selected[i] = true
	}
	for _, ev := range contextEvents {
		if i, ok := e.newest(ev, e.lines[first].Host, last); ok {
			selected[i] = true
		}
	}
	for i, l := range e.lines[:last] {
		isEndpointEvent := endpoints[text(l.Fields["endpoint"])] && text(l.Fields["id"]) == ""
		if isEndpointEvent && e.lines[first].Time.Sub(l.Time) < lookbackWindow {
			selected[i] = true
		}
		if l.hasFeature(features) {
			selected[i] = true
		}
	}
	var out []Line
	for i, l := range e.lines {
		if selected[i] {
			out = append(out, l)
		}
	}
	return out, nil
}

// hasFeature reports whether the line is about one of the features: its quarantine, a crash of which it is a suspect, or
// a request with it that an endpoint crashed on.
func (l Line) hasFeature(features map[string]bool) bool {
	if l.Event == event.RequestRefused.Number {
		return false
	}
	for _, name := range []string{"feature", "suspects", "features"} {
		for feature := range strings.FieldsSeq(text(l.Fields[name])) {
			if features[feature] {
				return true
			}
		}
	}
	return false
}

// newest returns the index of a host's newest line of an event before the given index.
func (e *Explainer) newest(ev event.Event, host string, before int) (int, bool) {
	for i := before - 1; i >= 0; i-- {
		if e.lines[i].Event == ev.Number && e.lines[i].Host == host {
			return i, true
		}
	}
	return 0, false
}

// FieldList returns the line's fields as NAME=VALUE, sorted by name.
func (l Line) FieldList() string {
	names := make([]string, 0, len(l.Fields))
	for name := range l.Fields {
		names = append(names, name)
	}
	slices.Sort(names)
	pairs := make([]string, len(names))
	for i, name := range names {
		pairs[i] = fmt.Sprintf("%s=%v", name, l.Fields[name])
	}
	return strings.Join(pairs, " ")
}
