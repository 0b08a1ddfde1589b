package engineagent

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/nutmegdock/nutmegdock/internal/core/assigner"
	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/loadverifier"
	"github.com/nutmegdock/nutmegdock/internal/core/manifest"
	"github.com/nutmegdock/nutmegdock/internal/core/rolloutplanner"
	"github.com/nutmegdock/nutmegdock/internal/event"
)

// observeReport reads the engine's report, records it in the verifier and corrects the announced gate state by it.
func (h *Agent) observeReport(ctx context.Context) (rolloutplanner.Report, error) {
	sentAt := h.suspensions.Elapsed()
	r, err := h.readReport(ctx)
	if err != nil {
		return r, err
	}
	h.verifier.RecordReport(loadverifier.Call{Sent: sentAt, Ended: h.suspensions.Elapsed()}, r)
	h.report = r
	h.updateGate(r)
	return r, nil
}

// begin makes a release the one to load. The zero range stands for all layers.
func (h *Agent) begin(s fleetconfig.ServedModel, a manifest.Artifact, layers fleetconfig.LayerRange) {
	if s != h.verified {
		h.mu.Lock()
		h.staged = nil
		h.mu.Unlock()
	}
	h.verified = s
	h.verifier.Begin(s, h.currentFleet().Layers, len(a.Chunks), layers)
}

// inherit takes over the gate state that a former agent announced. If it had closed the gate, the layers of the engine have to
// be proven before the gate opens.
func (h *Agent) inherit() {
	h.mu.Lock()
	g := h.inherited
	h.inherited = nil
	h.mu.Unlock()
	if g == nil {
		return
	}
	s := fleetconfig.ServedModel{Model: g.Model, Release: g.Release}
	h.verifier.Inherit(loadverifier.Inherited{StartTime: g.StartTime, Served: s, Closed: g.Closed, OpenWrites: g.OpenWrites})
	if g.Closed {
		h.unprovenStart = g.StartTime
		h.setGateState(*g)
		event.GateInherited.Log(h.Logger, log.Fields{"born": g.StartTime, "model": string(g.Model), "release": int64(g.Release), "writes": g.OpenWrites})
	}
}

// isProven reports whether all layers that the engine holds are proven to be those of their release, and stay so.
func (h *Agent) isProven(r rolloutplanner.Report) bool {
	if h.verified == (fleetconfig.ServedModel{}) {
		return r.StartTime != h.unprovenStart // nothing else is known of the engine's layers
	}
	return r.StartTime == h.report.StartTime && h.verifier.Proven()
}

