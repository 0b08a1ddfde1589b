package engineagent

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/nutmegdock/nutmegdock/internal/bodyreader"
	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/loadverifier"
	"github.com/nutmegdock/nutmegdock/internal/core/rolloutplanner"
	"github.com/nutmegdock/nutmegdock/internal/event"
)

// meter counts the calls to the engine.
type meter struct {
	commands   *prometheus.CounterVec
	unanswered *prometheus.CounterVec
	late       prometheus.Counter
	rewritten  prometheus.Counter
	suspect    prometheus.Counter
	readAge    prometheus.Histogram
}

func newMeter(r prometheus.Registerer) *meter {
	m := &meter{
		commands:   prometheus.NewCounterVec(prometheus.CounterOpts{Name: "nutmegdock_load_commands_total", Help: "Load commands sent to the engine, by result."}, []string{"result"}),
		unanswered: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "nutmegdock_load_unanswered_total", Help: "Calls to the engine that ended without an answer."}, []string{"call"}),
		late:       prometheus.NewCounter(prometheus.CounterOpts{Name: "nutmegdock_load_late_total", Help: "Load commands without an answer that a report of the engine showed as accepted."}),
		rewritten:  prometheus.NewCounter(prometheus.CounterOpts{Name: "nutmegdock_load_rewritten_total", Help: "Chunks of loaded layers that were written after they had been read back last."}),
		suspect:    prometheus.NewCounter(prometheus.CounterOpts{Name: "nutmegdock_load_suspect_total", Help: "Layers that the engine had to drop and load again."}),
		readAge: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "nutmegdock_load_read_age_seconds", Help: "Age of the oldest read of a chunk of the loaded layers when the load command ended.",
			Buckets: []float64{0.05, 0.1, 0.25, 0.5, 1, 2, 2.5, 3, 5, 10},
		}),
	}
	r.MustRegister(m.commands, m.unanswered, m.late, m.rewritten, m.suspect, m.readAge)
	return m
}

// stagedChunk holds when a chunk was last read back with the right bytes, and when a write of it last ended.
type stagedChunk struct {
	readAt, writtenAt time.Duration
	isRead            bool
}

// openCommand is a load command without an answer that no report has shown as accepted.
type openCommand struct {
	startTime, loadCommands int64
	sentAt                  time.Duration
}

// resultNames holds the names of results in logs and metrics.
var resultNames = map[loadverifier.Result]string{loadverifier.Done: "done", loadverifier.Refused: "refused", loadverifier.Open: "open"}

// call calls the engine once, and logs a call that ends without an answer.
func (h *Agent) call(ctx context.Context, kind string, f log.Fields, do func(ctx context.Context) error) (loadverifier.Call, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c := loadverifier.Call{Sent: h.suspensions.Elapsed()}
	err := do(ctx)
	c.Ended = h.suspensions.Elapsed()
	switch {
	case err == nil:
	case h.isRefusal(err):
		c.Result = loadverifier.Refused
	default:
		c.Result = loadverifier.Open
		h.meter.unanswered.WithLabelValues(kind).Inc()
		event.EngineCallUnanswered.Log(h.Logger.WithError(err).WithFields(f), log.Fields{"call": kind, "sent": c.Sent.Milliseconds(), "took": (c.Ended - c.Sent).Milliseconds()})
	}
	return c, err
}

// isRefusal reports whether a call that has failed has no effect later: the engine has answered it, or no connection was
// made.
func (h *Agent) isRefusal(err error) bool {
	var network *net.OpError
	return errors.As(err, &network) && network.Op == "dial" || h.Engine.IsAnswer != nil && h.Engine.IsAnswer(err)
}

// readStaged reads a chunk back from the staging area.
func (h *Agent) readStaged(ctx context.Context, s fleetconfig.ServedModel, number int, size ident.Bytes) (data []byte, c loadverifier.Call, err error) {
	c, err = h.call(ctx, "read", chunkFields(s, number), func(ctx context.Context) error {
		data, err = h.Engine.ReadStaged(ctx, s.Model, number, size)
		var sizeErr *bodyreader.SizeError
		if errors.As(err, &sizeErr) {
			data, err = nil, nil // the engine has answered, with something that is not the chunk
		}
		return err
	})
	return data, c, err
}

