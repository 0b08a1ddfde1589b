package engineagent

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/rolloutplanner"
	"github.com/nutmegdock/nutmegdock/internal/event"
)

// callResult says how a call to the engine ended.
type callResult string

const (
	callDone callResult = "done"
	// callRefused means that the engine has refused the call, or that the call was not sent: it has no effect later.
	callRefused callResult = "refused"
	// callOpen means that there was no answer, so that the engine may carry the call out later.
	callOpen callResult = "open"
)

// call is a call to the engine that has ended. Its times count from the start of the agent, suspensions included.
type call struct {
	sentAt, endedAt time.Duration
	result          callResult
}

// meter counts the calls to the engine.
type meter struct {
	commands   *prometheus.CounterVec
	unanswered *prometheus.CounterVec
	late       prometheus.Counter
	rewritten  prometheus.Counter
	readAge    prometheus.Histogram
}

func newMeter(r prometheus.Registerer) *meter {
	m := &meter{
		commands:   prometheus.NewCounterVec(prometheus.CounterOpts{Name: "nutmegdock_load_commands_total", Help: "Load commands sent to the engine, by result."}, []string{"result"}),
		unanswered: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "nutmegdock_load_unanswered_total", Help: "Calls to the engine that ended without an answer."}, []string{"call"}),
		late:       prometheus.NewCounter(prometheus.CounterOpts{Name: "nutmegdock_load_late_total", Help: "Load commands without an answer that a report of the engine showed as accepted."}),
		rewritten:  prometheus.NewCounter(prometheus.CounterOpts{Name: "nutmegdock_load_rewritten_total", Help: "Chunks of loaded layers that were written after they had been read back last."}),
		readAge: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "nutmegdock_load_read_age_seconds", Help: "Age of the oldest read of a chunk of the loaded layers when the load command ended.",
			Buckets: []float64{0.05, 0.1, 0.25, 0.5, 1, 2, 2.5, 3, 5, 10},
		}),
	}
	r.MustRegister(m.commands, m.unanswered, m.late, m.rewritten, m.readAge)
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

// call calls the engine once, and logs a call that ends without an answer.
func (h *Agent) call(ctx context.Context, kind string, f log.Fields, do func(ctx context.Context) error) (call, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c := call{sentAt: h.suspensions.Elapsed(), result: callDone}
	err := do(ctx)
	c.endedAt = h.suspensions.Elapsed()
	if err == nil {
		return c, nil
	}
	c.result = callOpen
	if h.isRefusal(err) {
		c.result = callRefused
		return c, err
	}
	h.meter.unanswered.WithLabelValues(kind).Inc()
	event.EngineCallUnanswered.Log(h.Logger.WithError(err).WithFields(f), log.Fields{"call": kind, "sent": c.sentAt.Milliseconds(), "took": (c.endedAt - c.sentAt).Milliseconds()})
	return c, err
}

// isRefusal reports whether a call that has failed has no effect later: the engine has answered it, or no connection was
// made.
func (h *Agent) isRefusal(err error) bool {
	var network *net.OpError
	return errors.As(err, &network) && network.Op == "dial" || h.Engine.IsAnswer != nil && h.Engine.IsAnswer(err)
}

// readStaged reads a chunk back from the staging area.
func (h *Agent) readStaged(ctx context.Context, s fleetconfig.ServedModel, number int) (data []byte, c call, err error) {
	c, err = h.call(ctx, "read", chunkFields(s, number), func(ctx context.Context) error {
		data, err = h.Engine.ReadStaged(ctx, s.Model, number)
		return err
	})
	return data, c, err
}

// writeStaged writes a chunk to the staging area.
func (h *Agent) writeStaged(ctx context.Context, s fleetconfig.ServedModel, number int, data []byte) (call, error) {
	c, err := h.call(ctx, "write", chunkFields(s, number), func(ctx context.Context) error {
		return h.Engine.WriteStaged(ctx, s.Model, number, data)
	})
	if c.result != callRefused {
		h.recordChunk(number, func(chunk *stagedChunk) { chunk.writtenAt = c.endedAt })
	}
	return c, err
}

func chunkFields(s fleetconfig.ServedModel, number int) log.Fields {
	return log.Fields{"model": string(s.Model), "release": int64(s.Release), "chunk": number}
}

// recordRead records that a chunk was read back with the right bytes.
func (h *Agent) recordRead(number int, c call) {
	h.recordChunk(number, func(chunk *stagedChunk) { chunk.readAt, chunk.isRead = c.sentAt, true })
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

// issueLoad issues a load command for layers whose chunks are those from from to before to.
func (h *Agent) issueLoad(ctx context.Context, s fleetconfig.ServedModel, layers fleetconfig.LayerRange, from, to int, r rolloutplanner.Report) (call, error) {
	f := log.Fields{"model": string(s.Model), "release": int64(s.Release), "orders": r.LoadCommands, "running": r.Running}
	if layers != (fleetconfig.LayerRange{}) {
		f["from"], f["to"] = layers.From, layers.To
	}
	c, err := h.call(ctx, "command", f, func(ctx context.Context) error { return h.Engine.Load(ctx, s, layers, r.LoadCommands) })
	h.meter.commands.WithLabelValues(string(c.result)).Inc()
	f["result"], f["sent"], f["answered"] = string(c.result), c.sentAt.Milliseconds(), c.endedAt.Milliseconds()
	h.addReadTimes(f, from, to, c)
	event.ReleaseLoadIssued.Log(h.Logger.WithFields(f), nil)
	if c.result == callOpen {
		h.mu.Lock()
		h.unanswered = openCommand{startTime: r.StartTime, loadCommands: r.LoadCommands, sentAt: c.sentAt}
		h.mu.Unlock()
	}
	return c, err
}

// addReadTimes adds to the fields of a load command when the first and the last of its chunks were read back, how old the
// oldest read was when the command was sent and when it ended, and the number of chunks that were written after their last
// read. All times are in milliseconds.
func (h *Agent) addReadTimes(f log.Fields, from, to int, c call) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var first, last time.Duration
	read, rewritten := 0, 0
	for i := from; i < to; i++ {
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
	f["chunks"], f["read"], f["rewritten"] = to-from, read, rewritten
	h.meter.rewritten.Add(float64(rewritten))
	if read == 0 {
		return
	}
	f["first"], f["last"] = first.Milliseconds(), last.Milliseconds()
	f["oldest"], f["age"] = (c.sentAt - first).Milliseconds(), (c.endedAt - first).Milliseconds()
	h.meter.readAge.Observe((c.endedAt - first).Seconds())
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