// execute executes the steps of the verifier until the engine holds the wanted layers of a release and they are proven. With
// untilStaged, it stops once their chunks have been written.
func (h *Agent) execute(ctx context.Context, s fleetconfig.ServedModel, a manifest.Artifact, untilStaged bool) error {
	progressAt := h.suspensions.Elapsed()
	var commandAt time.Duration
	waits := false
	for ctx.Err() == nil {
		if untilStaged && h.verifier.Staged() {
			return nil
		}
		now := h.suspensions.Elapsed()
		step := h.verifier.Next(now)
		var err error
		switch step.Kind {
		case loadverifier.StepDone:
			h.updateGate(h.report)
			if commandAt > 0 {
				h.logLoaded(s, now-commandAt)
			}
			return nil
		case loadverifier.StepReport:
			if now-progressAt > loadTimeout {
				return fmt.Errorf("release %d of %s is not loaded and proven %s after the last other step: %d suspect layers, %d open writes, %d open commands",
					s.Release, s.Model, loadTimeout, h.verifier.Suspect(), h.verifier.OpenWrites(), h.verifier.OpenCommands())
			}
			if waits {
				err = sleep(ctx, confirmInterval)
			}
			if err == nil {
				_, err = h.observeReport(ctx)
			}
			waits = true
		case loadverifier.StepWrite:
			err = h.forChunks(step, func(i int) (func(), error) { return h.stageChunk(ctx, s, i, a.Chunks[i]) })
		case loadverifier.StepRead:
			err = h.forChunks(step, func(i int) (func(), error) { return h.verifyChunk(ctx, s, i, a.Chunks[i]) })
		case loadverifier.StepCommand:
			var isIssued bool
			isIssued, err = h.command(ctx, s, a, step)
			if isIssued && commandAt == 0 {
				commandAt = now
			}
		}
		if err != nil {
			return err
		}
		if step.Kind != loadverifier.StepReport {
			progressAt, waits = h.suspensions.Elapsed(), step.Kind == loadverifier.StepCommand
		}
	}
	return ctx.Err()
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// forChunks calls the engine for the chunks of a step, as many side by side as the step says. The results are recorded one
// after the other.
func (h *Agent) forChunks(step loadverifier.Step, do func(i int) (record func(), err error)) error {
	records, errs := make([]func(), len(step.Chunks)), make([]error, len(step.Chunks))
	slots := make(chan struct{}, max(1, step.Parallel))
	var calls sync.WaitGroup
	for n, i := range step.Chunks {
		slots <- struct{}{}
		calls.Go(func() {
			records[n], errs[n] = do(i)
			<-slots
		})
	}
	calls.Wait()
	for _, record := range records {
		if record != nil {
			record()
		}
	}
	return errors.Join(errs...)
}

// stageChunk writes a chunk to the engine's staging area.
func (h *Agent) stageChunk(ctx context.Context, s fleetconfig.ServedModel, number int, c manifest.Chunk) (record func(), err error) {
	data, ok := h.Replicator.HeldChunk(c.Digest)
	if !ok {
		return nil, fmt.Errorf("stage chunk %d of release %d of %s: this host does not hold it", number, s.Release, s.Model)
	}
	write, err := h.writeStaged(ctx, s, number, data)
	return func() {
		h.verifier.RecordWrite(number, write, true)
		if write.Result == loadverifier.Open {
			h.updateOpenWrites()
		}
	}, err
}

// verifyChunk reads a chunk back from the engine's staging area.
func (h *Agent) verifyChunk(ctx context.Context, s fleetconfig.ServedModel, number int, c manifest.Chunk) (record func(), err error) {
	data, read, err := h.readStaged(ctx, s, number, c.Size)
	isIntact := err == nil && c.Matches(data)
	if err == nil && !isIntact {
		event.StagedChunkCorrupt.Log(h.Logger.WithField("chunk", strconv.Itoa(number)), nil)
	}
	return func() {
		if isIntact {
			h.recordRead(number, read)
		}
		h.verifier.RecordRead(number, read, isIntact)
	}, err
}

// command closes the gate and issues a load command. It issues none if the reads have become too old meanwhile.
func (h *Agent) command(ctx context.Context, s fleetconfig.ServedModel, a manifest.Artifact, step loadverifier.Step) (isIssued bool, err error) {
	if err := h.closeGate(ctx, s); err != nil {
		return false, err
	}
	if !h.verifier.MayCommand(h.suspensions.Elapsed(), step.Layers) {
		h.updateGate(h.report)
		return false, nil
	}
	h.meter.suspect.Add(float64(h.verifier.Suspect()))
	c, err := h.issueLoad(ctx, s, step, h.addedChunks(s, step.Layers, len(a.Chunks)))
	h.verifier.RecordCommand(step.Layers, c)
	if err != nil {
		return true, fmt.Errorf("command engine to load release %d of %s: %w", s.Release, s.Model, err)
	}
	return true, nil
}

// addedChunks returns the chunks of the layers that a command adds to those that the engine holds.
func (h *Agent) addedChunks(s fleetconfig.ServedModel, layers fleetconfig.LayerRange, chunks int) []int {
	total := h.currentFleet().Layers
	if layers == (fleetconfig.LayerRange{}) {
		layers.To = total
	}
	parts := []fleetconfig.LayerRange{layers}
	if held := h.report.Layers; total > 0 && h.report.LoadedRelease(s.Model) == s.Release && held != (fleetconfig.LayerRange{}) {
		parts = []fleetconfig.LayerRange{{From: layers.From, To: held.From}, {From: held.To, To: layers.To}}
	}
	var out []int
	for _, part := range parts {
		if total > 0 && part.From >= part.To {
			continue
		}
		from, to := part.ChunkRange(total, chunks)
		for i := from; i < to; i++ {
			out = append(out, i)
		}
	}
	return out
}

func (h *Agent) logLoaded(s fleetconfig.ServedModel, took time.Duration) {
	f := log.Fields{"model": string(s.Model), "release": int64(s.Release), "took": took.Milliseconds()}
	if layers := h.report.Layers; layers != (fleetconfig.LayerRange{}) {
		f["from"], f["to"] = layers.From, layers.To
	}
	event.ReleaseServed.Log(h.Logger.WithFields(f), nil)
}

// prove has the engine drop those layers of a release, all of which it holds, that are not proven, and load them again.
func (h *Agent) prove(ctx context.Context, s fleetconfig.ServedModel) error {
	h.setClosed(s, h.report.StartTime)
	a, err := h.Replicator.Fetch(ctx, s, func() bool { return h.isSuperseded(s) })
	if err != nil {
		return err
	}
	h.begin(s, a, fleetconfig.LayerRange{})
	return h.execute(ctx, s, a, false)
}

// updateGate corrects the announced gate state by the engine's report, which shows the effect of a load command whose
// response was late or lost. The gate opens once all layers are proven.
func (h *Agent) updateGate(r rolloutplanner.Report) {
	m := fleetconfig.Model(h.currentFleet().Model)
	served := r.FullRelease(m, h.currentFleet().Layers)
	h.mu.Lock()
	g := h.gateState
	h.mu.Unlock()
	isCurrent := g.StartTime == r.StartTime
	switch {
	case r.Loading && (!g.Closed || !isCurrent):
		h.setGateState(assigner.GateState{Closed: true, StartTime: r.StartTime})
	case !r.Loading && served > 0 && (g.Closed || !isCurrent || g.Release != served) && h.isProven(r):
		h.setGateState(assigner.GateState{StartTime: r.StartTime, Model: m, Release: served})
	}
}

// setClosed announces that the engine accepts no requests. Entry hosts do not use it while it holds the release, until the
// gate opens: a command for it may be accepted at any time, and its layers have to be proven.
func (h *Agent) setClosed(s fleetconfig.ServedModel, engineStart int64) {
	h.mu.Lock()
	g := h.gateState
	h.mu.Unlock()
	closed := assigner.GateState{Address: h.Address, Closed: true, StartTime: engineStart, Model: s.Model, Release: s.Release, OpenWrites: h.verifier.OpenWrites() > 0}
	if g != closed {
		h.setGateState(closed)
	}
}

// updateOpenWrites adds to the announcement of a closed gate that writes have had no answer.
func (h *Agent) updateOpenWrites() {
	h.mu.Lock()
	g := h.gateState
	h.mu.Unlock()
	if g.Closed && g.Release > 0 {
		h.setClosed(fleetconfig.ServedModel{Model: g.Model, Release: g.Release}, g.StartTime)
	}
}

// closeGate closes the gate for a load command. If it was open, it waits until the entry hosts have received the
// announcement.
func (h *Agent) closeGate(ctx context.Context, s fleetconfig.ServedModel) error {
	h.mu.Lock()
	wasClosed := h.gateState.Closed
	h.mu.Unlock()
	h.setClosed(s, h.report.StartTime)
	if wasClosed || h.report.LoadedRelease(s.Model) == 0 {
		return nil
	}
	return sleep(ctx, closeDelay)
}
