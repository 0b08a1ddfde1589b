// Package asynclogger writes log lines as JSON without ever blocking the code that logs them.
package asynclogger

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"golang.org/x/time/rate"
)

const (
	// maxQueuedLines is the number of lines that are queued while the writer is slow: two seconds at the full rate.
	maxQueuedLines = 400
	// DefaultLinesPerSecond and maxBurst bound the log lines of one process. A hundred lines per second are about 30 KB/s
	// and a tenth of a percent of a core.
	DefaultLinesPerSecond = 100
	maxBurst              = 400
	dropReportInterval    = 5 * time.Second
)

// Handler is a log handler that queues lines for Run to write. Set its fields before Run.
type Handler struct {
	// Writer receives the lines.
	Writer io.Writer
	// LinesPerSecond is the limit on the average rate, from which warnings and errors are exempt; zero means the default.
	LinesPerSecond float64

	once    sync.Once
	lines   chan []byte
	limiter *rate.Limiter
	dropped atomic.Int64
}

func (h *Handler) init() {
	h.once.Do(func() {
		if h.LinesPerSecond == 0 {
			h.LinesPerSecond = DefaultLinesPerSecond
		}
		h.lines = make(chan []byte, maxQueuedLines)
		h.limiter = rate.NewLimiter(rate.Limit(h.LinesPerSecond), maxBurst)
	})
}

// HandleLog queues one line, or counts it as dropped if the rate is exceeded or the queue is full. Warnings and errors
// are exempt from the limit on the rate, but not from that on the queue.
func (h *Handler) HandleLog(e *log.Entry) error {
	h.init()
	if e.Level < log.WarnLevel && !h.limiter.Allow() {
		h.dropped.Add(1)
		return nil
	}
	line, err := encode(e)
	if err != nil {
		h.dropped.Add(1)
		return err
	}
	select {
	case h.lines <- line:
	default:
		h.dropped.Add(1)
	}
	return nil
}

func encode(e *log.Entry) ([]byte, error) {
	fields := make(map[string]any, len(e.Fields)+3)
	for k, v := range e.Fields {
		if err, ok := v.(error); ok {
			v = err.Error()
		}
		fields[k] = v
	}
	fields["time"] = e.Timestamp.UTC().Format("2006-01-02T15:04:05.000Z")
	fields["level"] = e.Level.String()
	fields["text"] = e.Message
	data, err := json.Marshal(fields)
	if err != nil {
		return nil, fmt.Errorf("encode log line %q: %w", e.Message, err)
	}
	return append(data, '\n'), nil
}

// Run writes queued lines until done is closed, and then the remaining ones.
func (h *Handler) Run(done <-chan struct{}) {
	h.init()
	tick := time.NewTicker(dropReportInterval)
	defer tick.Stop()
	for {
		select {
		case line := <-h.lines:
			h.write(line)
		case <-tick.C:
			h.reportDropped()
		case <-done:
			h.flush()
			return
		}
	}
}

func (h *Handler) flush() {
	for {
		select {
		case line := <-h.lines:
			h.write(line)
		default:
			h.reportDropped()
			return
		}
	}
}

// write writes a line together with all queued ones, so that a burst takes few system calls.
func (h *Handler) write(line []byte) {
	buf := bytes.NewBuffer(line)
	for range len(h.lines) {
		buf.Write(<-h.lines)
	}
	if _, err := h.Writer.Write(buf.Bytes()); err != nil {
		// The failure cannot be logged elsewhere.
		h.dropped.Add(1)
	}
}

// reportDropped writes the number of lines that were dropped since the last report.
func (h *Handler) reportDropped() {
	n := h.dropped.Swap(0)
	if n == 0 {
		return
	}
	e := &log.Entry{Level: log.WarnLevel, Message: "log lines dropped", Timestamp: time.Now(), Fields: log.Fields{"lines": n}}
	if line, err := encode(e); err == nil {
		_, _ = h.Writer.Write(line)
	}
}
