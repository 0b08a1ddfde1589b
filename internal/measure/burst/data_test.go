package burst

import (
	"errors"
	"slices"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/chunkcache"
	"github.com/nutmegdock/nutmegdock/internal/core/fetchplanner"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

func (h *host) fetch(f fetchplanner.Fetch) {
	if f.Source.Host == "" {
		h.fetchOutside(f)
		return
	}
	n, incarnation := h.w.byName[f.Source.Host], h.incarnation
	h.w.after(latency, func() {
		if !h.w.canReach(h, n) || h.incarnation != incarnation {
			return
		}
		if _, ok := n.cache.Chunk(f.Chunk.Digest); !ok {
			h.finish(f, incarnation, fetchplanner.Failed)
			return
		}
		release, err := n.limiter.Acquire(h.Zone == n.Zone)
		if err != nil {
			h.w.busy++
			h.w.after(latency, func() { h.finish(f, incarnation, fetchplanner.Busy) })
			return
		}
		h.transfer(f, n, release)
	})
}

func (h *host) transfer(f fetchplanner.Fetch, n *host, release func()) {
	incarnation, from := h.incarnation, n.incarnation
	path := []*link{n.up}
	if l := h.w.between(n.Region, h.Region); l != nil {
		path = append(path, l)
	}
	t := &transfer{
		path: append(path, h.down), size: f.Chunk.Size,
		isOpen: func() bool {
			return !h.isStalled && !n.isStalled && h.w.canReach(h, n) && h.incarnation == incarnation && n.incarnation == from
		},
		progress: func(done ident.Bytes) { h.planner.RecordProgress(f.ID, done) },
	}
	t.finish = func() { h.receive(f, incarnation) }
	h.running[f.ID] = t
	h.w.release(t, n, release)
	t.start()
}

// release gives the upload slot back once the transfer has ended, or has stalled for long.
func (w *world) release(t *transfer, n *host, release func()) {
	done := -1
	var check func()
	check = func() {
		if t.stopped || t.done == pieces || t.done == done {
			release()
			return
		}
		if time.Since(n.w.began)%time.Second < tick {
			done = t.done
		}
		w.after(tick, check)
	}
	finish := t.finish
	t.finish = func() {
		release()
		finish()
	}
	w.after(4*tick, check)
}

func (w *world) between(a, b ident.Region) *link {
	if w.region == 0 || a == b {
		return nil
	}
	key := [2]ident.Region{a, b}
	if w.regions[key] == nil {
		w.regions[key] = &link{queue: &w.queue, rate: w.region}
	}
	return w.regions[key]
}

func (h *host) fetchOutside(f fetchplanner.Fetch) {
	w, incarnation := h.w, h.incarnation
	if w.first == nil {
		w.first = h
	}
	w.onRead(h)
	home := w.places[0]
	path := []*link{w.store}
	if l := w.between(home.region, h.Region); l != nil {
		path = append(path, l)
	}
	sent := ident.Bytes(0)
	t := &transfer{
		path: append(path, h.down), size: f.Chunk.Size,
		isOpen: func() bool {
			return !h.dead && !h.frozen && !h.isStalled && h.incarnation == incarnation && !w.down && !w.isCut(home, h.place)
		},
		progress: func(done ident.Bytes) {
			w.outside[f.Chunk.Digest] += done - sent
			sent = done
			h.planner.RecordProgress(f.ID, done)
		},
	}
	t.finish = func() {
		w.outside[f.Chunk.Digest] += f.Chunk.Size - sent
		h.receive(f, incarnation)
	}
	h.running[f.ID] = t
	t.start()
}

func (h *host) receive(f fetchplanner.Fetch, incarnation int64) {
	data := h.w.content[f.Chunk.Digest]
	from := h.w.byName[f.Source.Host]
	if h.w.rng.Float64() < h.w.corrupt || (from != nil && from.isFaulty) {
		data = h.w.spoil(data)
	}
	err := h.cache.PutChunk(f.Chunk.Digest, data)
	var bad *chunkcache.CorruptError
	switch {
	case err == nil:
		h.finish(f, incarnation, fetchplanner.Stored)
	case errors.As(err, &bad):
		h.finish(f, incarnation, fetchplanner.Corrupt)
	default:
		h.finish(f, incarnation, fetchplanner.Failed)
	}
}

// spoil returns content with a wrong byte, cut short, or of another chunk.
func (w *world) spoil(data []byte) []byte {
	switch w.rng.IntN(3) {
	case 0:
		return append(slices.Clone(data), 'x')
	case 1:
		return data[:len(data)-1]
	}
	return w.other
}

func (h *host) finish(f fetchplanner.Fetch, incarnation int64, o fetchplanner.Outcome) {
	if h.incarnation != incarnation {
		return
	}
	delete(h.running, f.ID)
	wasReady := h.isReady()
	h.planner.Finish(f.ID, o)
	if !wasReady && h.isReady() {
		h.w.ready = append(h.w.ready, time.Since(h.w.began))
	}
	h.decide()
}