// writeStaged writes a chunk to the staging area.
func (h *Agent) writeStaged(ctx context.Context, s fleetconfig.ServedModel, number int, data []byte) (loadverifier.Call, error) {
	c, err := h.call(ctx, "write", chunkFields(s, number), func(ctx context.Context) error {
		return h.Engine.WriteStaged(ctx, s.Model, number, data)
	})
	if c.Result != loadverifier.Refused {
		h.recordChunk(number, func(chunk *stagedChunk) { chunk.writtenAt = c.Ended })
	}
	return c, err
}

func chunkFields(s fleetconfig.ServedModel, number int) log.Fields {
	return log.Fields{"model": string(s.Model), "release": int64(s.Release), "chunk": number}
}

// recordRead records that a chunk was read back with the right bytes.
func (h *Agent) recordRead(number int, c loadverifier.Call) {
	h.recordChunk(number, func(chunk *stagedChunk) { chunk.readAt, chunk.isRead = c.Sent, true })
}

func (h *Agent) recordChunk(number int, change func(*stagedChunk)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.staged == nil {
		h.staged = make(map[int]stagedChunk)
	}
	chunk := h.staged[number]
	change(&chunk)
	h.staged[number] = chunk
}

// issueLoad issues a load command that adds layers with the given chunks.
func (h *Agent) issueLoad(ctx context.Context, s fleetconfig.ServedModel, step loadverifier.Step, chunks []int) (loadverifier.Call, error) {
	f := log.Fields{"model": string(s.Model), "release": int64(s.Release), "orders": step.Accepted, "running": h.report.Running}
	if step.Layers != (fleetconfig.LayerRange{}) {
		f["from"], f["to"] = step.Layers.From, step.Layers.To
	}
	c, err := h.call(ctx, "command", f, func(ctx context.Context) error { return h.Engine.Load(ctx, s, step.Layers, step.Accepted) })
	h.meter.commands.WithLabelValues(resultNames[c.Result]).Inc()
	f["result"], f["sent"], f["answered"] = resultNames[c.Result], c.Sent.Milliseconds(), c.Ended.Milliseconds()
	h.addReadTimes(f, chunks, c)
	event.ReleaseLoadIssued.Log(h.Logger.WithFields(f), nil)
	if c.Result == loadverifier.Open {
		h.mu.Lock()
		h.unanswered = openCommand{startTime: h.report.StartTime, loadCommands: step.Accepted, sentAt: c.Sent}
		h.mu.Unlock()
	}
	return c, err
}

// addReadTimes adds to the fields of a load command when the first and the last of its chunks were read back, how old the
// oldest read was when the command was sent and when it ended, and the number of chunks that were written after their last
// read. All times are in milliseconds.
func (h *Agent) addReadTimes(f log.Fields, chunks []int, c loadverifier.Call) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var first, last time.Duration
	read, rewritten := 0, 0
	for _, i := range chunks {
		chunk := h.staged[i]
		if chunk.writtenAt > chunk.readAt || !chunk.isRead {
			rewritten++
		}
		if !chunk.isRead {
			continue
		}
		if read == 0 || chunk.readAt < first {
			first = chunk.readAt
		}
		last = max(last, chunk.readAt)
		read++
	}
	f["chunks"], f["read"], f["rewritten"] = len(chunks), read, rewritten
	h.meter.rewritten.Add(float64(rewritten))
	if read == 0 {
		return
	}
	f["first"], f["last"] = first.Milliseconds(), last.Milliseconds()
	f["oldest"], f["age"] = (c.Sent - first).Milliseconds(), (c.Ended - first).Milliseconds()
	h.meter.readAge.Observe((c.Ended - first).Seconds())
}

// recordLateCommand logs that a report shows a load command as accepted whose answer has not arrived.
func (h *Agent) recordLateCommand(r rolloutplanner.Report) {
	h.mu.Lock()
	open := h.unanswered
	isAccepted := open != (openCommand{}) && r.StartTime == open.startTime && r.LoadCommands > open.loadCommands
	if isAccepted || r.StartTime != open.startTime {
		h.unanswered = openCommand{}
	}
	h.mu.Unlock()
	if !isAccepted {
		return
	}
	h.meter.late.Inc()
	since := h.suspensions.Elapsed() - open.sentAt
	event.UnansweredLoadAccepted.Log(h.Logger, log.Fields{"orders": open.loadCommands, "accepted": r.LoadCommands, "sent": open.sentAt.Milliseconds(), "since": since.Milliseconds()})
}
