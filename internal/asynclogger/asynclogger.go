// Package asynclogger writes log lines as JSON without ever holding up the code that logs them.
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
	// queueLines is the number of lines that wait for a slow reader: two seconds at the full rate.
	queueLines = 400
	// DefaultRate and burst bound the lines of one process: a hundred a second are about 30 KB/s, a tenth of a percent of
	// a core.
	DefaultRate = 100
	burst       = 400
	tellEvery   = 5 * time.Second
)

// Handler is a log handler. Set its fields before Run.
type Handler struct {
	// Writer receives the lines.
	Writer io.Writer
	// Rate is the number of lines a second that are kept on average; zero means the default.
	Rate float64

	once    sync.Once
	lines   chan []byte
	limit   *rate.Limiter
	dropped atomic.Int64
}

func (h *Handler) init() {
	h.once.Do(func() {
		if h.Rate == 0 {
			h.Rate = DefaultRate
		}
		h.lines = make(chan []byte, queueLines)
		h.limit = rate.NewLimiter(rate.Limit(h.Rate), burst)
	})
}

// HandleLog takes one line, or counts it as dropped if there are too many or nobody reads them. Warnings go past the
// bound on the rate, but not past that on the queue.
func (h *Handler) HandleLog(e *log.Entry) error {
	h.init()
	if e.Level < log.WarnLevel && !h.limit.Allow() {
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

// Run writes the lines until done is closed, and then those that still wait.
func (h *Handler) Run(done <-chan struct{}) {
	h.init()
	tick := time.NewTicker(tellEvery)
	defer tick.Stop()
	for {
		select {
		case line := <-h.lines:
			h.write(line)
		case <-tick.C:
			h.tell()
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
			h.tell()
			return
		}
	}
}

// write joins the lines that wait, so that a burst takes few system calls.
func (h *Handler) write(line []byte) {
	buf := bytes.NewBuffer(line)
	for range len(h.lines) {
		buf.Write(<-h.lines)
	}
	if _, err := h.Writer.Write(buf.Bytes()); err != nil {
		// There is nowhere else to say so.
		h.dropped.Add(1)
	}
}

// tell writes how many lines were dropped since the last time.
func (h *Handler) tell() {
	n := h.dropped.Swap(0)
	if n == 0 {
		return
	}
	e := &log.Entry{Level: log.WarnLevel, Message: "log lines dropped", Timestamp: time.Now(), Fields: log.Fields{"lines": n}}
	if line, err := encode(e); err == nil {
		_, _ = h.Writer.Write(line)
	}
}
