// Package claimwriter writes claims on idempotency keys to streams of the platform's log and decides them by their
// order in the log.
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
	// StreamCount is the number of claim streams. It must be the same on all entry hosts and must not change while there
	// are live claims.
	StreamCount = 4
	// MaxAppendsPerSecond limits the appends of all entry hosts together.
	MaxAppendsPerSecond = 200

	// retryAfter is the retry delay sent with a refusal.
	retryAfter = 2 * time.Second
)

// Writer writes the claims of one entry host in batches. Set its fields before Run.
type Writer struct {
	// Append appends a record to a stream. If it returns an error, the record may be in the log nevertheless.
	Append func(ctx context.Context, s logclient.Stream, data []byte) (ident.Offset, error)
	// Read returns records of a stream.
	Read func(ctx context.Context, s logclient.Stream, from ident.Offset, limit int, wait time.Duration) (logclient.Page, error)
	// WriterCount returns the number of hosts that write each stream. They share MaxAppendsPerSecond.
	WriterCount func() int
	// Logger receives the log events.
	Logger log.Interface

	once    sync.Once
	streams []*stream
}

// Decision states whether a claim won its key.
type Decision struct {
	Stream logclient.Stream
	Offset ident.Offset
	Won    bool
	// Holder is the claim that holds the key. It is the decided claim itself if that won.
	Holder claimreducer.Claim
	// MayBeLogged reports whether the log may hold the claim, so that it must be released if its attempt is not run.
	MayBeLogged bool
}

// StreamIndex returns the index of a key's stream, which is at least 0 and less than StreamCount.
func StreamIndex(k claimreducer.KeyDigest) int {
	return int(xxhash.Sum64String(string(k)) % StreamCount)
}

// StreamName returns the name of a key's stream.
func StreamName(k claimreducer.KeyDigest) logclient.Stream {
	return streamName(StreamIndex(k))
}

func streamName(i int) logclient.Stream {
	return logclient.Stream(fmt.Sprintf("claims-%d", i))
}

func (w *Writer) stream(k claimreducer.KeyDigest) *stream {
	w.initStreams()
	return w.streams[StreamIndex(k)]
}

func (w *Writer) initStreams() {
	w.once.Do(func() {
		for i := range StreamCount {
			w.streams = append(w.streams, &stream{writer: w, name: streamName(i), wakeup: make(chan struct{}, 1)})
		}
	})
}

// Run writes claims and releases until ctx ends.
func (w *Writer) Run(ctx context.Context) error {
	w.initStreams()
	var g errgroup.Group
	for _, s := range w.streams {
		g.Go(func() error { return s.run(ctx) })
	}
	return g.Wait()
}

// Claim writes a claim and returns the decision on it, which depends only on the order of the log. An error is an
// *outcome.Error of the kind outcome.NotRun; the decision returned with it reports whether the claim may have been
// written. A repeated claim gets the same decision, also from another writer.
func (w *Writer) Claim(ctx context.Context, c claimreducer.Claim) (Decision, error) {
	s := w.stream(c.Key)
	p := &pendingClaim{claim: c, result: make(chan claimResult, 1)}
	s.enqueueClaim(p)
	select {
	case r := <-p.result:
		return r.decision, r.err
	case <-ctx.Done():
	}
	return Decision{MayBeLogged: !s.withdraw(p)}, LogUnavailable("the claim was not decided in time")
}

// Release withdraws a claim whose attempt was not run and will not be run. Only the host of the attempt knows
// that.
func (w *Writer) Release(k claimreducer.KeyDigest, attempt ident.RequestID) {
	w.stream(k).enqueueRelease(claimreducer.Release{Key: k, Attempt: attempt})
}

// appendInterval returns the minimum time between two appends of this host to one stream.
func (w *Writer) appendInterval() time.Duration {
	return time.Second * time.Duration(StreamCount*max(1, w.WriterCount())) / MaxAppendsPerSecond
}

// LogUnavailable returns the error for a request that is refused because its key could not be claimed.
func LogUnavailable(text string) *outcome.Error {
	return &outcome.Error{Kind: outcome.NotRun, Reason: outcome.LogUnavailable, RetryAfter: retryAfter, NoRetry: true, Message: text + "; ask again with the same key"}
}
