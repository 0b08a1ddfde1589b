// Package configreplicator brings configuration from the log and from peers into a process, and serves it to peers.
package configreplicator

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cenkalti/backoff/v5"
	"golang.org/x/sync/errgroup"

	"github.com/nutmegdock/nutmegdock/internal/core/checkpointer"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/peerselector"
	"github.com/nutmegdock/nutmegdock/internal/core/reducer"
	"github.com/nutmegdock/nutmegdock/internal/follower"
	"github.com/nutmegdock/nutmegdock/internal/messages"
)

const (
	// logWait is how long a read of the log waits for a record.
	logWait = time.Second
	// recordHold is how long an answer with records waits for more.
	recordHold = 50 * time.Millisecond
	// headHold is how long the second lane leaves the first one to bring the records.
	headHold = 300 * time.Millisecond
	// pullWait is how long a pull waits for a record.
	pullWait = time.Second
	// callTime is how long an answer may take beyond the wait.
	callTime = 500 * time.Millisecond
	// listInterval is the time between looks at the list of peers.
	listInterval = 500 * time.Millisecond
	// listTime is how long a newcomer waits for the first list of peers.
	listTime = time.Second
	// idleTime is the pause of a task that has nothing to do.
	idleTime = 100 * time.Millisecond
	// staleTime is the age at which sources count as cut off from the log.
	staleTime = 6 * time.Second
	// remoteTime is the age at which a reader of the log asks other zones too.
	remoteTime = 2 * time.Second
	// hintTime is how long the usual sources get before a process that showed a higher offset is asked.
	hintTime   = 100 * time.Millisecond
	hintTries  = 3
	bootPeers  = 4
	minRetry   = 50 * time.Millisecond
	maxRetry   = time.Second
	maxWait    = 10 * time.Second
	maxHold    = time.Second
	answerSize = 256 << 10
)

// Replicator keeps a Follower level with the log. Set its fields before Run.
type Replicator struct {
	Self     ident.Host
	Zone     ident.Zone
	Follower *follower.Follower
	// Peers returns the other processes, from a list that may lag.
	Peers func() []peerselector.Peer
	// Pull asks a peer for records.
	Pull func(ctx context.Context, p peerselector.Peer, q messages.PullQuery) (messages.PullAnswer, error)
	// State asks a peer for a part of its state.
	State func(ctx context.Context, p peerselector.Peer, q messages.StateQuery) (messages.StateAnswer, error)
	// Restore returns the state of the best complete checkpoint in the log.
	Restore func(ctx context.Context) (*reducer.Reducer, error)
	// Logger receives the events.
	Logger log.Interface

	once     sync.Once
	adopting chan struct{}
	hinted   chan struct{}

	mu       sync.Mutex
	selector peerselector.Selector
	listed   []peerselector.Peer
	start    time.Time
	level    time.Time
	reason   string
	hint     hint

	blobMu sync.Mutex
	blob   checkpointer.Blob
}

type hint struct {
	host   ident.Host
	offset ident.Offset
}

func (r *Replicator) init() {
	r.once.Do(func() {
		r.hinted = make(chan struct{}, 1)
		r.adopting = make(chan struct{}, 1)
		r.selector = peerselector.Selector{Self: r.Self, Zone: r.Zone}
		r.start = time.Now()
		r.reason = "no peer and no log has answered yet"
	})
}

// Run keeps the state level until ctx ends.
func (r *Replicator) Run(ctx context.Context) error {
	r.init()
	r.await(ctx)
	r.askNewcomer(ctx)
	var g errgroup.Group
	g.Go(func() error { return r.repeat(ctx, r.follow) })
	for lane := range peerselector.Lanes {
		g.Go(func() error {
			return r.repeat(ctx, func(ctx context.Context) time.Duration { return r.take(ctx, lane) })
		})
	}
	g.Go(func() error { return r.repeat(ctx, r.remote) })
	g.Go(func() error { return r.heed(ctx) })
	g.Go(func() error {
		return r.repeat(ctx, func(context.Context) time.Duration {
			r.list()
			return listInterval
		})
	})
	return g.Wait()
}

// await waits a moment for the first list of peers, so that a newcomer does not fall back on the log at once.
func (r *Replicator) await(ctx context.Context) {
	deadline := time.Now().Add(listTime)
	for ctx.Err() == nil && len(r.Peers()) == 0 && time.Now().Before(deadline) {
		select {
		case <-ctx.Done():
		case <-time.After(minRetry):
		}
	}
	r.list()
}

// repeat calls step until ctx ends, with the pauses that it asks for.
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

func (r *Replicator) list() {
	var peers []peerselector.Peer
	for _, p := range r.Peers() {
		if p.Host != r.Self {
			peers = append(peers, p)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listed != nil && slices.Equal(peers, r.listed) {
		return
	}
	r.listed = peers
	r.selector.Update(peers)
}

// age returns the time since the state was known to be level with the log.
func (r *Replicator) age() time.Duration {
	if r.level.IsZero() {
		return time.Since(r.start) + staleTime
	}
	return time.Since(r.level)
}

// Age returns the time since the state was known to be level with the log.
func (r *Replicator) Age() time.Duration {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.age()
}

// Reason says why the process is not ready or lags behind; it is empty if nothing is known to be wrong.
func (r *Replicator) Reason() string {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reason
}

func (r *Replicator) setLevel(at time.Time) {
	r.mu.Lock()
	if at.After(r.level) {
		r.level = at
	}
	fresh := r.age() < staleTime
	if fresh {
		r.reason = ""
	}
	r.mu.Unlock()
	if fresh {
		r.Follower.SetReady()
	}
}

func (r *Replicator) setReason(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reason = text
}

// IsReader tells whether the process reads the log itself.
func (r *Replicator) IsReader() bool {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reads()
}

func (r *Replicator) reads() bool {
	return r.selector.Reads(r.age() > staleTime, time.Now())
}

// follow reads the log once, if that is this process's task. A failed log is left alone for a while.
func (r *Replicator) follow(ctx context.Context) time.Duration {
	if !r.IsReader() {
		return idleTime
	}
	if r.Follower.Offset() == 0 {
		r.restore(ctx)
	}
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = minRetry, maxRetry
	for ctx.Err() == nil && r.IsReader() {
		began := time.Now()
		page, err := r.poll(ctx)
		if err == nil {
			retry.Reset()
			if r.Follower.Offset() >= page.Next {
				r.setLevel(began)
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
