package burst

import (
	"errors"
	"slices"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/chunkcache"
	"github.com/nutmegdock/nutmegdock/internal/core/fetchplanner"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

// fetch requests a chunk from its source and starts the transfer if the source has a free upload slot.
func (h *host) fetch(f fetchplanner.Fetch) {
	if f.Source.Host == "" {
		h.fetchFromStore(f)
		return
	}
	source, incarnation := h.sim.hostsByName[f.Source.Host], h.incarnation
	h.sim.schedule(hostLatency, func() {
		if !h.sim.canReach(h, source) || h.incarnation != incarnation {
			return
		}
		if _, ok := source.cache.Chunk(f.Chunk.Digest); !ok {
			h.finish(f, incarnation, fetchplanner.Failed)
			return
		}
		release, err := source.limiter.Acquire(h.Zone == source.Zone)
		if err != nil {
			h.sim.busyResponses++
			h.sim.schedule(hostLatency, func() { h.finish(f, incarnation, fetchplanner.Busy) })
			return
		}
		h.transfer(f, source, release)
	})
}

// transfer starts the transfer of a chunk from another host. release frees the upload slot of the source.
func (h *host) transfer(f fetchplanner.Fetch, source *host, release func()) {
	incarnation, sourceIncarnation := h.incarnation, source.incarnation
	path := []*link{source.up}
	if l := h.sim.regionLink(source.Region, h.Region); l != nil {
		path = append(path, l)
	}
	t := &transfer{
		path: append(path, h.down), size: f.Chunk.Size,
		isOpen: func() bool {
			return !h.isStalled && !source.isStalled && h.sim.canReach(h, source) && h.incarnation == incarnation && source.incarnation == sourceIncarnation
		},
		progress: func(done ident.Bytes) { h.planner.RecordProgress(f.ID, done) },
	}
	t.finish = func() { h.receive(f, incarnation) }
	h.transfers[f.ID] = t
	h.sim.scheduleUploadRelease(t, source, release)
	t.start()
}

// scheduleUploadRelease arranges that the upload slot is released when the transfer has ended, or when no piece has
// arrived for about a second.
func (sim *simulation) scheduleUploadRelease(t *transfer, source *host, release func()) {
	lastArrived := -1
	var check func()
	check = func() {
		if t.stopped || t.arrivedPieces == piecesPerChunk || t.arrivedPieces == lastArrived {
			release()
			return
		}
		if time.Since(source.sim.startTime)%time.Second < tickInterval {
			lastArrived = t.arrivedPieces
		}
		sim.schedule(tickInterval, check)
	}
	finish := t.finish
	t.finish = func() {
		release()
		finish()
	}
	sim.schedule(4*tickInterval, check)
}

// regionLink returns the link from region a to region b; nil if the regions are the same or the links have no limit.
func (sim *simulation) regionLink(a, b ident.Region) *link {
	if sim.regionRate == 0 || a == b {
		return nil
	}
	key := [2]ident.Region{a, b}
	if sim.regionLinks[key] == nil {
		sim.regionLinks[key] = &link{queue: &sim.eventQueue, rate: sim.regionRate}
	}
	return sim.regionLinks[key]
}

func (h *host) fetchFromStore(f fetchplanner.Fetch) {
	sim, incarnation := h.sim, h.incarnation
	if sim.firstReader == nil {
		sim.firstReader = h
	}
	sim.onStoreRead(h)
	storeLocation := sim.locations[0]
	path := []*link{sim.store}
	if l := sim.regionLink(storeLocation.region, h.Region); l != nil {
		path = append(path, l)
	}
	sent := ident.Bytes(0)
	t := &transfer{
		path: append(path, h.down), size: f.Chunk.Size,
		isOpen: func() bool {
			return !h.crashed && !h.frozen && !h.isStalled && h.incarnation == incarnation && !sim.storeDown && !sim.isCut(storeLocation, h.location)
		},
		progress: func(done ident.Bytes) {
			sim.storeBytes[f.Chunk.Digest] += done - sent
			sent = done
			h.planner.RecordProgress(f.ID, done)
		},
	}
	t.finish = func() {
		sim.storeBytes[f.Chunk.Digest] += f.Chunk.Size - sent
		h.receive(f, incarnation)
	}
	h.transfers[f.ID] = t
	t.start()
}

// receive verifies and stores a chunk whose content has arrived, and reports the outcome to the planner.
func (h *host) receive(f fetchplanner.Fetch, incarnation int64) {
	data := h.sim.chunkContent[f.Chunk.Digest]
	source := h.sim.hostsByName[f.Source.Host]
	if h.sim.rng.Float64() < h.sim.corruptShare || (source != nil && source.isFaulty) {
		data = h.sim.corruptContent(data)
	}
	err := h.cache.PutChunk(f.Chunk, data)
	var corrupt *chunkcache.CorruptError
	switch {
	case err == nil:
		h.finish(f, incarnation, fetchplanner.Stored)
	case errors.As(err, &corrupt):
		h.finish(f, incarnation, fetchplanner.Corrupt)
	default:
		h.finish(f, incarnation, fetchplanner.Failed)
	}
}

// corruptContent returns wrong content, selected at random: with an extra byte, without the last byte, or of another
// chunk.
func (sim *simulation) corruptContent(data []byte) []byte {
	switch sim.rng.IntN(3) {
	case 0:
		return append(slices.Clone(data), 'x')
	case 1:
		return data[:len(data)-1]
	}
	return sim.otherContent
}

func (h *host) finish(f fetchplanner.Fetch, incarnation int64, outcome fetchplanner.Outcome) {
	if h.incarnation != incarnation {
		return
	}
	delete(h.transfers, f.ID)
	wasReady := h.isReady()
	h.planner.Finish(f.ID, outcome)
	if !wasReady && h.isReady() {
		h.sim.readyTimes = append(h.sim.readyTimes, time.Since(h.sim.startTime))
	}
	h.runPlanner()
}
