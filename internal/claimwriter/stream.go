package claimwriter

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/nutmegdock/nutmegdock/internal/core/claimreducer"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/event"
	"github.com/nutmegdock/nutmegdock/internal/logclient"
)

const (
	// batchDelay is how long an append waits for further claims.
	batchDelay        = 5 * time.Millisecond
	appendTimeout     = time.Second
	readTimeout       = time.Second
	readRetryInterval = 20 * time.Millisecond
	releaseBatchDelay = 200 * time.Millisecond
	releaseRetryDelay = time.Second
	maxPageRecords    = 1000
	// maxBatchSize limits the claims, and also the releases, of one record.
	maxBatchSize      = 1000
	maxQueuedReleases = 10_000
)

// stream appends to one claim stream and reads it.
type stream struct {
	writer *Writer
	name   logclient.Stream
	wakeup chan struct{}
	// reducer and nextAppend are used only by run.
	reducer claimreducer.Reducer
	// nextAppend is the earliest time of the next append.
	nextAppend time.Time

	mu              sync.Mutex
	pendingClaims   []*pendingClaim
	pendingReleases []claimreducer.Release
}

type pendingClaim struct {
	claim  claimreducer.Claim
	result chan claimResult
}

type claimResult struct {
	decision Decision
	err      error
}

var errStreamTruncated = errors.New("claim stream is shorter than what was already read from it")

func (s *stream) enqueueClaim(p *pendingClaim) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pendingClaims = append(s.pendingClaims, p)
	s.wake()
}

// withdraw removes a claim from the queue and reports whether it was still there, so that it was not written.
func (s *stream) withdraw(p *pendingClaim) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, other := range s.pendingClaims {
		if other == p {
			s.pendingClaims = append(s.pendingClaims[:i:i], s.pendingClaims[i+1:]...)
			return true
		}
	}
	return false
}

func (s *stream) enqueueRelease(rel claimreducer.Release) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pendingReleases) < maxQueuedReleases {
		s.pendingReleases = append(s.pendingReleases, rel)
	}
	time.AfterFunc(releaseBatchDelay, s.wake)
}

func (s *stream) wake() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

func (s *stream) run(ctx context.Context) error {
	_ = s.catchUp(ctx)
	for {
		select {
		case <-ctx.Done():
			s.flushAtShutdown(ctx)
			return nil
		case <-s.wakeup:
		}
		if s.isEmpty() {
			continue
		}
		if s.awaitTurn(ctx) == nil {
			s.flush(ctx)
		}
	}
}

// awaitTurn waits for the batch delay and until the stream may append again.
func (s *stream) awaitTurn(ctx context.Context) error {
	turn := time.Now().Add(batchDelay)
	if s.nextAppend.After(turn) {
		turn = s.nextAppend
	}
	s.nextAppend = turn.Add(s.writer.appendInterval())
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(time.Until(turn)):
		return nil
	}
}

// flushAtShutdown writes the queued releases, because no other host can.
func (s *stream) flushAtShutdown(ctx context.Context) {
	if s.isEmpty() {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), appendTimeout)
	defer cancel()
	s.flush(ctx)
}

func (s *stream) isEmpty() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pendingClaims) == 0 && len(s.pendingReleases) == 0
}

func (s *stream) dequeue() ([]*pendingClaim, []claimreducer.Release) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := min(len(s.pendingClaims), maxBatchSize)
	claims := s.pendingClaims[:n:n]
	s.pendingClaims = s.pendingClaims[n:]
	if len(s.pendingClaims) > 0 {
		s.wake()
	}
	m := min(len(s.pendingReleases), maxBatchSize)
	releases := s.pendingReleases[:m:m]
	s.pendingReleases = s.pendingReleases[m:]
	return claims, releases
}

// flush appends the queued claims and releases and decides the claims. A claim on a key that is already held is decided
// without an append.
func (s *stream) flush(ctx context.Context) {
	claims, releases := s.dequeue()
	if err := s.catchUp(ctx); err != nil {
		s.rejectClaims(claims, false, err)
		s.requeueReleases(releases)
		return
	}
	claims = s.decideHeldKeys(claims)
	if len(claims) == 0 && len(releases) == 0 {
		return
	}
	record := claimreducer.Record{Releases: releases}
	for _, p := range claims {
		record.Claims = append(record.Claims, p.claim)
	}
	offset, err := s.appendRecord(ctx, record)
	if err != nil {
		s.requeueReleases(releases)
		s.decideAppended(claims, s.catchUp(ctx), err)
		return
	}
	s.decideAppended(claims, s.readThrough(ctx, offset), nil)
}

