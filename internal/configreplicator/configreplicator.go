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

func (s *Replicator) init() {
	s.once.Do(func() {
		s.hinted = make(chan struct{}, 1)
		s.adopting = make(chan struct{}, 1)
		s.selector = peerselector.Selector{Self: s.Self, Zone: s.Zone}
		s.start = time.Now()
		s.reason = "no peer and no log has answered yet"
	})
}

// Run keeps the state level until ctx ends.
func (s *Replicator) Run(ctx context.Context) error {
	s.init()
	s.await(ctx)
	s.askNewcomer(ctx)
	var g errgroup.Group
	g.Go(func() error { return s.repeat(ctx, s.follow) })
	for lane := range peerselector.Lanes {
		g.Go(func() error {
			return s.repeat(ctx, func(ctx context.Context) time.Duration { return s.take(ctx, lane) })
		})
	}
	g.Go(func() error { return s.repeat(ctx, s.remote) })
	g.Go(func() error { return s.heed(ctx) })
	g.Go(func() error {
		return s.repeat(ctx, func(context.Context) time.Duration {
			s.list()
			return listInterval
		})
	})
	return g.Wait()
}

// await waits a moment for the first list of peers, so that a newcomer does not fall back on the log at once.
func (s *Replicator) await(ctx context.Context) {
	deadline := time.Now().Add(listTime)
	for ctx.Err() == nil && len(s.Peers()) == 0 && time.Now().Before(deadline) {
		select {
		case <-ctx.Done():
		case <-time.After(minRetry):
		}
	}
	s.list()
}

// repeat calls step until ctx ends, with the pauses that it asks for.
func (s *Replicator) repeat(ctx context.Context, step func(ctx context.Context) time.Duration) error {
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

func (s *Replicator) list() {
	var peers []peerselector.Peer
	for _, p := range s.Peers() {
		if p.Host != s.Self {
			peers = append(peers, p)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listed != nil && slices.Equal(peers, s.listed) {
		return
	}
	s.listed = peers
	s.selector.Update(peers)
}

// age returns the time since the state was known to be level with the log.
func (s *Replicator) age() time.Duration {
	if s.level.IsZero() {
		return time.Since(s.start) + staleTime
	}
	return time.Since(s.level)
}

// Age returns the time since the state was known to be level with the log.
func (s *Replicator) Age() time.Duration {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.age()
}

// Reason says why the process is not ready or lags behind; it is empty if nothing is known to be wrong.
func (s *Replicator) Reason() string {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reason
}

func (s *Replicator) setLevel(at time.Time) {
	s.mu.Lock()
	if at.After(s.level) {
		s.level = at
	}
	fresh := s.age() < staleTime
	if fresh {
		s.reason = ""
	}
	s.mu.Unlock()
	if fresh {
		s.Follower.SetReady()
	}
}

func (s *Replicator) setReason(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reason = text
}

// IsReader tells whether the process reads the log itself.
func (s *Replicator) IsReader() bool {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads()
}

func (s *Replicator) reads() bool {
	return s.selector.Reads(s.age() > staleTime, time.Now())
}

// follow reads the log once, if that is this process's task. A failed log is left alone for a while.
func (s *Replicator) follow(ctx context.Context) time.Duration {
	if !s.IsReader() {
		return idleTime
	}
	if s.Follower.Offset() == 0 {
		s.restore(ctx)
	}
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = minRetry, maxRetry
	for ctx.Err() == nil && s.IsReader() {
		began := time.Now()
		page, err := s.poll(ctx)
		if err == nil {
			retry.Reset()
			if s.Follower.Offset() >= page.Next {
				s.setLevel(began)
			}
			continue
		}
		if ctx.Err() != nil {
			return 0
		}
		s.setReason(err.Error())
		select {
		case <-ctx.Done():
		case <-time.After(retry.NextBackOff()):
		}
	}
	return 0
}
