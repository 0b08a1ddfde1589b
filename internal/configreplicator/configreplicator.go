// Package configreplicator replicates the configuration from the log and from peers into a process, and serves it to
// peers.
package configreplicator

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cenkalti/backoff/v5"
	"golang.org/x/sync/errgroup"

	"github.com/nutmegdock/nutmegdock/internal/configfollower"
	"github.com/nutmegdock/nutmegdock/internal/core/checkpointer"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/peerselector"
	"github.com/nutmegdock/nutmegdock/internal/core/reducer"
	"github.com/nutmegdock/nutmegdock/internal/messages"
)

const (
	// logPollTimeout is the maximum time that a read of the log waits for a record.
	logPollTimeout = time.Second
	// recordCollectDelay is how long a peer collects further records after the first before it responds.
	recordCollectDelay = 50 * time.Millisecond
	// offsetCollectDelay is the same delay for pulls of the offset alone. It gives the first source time to deliver the
	// records, so that the second source need not send them too.
	offsetCollectDelay = 300 * time.Millisecond
	// pullTimeout is the maximum time that a peer waits for a record before it responds to a pull.
	pullTimeout = time.Second
	// responseTimeout is how long a response may take in addition to the requested waiting time.
	responseTimeout = 500 * time.Millisecond
	// peerListInterval is the time between updates of the list of peers.
	peerListInterval = 500 * time.Millisecond
	// firstListTimeout is how long a new process waits for the first list of peers.
	firstListTimeout = time.Second
	// idleDelay is the pause of a task that has nothing to do.
	idleDelay = 100 * time.Millisecond
	// staleAge is the age of the state at which the sources are considered cut off from the log.
	staleAge = 6 * time.Second
	// fallbackAge is the age of the state at which a reader of the log also pulls from peers of other zones.
	fallbackAge = 2 * time.Second
	// hintDelay is how long to wait for the usual sources before pulling from a process that reported a higher offset.
	hintDelay         = 100 * time.Millisecond
	maxHintAttempts   = 3
	maxBootstrapPeers = 4
	minRetryDelay     = 50 * time.Millisecond
	maxRetryDelay     = time.Second
	// maxPullWait and maxCollectDelay limit the times that a peer may request in a pull. maxPullWait also limits the
	// loading of a checkpoint.
	maxPullWait     = 10 * time.Second
	maxCollectDelay = time.Second
	// maxPullBytes limits the records of one response.
	maxPullBytes = 256 << 10
)

// Replicator keeps a Follower up to date with the log. Set its fields before Run.
type Replicator struct {
	Self     ident.Host
	Zone     ident.Zone
	Follower *configfollower.Follower
	// Peers returns the other processes, from a list that may be out of date.
	Peers func() []peerselector.Peer
	// RequestRecords requests records from a peer.
	RequestRecords func(ctx context.Context, p peerselector.Peer, q messages.PullQuery) (messages.PullResponse, error)
	// RequestState requests a part of a peer's encoded state.
	RequestState func(ctx context.Context, p peerselector.Peer, q messages.StateQuery) (messages.StateResponse, error)
	// LoadCheckpoint returns the state of the newest usable checkpoint in the log. It may be nil.
	LoadCheckpoint func(ctx context.Context) (*reducer.Reducer, error)
	// Logger receives the events.
	Logger log.Interface

	once           sync.Once
	stateFetchSlot chan struct{}
	hintReceived   chan struct{}

	mu          sync.Mutex
	selector    peerselector.Selector
	listedPeers []peerselector.Peer
	startTime   time.Time
	syncedAt    time.Time
	reason      string
	hint        offsetHint

	encodedMu sync.Mutex
	encoded   checkpointer.EncodedState
}

// offsetHint is the highest offset that another process reported and that this process has not reached.
type offsetHint struct {
	host   ident.Host
	offset ident.Offset
}

func (r *Replicator) init() {
	r.once.Do(func() {
		r.hintReceived = make(chan struct{}, 1)
		r.stateFetchSlot = make(chan struct{}, 1)
		r.selector = peerselector.Selector{Self: r.Self, Zone: r.Zone}
		r.startTime = time.Now()
		r.reason = "no peer and no log has answered yet"
	})
}

