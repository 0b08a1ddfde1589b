// Package registrar claims idempotency keys in streams of the platform's log.
package registrar

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"github.com/nutmegdock/nutmegdock/internal/core/claimer"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/outcome"
	"github.com/nutmegdock/nutmegdock/internal/logclient"
)

const (
	// Streams is the number of claim streams. It is the same on all entry hosts and never changes while claims live.
	Streams = 4
	// AppendsBound is the number of appends a second of all entry hosts together.
	AppendsBound = 200
	comeBack     = 2 * time.Second
)

// Registrar writes the claims of one entry host in batches. Set its fields before Run.
type Registrar struct {
	// Append adds a record to a stream. After an error the record may be in the log all the same.
	Append func(ctx context.Context, s logclient.Stream, data []byte) (ident.Offset, error)
	// Read returns records of a stream.
	Read func(ctx context.Context, s logclient.Stream, from ident.Offset, limit int, wait time.Duration) (logclient.Page, error)
	// Hosts returns the number of entry hosts, which share the bound on appends.
	Hosts func() int
	// Logger receives the events.
	Logger log.Interface

	init    sync.Once
	streams []*stream
	mu      sync.Mutex
	slot    time.Time
}

// Ticket is the decision on a claim.
type Ticket struct {
	Stream logclient.Stream
	Offset ident.Offset
	Won    bool
	// Holder is the claim that holds the key: the own one if it won.
	Holder claimer.Claim
}

// StreamName returns the stream of a key.
func StreamName(k claimer.Key) logclient.Stream {
	return name(index(k))
}

func index(k claimer.Key) int {
	return int(xxhash.Sum64String(string(k)) % Streams)
}

func name(i int) logclient.Stream {
	return logclient.Stream(fmt.Sprintf("claims-%d", i))
}

func (r *Registrar) stream(k claimer.Key) *stream {
	r.build()
	return r.streams[index(k)]
}

func (r *Registrar) build() {
	r.init.Do(func() {
		for i := range Streams {
			r.streams = append(r.streams, &stream{registrar: r, name: name(i), kick: make(chan struct{}, 1)})
		}
	})
}

// Run writes claims and releases until ctx ends.
func (r *Registrar) Run(ctx context.Context) error {
	r.build()
	var g errgroup.Group
	for _, s := range r.streams {
		g.Go(func() error { return s.run(ctx) })
	}
	return g.Wait()
}

// Claim writes a claim and returns the decision of the log's order. Its error is an *outcome.Error that says not run;
// the claim is then given up, and released if it can have reached the log.
func (r *Registrar) Claim(ctx context.Context, c claimer.Claim) (Ticket, error) {
	s := r.stream(c.Key)
	w := &waiter{claim: c, done: make(chan decision, 1)}
	s.add(w)
	select {
	case d := <-w.done:
		return d.ticket, d.err
	case <-ctx.Done():
	}
	if !s.withdraw(w) {
		r.Release(c.Key, c.Attempt)
	}
	return Ticket{}, logDown("the claim was not decided in time")
}

// Release gives up a claim whose attempt was not run and never will be.
func (r *Registrar) Release(k claimer.Key, attempt ident.Request) {
	r.stream(k).release(claimer.Release{Key: k, Attempt: attempt})
}

// pace waits for this host's next turn to append.
func (r *Registrar) pace(ctx context.Context) error {
	r.mu.Lock()
	turn := time.Now().Add(linger)
	if r.slot.After(turn) {
		turn = r.slot
	}
	r.slot = turn.Add(time.Second * time.Duration(max(1, r.Hosts())) / AppendsBound)
	r.mu.Unlock()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(time.Until(turn)):
		return nil
	}
}

func logDown(text string) *outcome.Error {
	return &outcome.Error{Kind: outcome.NotRun, Reason: outcome.LogDown, After: comeBack, Final: true, Text: text + "; ask again with the same key"}
}
