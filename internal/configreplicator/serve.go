package configreplicator

import (
	"context"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/checkpointer"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/messages"
)

// AnswerPull waits until the state is past the offset asked for, or for the time asked for, and returns the records.
func (r *Replicator) AnswerPull(ctx context.Context, q messages.PullQuery) (messages.PullAnswer, error) {
	r.init()
	r.Saw(q.Host, q.Offset)
	r.hold(ctx, q)
	// Ready and age are read before the state, so that they never claim more than the state holds.
	out := messages.PullAnswer{Ready: r.Follower.Ready(), Age: r.Age().Milliseconds()}
	state := r.Follower.Snapshot()
	out.Offset = state.Offset()
	if q.Offset >= state.Offset() {
		return out, nil
	}
	if q.Head {
		return out, nil
	}
	records, ok := r.Follower.Tail(q.Offset, answerSize)
	out.Records, out.State = records, !ok
	if ok && q.Offset+ident.Offset(len(records)) == state.Offset() {
		out.Digest = state.Digest()
	}
	return out, nil
}

// hold waits for the first record, and then for others that follow it closely.
func (r *Replicator) hold(ctx context.Context, q messages.PullQuery) {
	if q.Wait <= 0 || r.Follower.Offset() > q.Offset {
		return
	}
	waitCtx, cancel := context.WithTimeout(ctx, min(time.Duration(q.Wait)*time.Millisecond, maxWait))
	defer cancel()
	if r.Follower.Wait(waitCtx, q.Offset+1) != nil {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(min(time.Duration(q.Hold)*time.Millisecond, maxHold)):
	}
}

// AnswerState returns one part of the encoded state. The encoding is kept as long as peers can go on from it.
func (r *Replicator) AnswerState(_ context.Context, q messages.StateQuery) (messages.StateAnswer, error) {
	r.init()
	r.blobMu.Lock()
	defer r.blobMu.Unlock()
	if q.Sum == "" {
		if err := r.encode(); err != nil {
			return messages.StateAnswer{}, err
		}
	}
	if q.Sum != "" && q.Sum != r.blob.Sum || q.Part < 0 || q.Part >= len(r.blob.Parts) {
		return messages.StateAnswer{}, &checkpointer.Error{Reason: "state has changed meanwhile; ask for the first part again"}
	}
	return messages.StateAnswer{
		Offset: r.blob.Offset, Sum: r.blob.Sum, Parts: len(r.blob.Parts), Data: r.blob.Parts[q.Part],
	}, nil
}

func (r *Replicator) encode() error {
	if r.blob.Sum != "" {
		if _, ok := r.Follower.Tail(r.blob.Offset, 0); ok {
			return nil
		}
	}
	blob, err := checkpointer.Encode(r.Follower.Snapshot())
	if err != nil {
		return err
	}
	r.blob = blob
	return nil
}

// Saw notes an offset in a message of another process. If it is higher than the own one for long, that process is
// asked for the records.
func (r *Replicator) Saw(h ident.Host, offset ident.Offset) {
	if offset <= r.Follower.Offset() {
		return
	}
	r.init()
	r.mu.Lock()
	if offset > r.hint.offset {
		r.hint = hint{host: h, offset: offset}
	}
	r.mu.Unlock()
	select {
	case r.hinted <- struct{}{}:
	default:
	}
}

// Catch returns once the state has reached an offset that another process showed, or when ctx ends.
func (r *Replicator) Catch(ctx context.Context, h ident.Host, offset ident.Offset) error {
	r.Saw(h, offset)
	return r.Follower.Wait(ctx, offset)
}

// heed pulls from processes that showed a higher offset.
func (r *Replicator) heed(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.hinted:
		}
		r.mu.Lock()
		h := r.hint
		r.hint = hint{}
		p, ok := r.selector.Peer(h.host)
		r.mu.Unlock()
		waitCtx, cancel := context.WithTimeout(ctx, hintTime)
		err := r.Follower.Wait(waitCtx, h.offset)
		cancel()
		if err != nil && ok {
			r.catch(ctx, p, h.offset)
		}
	}
}