// Run keeps the state up to date until ctx ends.
func (r *Replicator) Run(ctx context.Context) error {
	r.init()
	r.awaitPeers(ctx)
	r.bootstrap(ctx)
	var g errgroup.Group
	g.Go(func() error { return r.repeat(ctx, r.readLog) })
	for index := range peerselector.SourcesPerHost {
		g.Go(func() error {
			return r.repeat(ctx, func(ctx context.Context) time.Duration { return r.pullFromSource(ctx, index) })
		})
	}
	g.Go(func() error { return r.repeat(ctx, r.pullFromFallback) })
	g.Go(func() error { return r.followHints(ctx) })
	g.Go(func() error {
		return r.repeat(ctx, func(context.Context) time.Duration {
			r.updatePeers()
			return peerListInterval
		})
	})
	return g.Wait()
}

// awaitPeers waits up to firstListTimeout for the first list of peers, so that a new process does not read the log
// although it has peers to pull from.
func (r *Replicator) awaitPeers(ctx context.Context) {
	deadline := time.Now().Add(firstListTimeout)
	for ctx.Err() == nil && len(r.Peers()) == 0 && time.Now().Before(deadline) {
		select {
		case <-ctx.Done():
		case <-time.After(minRetryDelay):
		}
	}
	r.updatePeers()
}

// repeat calls step until ctx ends, and waits after each call for the time that step returns.
func (r *Replicator) repeat(ctx context.Context, step func(ctx context.Context) time.Duration) error {
	for ctx.Err() == nil {
		pause := step(ctx)
		if pause == 0 {
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
	return nil
}

func (r *Replicator) updatePeers() {
	var peers []peerselector.Peer
	for _, p := range r.Peers() {
		if p.Host != r.Self {
			peers = append(peers, p)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listedPeers != nil && slices.Equal(peers, r.listedPeers) {
		return
	}
	r.listedPeers = peers
	r.selector.Update(peers)
}

// ageLocked returns the time since the state was last known to be up to date with the log. If it never was, the age is
// above staleAge. The caller must hold mu.
func (r *Replicator) ageLocked() time.Duration {
	if r.syncedAt.IsZero() {
		return time.Since(r.startTime) + staleAge
	}
	return time.Since(r.syncedAt)
}

// age is ageLocked for callers that do not hold mu.
func (r *Replicator) age() time.Duration {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ageLocked()
}

// NotReadyReason returns why the process is not ready or lags behind the log. It is empty if no problem is known.
func (r *Replicator) NotReadyReason() string {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reason
}

// markSynced records that the state was up to date with the log at syncTime. The process becomes ready if that is less
// than staleAge ago.
func (r *Replicator) markSynced(syncTime time.Time) {
	r.mu.Lock()
	if syncTime.After(r.syncedAt) {
		r.syncedAt = syncTime
	}
	isRecent := r.ageLocked() < staleAge
	if isRecent {
		r.reason = ""
	}
	r.mu.Unlock()
	if isRecent {
		r.Follower.MarkReady()
	}
}

func (r *Replicator) setReason(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reason = text
}

// readsLog reports whether the process reads the log itself.
func (r *Replicator) readsLog() bool {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readsLogLocked()
}

func (r *Replicator) readsLogLocked() bool {
	return r.selector.ShouldReadLog(r.ageLocked() > staleAge, time.Now())
}

// readLog reads the log for as long as readsLog returns true. After a failed read it backs off.
func (r *Replicator) readLog(ctx context.Context) time.Duration {
	if !r.readsLog() {
		return idleDelay
	}
	if r.Follower.Offset() == 0 {
		r.restoreCheckpoint(ctx)
	}
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = minRetryDelay, maxRetryDelay
	for ctx.Err() == nil && r.readsLog() {
		start := time.Now()
		page, err := r.pollLog(ctx)
		if err == nil {
			retry.Reset()
			if r.Follower.Offset() >= page.NextOffset {
				r.markSynced(start)
			}
			continue
		}
		if ctx.Err() != nil {
			return 0
		}
		r.setReason(err.Error())
		select {
		case <-ctx.Done():
		case <-time.After(retry.NextBackOff()):
		}
	}
	return 0
}
