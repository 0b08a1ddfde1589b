package storerelayer

import (
	"context"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/messages"
	"github.com/nutmegdock/nutmegdock/internal/recordpacker"
	"github.com/nutmegdock/nutmegdock/internal/watcher"
)

// snapshotWait is how long a query for a snapshot waits for it.
const snapshotWait = 500 * time.Millisecond

// answer is what this host can say to a query now.
type answer struct {
	resp messages.RecordsResponse
	// records are the records of the response; nil if it has none.
	records *recordpacker.Packer
	// isFinal says that waiting would not improve the answer.
	isFinal bool
}

// serve answers a query once there is a final answer, or with the last one after a time.
func (r *Relayer) serve(ctx context.Context, name string, wait time.Duration, answerNow func(t *topic) answer) (messages.RecordsResponse, error) {
	startedAt := time.Now()
	deadline := startedAt.Add(wait)
	for {
		r.mu.Lock()
		t := r.topic(name)
		a := answerNow(t)
		a.resp.HeldMs = time.Since(startedAt).Milliseconds()
		a.resp.AgeMs, a.resp.Pending = max(0, r.elapsed()-t.completeAt).Milliseconds(), t.isPending(r.elapsed()) && !a.isFinal
		changed := t.changed
		r.mu.Unlock()
		remaining := time.Until(deadline)
		if a.isFinal || remaining <= 0 {
			if a.records != nil {
				var err error
				a.resp.Data, a.resp.Compressed, err = a.records.Pack()
				return a.resp, err
			}
			if a.resp.Unknown {
				return messages.RecordsResponse{Unknown: true}, nil
			}
			return a.resp, nil
		}
		select {
		case <-ctx.Done():
			return messages.RecordsResponse{Unknown: true}, nil
		case <-changed:
		case <-time.After(remaining):
		}
	}
}

// ServeSnapshot serves another host's query for a snapshot. It waits for this host's own snapshot: hosts that
// start together need it at the same time. Its response is Unknown if there is none by then.
func (r *Relayer) ServeSnapshot(ctx context.Context, q messages.SnapshotQuery) (messages.RecordsResponse, error) {
	wait := snapshotWait
	if q.WaitMs > 0 {
		wait = min(maxServeWait, time.Duration(q.WaitMs)*time.Millisecond)
	}
	return r.serve(ctx, q.Topic, wait, func(t *topic) answer {
		if !t.isWhole || t.epoch < watcher.Epoch(q.Epoch) {
			return answer{resp: messages.RecordsResponse{Unknown: true}}
		}
		return answer{
			resp:    messages.RecordsResponse{NextOffset: t.nextOffset, Epoch: int64(t.epoch)},
			records: t.packedFrom(0, true), isFinal: true,
		}
	})
}

// ServeRecords serves another host's query for changes. Without any, it answers as soon as this host itself has heard that there are none.
// Its response is Unknown if the offset is not held, or is of a later epoch.
func (r *Relayer) ServeRecords(ctx context.Context, q messages.RecordsQuery) (messages.RecordsResponse, error) {
	refreshes := -1
	return r.serve(ctx, q.Topic, min(maxServeWait, time.Duration(q.WaitMs)*time.Millisecond), func(t *topic) answer {
		if refreshes < 0 {
			refreshes = t.refreshes
		}
		epoch := watcher.Epoch(q.Epoch)
		switch {
		case !t.hasRead:
			return answer{resp: messages.RecordsResponse{Unknown: true}}
		case t.epoch > epoch:
			return answer{resp: messages.RecordsResponse{NextOffset: q.FromOffset, Epoch: int64(t.epoch)}, isFinal: true}
		case t.epoch < epoch, q.FromOffset > t.nextOffset, !t.isHeld(q.FromOffset) && !t.isWhole:
			return answer{resp: messages.RecordsResponse{Unknown: true}, isFinal: true}
		case q.FromOffset == t.nextOffset:
			return answer{resp: messages.RecordsResponse{NextOffset: t.nextOffset, Epoch: q.Epoch}, isFinal: t.refreshes != refreshes}
		}
		isAll := !t.isHeld(q.FromOffset)
		return answer{
			resp:    messages.RecordsResponse{NextOffset: t.nextOffset, Since: t.since(q.FromOffset), Epoch: q.Epoch, Whole: isAll},
			records: t.packedFrom(q.FromOffset, isAll), isFinal: true,
		}
	})
}
