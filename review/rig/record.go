package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record is what was sent, answered and run, one line each, with the seconds since the start.
type record struct {
	startedAt time.Time

	mu    sync.Mutex
	lines []string
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%8.3f ", time.Since(r.startedAt).Seconds())+fmt.Sprintf(format, args...))
}

// conclude adds the result of the check.
func (r *record) conclude(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf(format+"\n", args...)
}

// write writes the record to a file.
func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(path, []byte(strings.Join(r.lines, "\n")+"\n"), 0o644)
}
