package configreplicator

import (
	"context"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/checkpointer"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/messages"
)

// HandlePull handles a peer's pull. It waits for records after the requested offset, up to the requested time, and
// returns those that there are.
func (r *Replicator) HandlePull(ctx context.Context, q messages.PullQuery) (messages.PullResponse, error) {
	r.init()
	r.RecordPeerOffset(q.Host, q.Offset)
	r.awaitRecords(ctx, q)
	// Readiness and age are read before the state, so that the state is at least as recent as they state.
	out := messages.PullResponse{Ready: r.Follower.Ready(), AgeMs: r.age().Milliseconds()}
	state := r.Follower.Snapshot()
	out.Offset = state.Offset()
	if q.Offset >= state.Offset() {
		return out, nil
	}
	if q.OffsetOnly {
		return out, nil
	}
	records, ok := r.Follower.RecentRecords(q.Offset, maxPullBytes)
	out.Records, out.StateRequired = records, !ok
	if ok && q.Offset+ident.Offset(len(records)) == state.Offset() {
		out.Digest = state.Digest()
	}
	return out, nil
}

// awaitRecords waits for the first record, and then for the requested time to collect further ones.
func (r *Replicator) awaitRecords(ctx context.Context, q messages.PullQuery) {
	if q.WaitMs <= 0 || r.Follower.Offset() > q.Offset {
		return
	}
	waitCtx, cancel := context.WithTimeout(ctx, min(time.Duration(q.WaitMs)*time.Millisecond, maxPullWait))
	defer cancel()
	if r.Follower.WaitForOffset(waitCtx, q.Offset+1) != nil {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(min(time.Duration(q.CollectMs)*time.Millisecond, maxCollectDelay)):
	}
}

// HandleState handles a peer's request for one part of the encoded state.
func (r *Replicator) HandleState(_ context.Context, q messages.StateQuery) (messages.StateResponse, error) {
	r.init()
	r.encodedMu.Lock()
	defer r.encodedMu.Unlock()
	if q.PartsDigest == "" {
		if err := r.encodeState(); err != nil {
			return messages.StateResponse{}, err
		}
	}
	if q.PartsDigest != "" && q.PartsDigest != r.encoded.PartsDigest || q.Part < 0 || q.Part >= len(r.encoded.Parts) {
		return messages.StateResponse{}, &checkpointer.Error{Reason: "state has changed meanwhile; ask for the first part again"}
	}
	return messages.StateResponse{
		Offset: r.encoded.Offset, PartsDigest: r.encoded.PartsDigest, Parts: len(r.encoded.Parts), Data: r.encoded.Parts[q.Part],
	}, nil
}

// encodeState encodes the current state. The last encoding is reused as long as this process holds the records that
// follow it, so that a peer that fetches it can continue from there. The caller must hold encodedMu.
func (r *Replicator) encodeState() error {
	if r.encoded.PartsDigest != "" {
		if _, ok := r.Follower.RecentRecords(r.encoded.Offset, 0); ok {
			return nil
		}
	}
	encoded, err := checkpointer.Encode(r.Follower.Snapshot())
	if err != nil {
		return err
	}
	r.encoded = encoded
	return nil
}

// RecordPeerOffset records an offset that a message of another process contained. If this process does not reach that
// offset within hintDelay, it pulls the records from the other one.
func (r *Replicator) RecordPeerOffset(h ident.Host, offset ident.Offset) {
	if offset <= r.Follower.Offset() {
		return
	}
	r.init()
	r.mu.Lock()
	if offset > r.hint.offset {
		r.hint = offsetHint{host: h, offset: offset}
	}
	r.mu.Unlock()
	select {
	case r.hintReceived <- struct{}{}:
	default:
	}
}

// CatchUp waits until the state has reached an offset that another process reported, or until ctx ends.
func (r *Replicator) CatchUp(ctx context.Context, h ident.Host, offset ident.Offset) error {
	r.RecordPeerOffset(h, offset)
	return r.Follower.WaitForOffset(ctx, offset)
}

// followHints pulls from processes that reported a higher offset, until ctx ends.
func (r *Replicator) followHints(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.hintReceived:
		}
		r.mu.Lock()
		h := r.hint
		r.hint = offsetHint{}
		p, ok := r.selector.Lookup(h.host)
		r.mu.Unlock()
		waitCtx, cancel := context.WithTimeout(ctx, hintDelay)
		err := r.Follower.WaitForOffset(waitCtx, h.offset)
		cancel()
		if err != nil && ok {
			r.pullUntil(ctx, p, h.offset)
		}
	}
}