func (s *stream) appendRecord(ctx context.Context, r claimreducer.Record) (ident.Offset, error) {
	data, err := r.Encode()
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	return s.writer.Append(ctx, s.name, data)
}

// decideHeldKeys decides the claims on keys that are already held and returns the others.
func (s *stream) decideHeldKeys(claims []*pendingClaim) []*pendingClaim {
	var undecided []*pendingClaim
	for _, p := range claims {
		holder, offset, ok := s.reducer.Holder(p.claim.Key)
		if !ok {
			undecided = append(undecided, p)
			continue
		}
		d := Decision{Stream: s.name, Offset: offset, Holder: holder, Won: holder.Attempt == p.claim.Attempt}
		d.MayBeLogged = d.Won || s.reducer.HasClaim(p.claim.Key, p.claim.Attempt)
		p.result <- claimResult{decision: d}
	}
	return undecided
}

// decideAppended decides claims after their append. It rejects those that are not in the log yet, although their append
// may still take effect.
func (s *stream) decideAppended(claims []*pendingClaim, readErr, appendErr error) {
	if readErr != nil {
		s.rejectClaims(claims, true, readErr)
		return
	}
	var missing []*pendingClaim
	for _, p := range claims {
		if !s.reducer.HasClaim(p.claim.Key, p.claim.Attempt) {
			missing = append(missing, p)
			continue
		}
		holder, offset, _ := s.reducer.Holder(p.claim.Key)
		won := holder.Attempt == p.claim.Attempt
		p.result <- claimResult{decision: Decision{Stream: s.name, Offset: offset, Won: won, Holder: holder, MayBeLogged: true}}
	}
	if len(missing) > 0 {
		s.rejectClaims(missing, true, errors.Join(errors.New("appended claim not found in the log"), appendErr))
	}
}

// rejectClaims ends claims with an error. The argument mayBeLogged reports whether the log may hold them.
func (s *stream) rejectClaims(claims []*pendingClaim, mayBeLogged bool, err error) {
	if len(claims) == 0 {
		return
	}
	event.ClaimFailed.Log(s.writer.Logger, log.Fields{"stream": s.name, "claims": len(claims), "error": err.Error()})
	for _, p := range claims {
		p.result <- claimResult{decision: Decision{MayBeLogged: mayBeLogged}, err: LogUnavailable("the log service cannot be reached")}
	}
}

// requeueReleases returns releases to the queue for a later append.
func (s *stream) requeueReleases(releases []claimreducer.Release) {
	if len(releases) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pendingReleases = append(releases, s.pendingReleases...)
	time.AfterFunc(releaseRetryDelay, s.wake)
}

// catchUp reads and applies the stream up to its end.
func (s *stream) catchUp(ctx context.Context) error {
	for {
		next, err := s.readPage(ctx)
		if err != nil || s.reducer.NextOffset() >= next {
			return err
		}
	}
}

// readThrough reads and applies the stream up to and including the record at an offset.
func (s *stream) readThrough(ctx context.Context, offset ident.Offset) error {
	ctx, cancel := context.WithTimeout(ctx, 2*readTimeout)
	defer cancel()
	var lastErr error
	for s.reducer.NextOffset() <= offset {
		_, err := s.readPage(ctx)
		if err == nil && s.reducer.NextOffset() > offset {
			return nil
		}
		if err != nil {
			lastErr = err
		}
		select {
		case <-ctx.Done():
			return errors.Join(ctx.Err(), lastErr)
		case <-time.After(readRetryInterval):
		}
	}
	return nil
}

// readPage reads and applies the next records and returns the offset after the end of the stream.
func (s *stream) readPage(ctx context.Context) (ident.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	page, err := s.writer.Read(ctx, s.name, s.reducer.NextOffset(), maxPageRecords, 0)
	if err != nil {
		return 0, err
	}
	if page.NextOffset < s.reducer.NextOffset() {
		return 0, errStreamTruncated
	}
	s.reducer.DiscardBefore(page.FirstOffset)
	for _, rec := range page.Records {
		r, err := claimreducer.Decode(rec.Data)
		if err != nil {
			event.ClaimMalformed.Log(s.writer.Logger, log.Fields{"stream": s.name, "offset": rec.Offset, "error": err.Error()})
		}
		s.reducer.Apply(rec.Offset, r)
	}
	return page.NextOffset, nil
}
