// Package claimwriter claims idempotency keys in streams of the platform's log.
package claimwriter

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"github.com/nutmegdock/nutmegdock/internal/core/claimreducer"
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

// Writer writes the claims of one entry host in batches. Set its fields before Run.
type Writer struct {
	// Append adds a record to a stream. After an error the record may be in the log all the same.
	Append func(ctx context.Context, s logclient.Stream, data []byte) (ident.Offset, error)
	// Read returns records of a stream.
	Read func(ctx context.Context, s logclient.Stream, from ident.Offset, limit int, wait time.Duration) (logclient.Page, error)
	// Writers returns the number of hosts that write each stream. They share the bound on appends.
	Writers func() int
	// Logger receives the events.
	Logger log.Interface

	init    sync.Once
	streams []*stream
}

// Ticket is the decision on a claim.
type Ticket struct {
	Stream logclient.Stream
	Offset ident.Offset
	Won    bool
	// Holder is the claim that holds the key: the own one if it won.
	Holder claimreducer.Claim
	// Written tells that the claim may stand in the log, so that it has to be released if it was not used.
	Written bool
}

// StreamIndex returns the number of a key's stream, from zero to Streams.
func StreamIndex(k claimreducer.Key) int {
	return int(xxhash.Sum64String(string(k)) % Streams)
}

// StreamName returns the name of a key's stream.
func StreamName(k claimreducer.Key) logclient.Stream {
	return name(StreamIndex(k))
}

func name(i int) logclient.Stream {
	return logclient.Stream(fmt.Sprintf("claims-%d", i))
}

func (w *Writer) stream(k claimreducer.Key) *stream {
	w.build()
	return w.streams[StreamIndex(k)]
}

func (w *Writer) build() {
	w.init.Do(func() {
		for i := range Streams {
			w.streams = append(w.streams, &stream{writer: w, name: name(i), kick: make(chan struct{}, 1)})
		}
	})
}

// Run writes claims and releases until ctx ends.
func (w *Writer) Run(ctx context.Context) error {
	w.build()
	var g errgroup.Group
	for _, s := range w.streams {
		g.Go(func() error { return s.run(ctx) })
	}
	return g.Wait()
}

// Claim writes a claim and returns the decision of the log's order. Its error is an *outcome.Error that says not run,
// given with a ticket that tells whether the claim may have been written. A claim that is made again, here or by another
// writer, gets the same decision.
func (w *Writer) Claim(ctx context.Context, c claimreducer.Claim) (Ticket, error) {
	s := w.stream(c.Key)
	waiting := &waiter{claim: c, done: make(chan decision, 1)}
	s.add(waiting)
	select {
	case d := <-waiting.done:
		return d.ticket, d.err
	case <-ctx.Done():
	}
	return Ticket{Written: !s.withdraw(waiting)}, LogDown("the claim was not decided in time")
}

// Release gives up a claim whose attempt was not run and never will be. Only the host of the attempt can know that.
func (w *Writer) Release(k claimreducer.Key, attempt ident.Request) {
	w.stream(k).release(claimreducer.Release{Key: k, Attempt: attempt})
}

// interval returns the time between two appends of one stream by this host.
func (w *Writer) interval() time.Duration {
	return time.Second * time.Duration(Streams*max(1, w.Writers())) / AppendsBound
}

// LogDown returns the refusal of a request whose key could not be claimed.
func LogDown(text string) *outcome.Error {
	return &outcome.Error{Kind: outcome.NotRun, Reason: outcome.LogDown, After: comeBack, Final: true, Text: text + "; ask again with the same key"}
}
