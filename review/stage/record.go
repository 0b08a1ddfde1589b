package stage

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/nutmegdock/nutmegdock/platform/standin/backend"
)

// Record holds what was sent, answered and run, in the order of time.
type Record struct {
	startTime time.Time

	mu    sync.Mutex
	lines []string
	runs  map[string][]backend.Execution
}

// NewRecord returns an empty record.
func NewRecord() *Record {
	return &Record{startTime: time.Now(), runs: make(map[string][]backend.Execution)}
}

// Add adds a line with the time since the start.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%9.3f  %s", time.Since(r.startTime).Seconds(), fmt.Sprintf(format, args...)))
}

func (r *Record) started(e backend.Execution) {
	r.Add("%s runs request %s on version %d", e.EndpointID, e.RequestID, e.Release)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[e.RequestID] = append(r.runs[e.RequestID], e)
}

// Runs returns the runs of a request.
func (r *Record) Runs(id string) []backend.Execution {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]backend.Execution(nil), r.runs[id]...)
}

// Write writes the record to a file.
func (r *Record) Write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	f, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("write the record: %w", err)
	}
	w := bufio.NewWriter(f)
	for _, line := range r.lines {
		fmt.Fprintln(w, line)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("write the record: %w", err)
	}
	return f.Close()
}
