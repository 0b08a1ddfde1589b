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
	linger      = 5 * time.Millisecond
	appendTime  = time.Second
	readTime    = time.Second
	readRetry   = 20 * time.Millisecond
	releaseWait = 200 * time.Millisecond
	retryWait   = time.Second
	pageRecords = 1000
	maxClaims   = 1000
	maxReleases = 10_000
)

// stream writes and follows one claim stream. Only run touches state.
type stream struct {
	writer *Writer
	name   logclient.Stream
	kick   chan struct{}
	state  claimreducer.Reducer
	// slot is the time of the next append.
	slot time.Time

	mu       sync.Mutex
	claims   []*waiter
	releases []claimreducer.Release
}

type waiter struct {
	claim claimreducer.Claim
	done  chan decision
}

type decision struct {
	ticket Ticket
	err    error
}

var errShrunk = errors.New("stream ends before records that were read from it")

func (s *stream) add(w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.claims = append(s.claims, w)
	s.wake()
}

// withdraw takes a claim back and tells whether it was not written yet.
func (s *stream) withdraw(w *waiter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, other := range s.claims {
		if other == w {
			s.claims = append(s.claims[:i:i], s.claims[i+1:]...)
			return true
		}
	}
	return false
}

func (s *stream) release(rel claimreducer.Release) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.releases) < maxReleases {
		s.releases = append(s.releases, rel)
	}
	time.AfterFunc(releaseWait, s.wake)
}

func (s *stream) wake() {
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

func (s *stream) run(ctx context.Context) error {
	_ = s.catchUp(ctx)
	for {
		select {
		case <-ctx.Done():
			s.leave(ctx)
			return nil
		case <-s.kick:
		}
		if s.empty() {
			continue
		}
		if s.pace(ctx) == nil {
			s.flush(ctx)
		}
	}
}

// pace waits for the stream's next turn to append.
func (s *stream) pace(ctx context.Context) error {
	turn := time.Now().Add(linger)
	if s.slot.After(turn) {
		turn = s.slot
	}
	s.slot = turn.Add(s.writer.interval())
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(time.Until(turn)):
		return nil
	}
}

// leave writes the releases that are left, since no one else can.
func (s *stream) leave(ctx context.Context) {
	if s.empty() {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), appendTime)
	defer cancel()
	s.flush(ctx)
}

func (s *stream) empty() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.claims) == 0 && len(s.releases) == 0
}

func (s *stream) take() ([]*waiter, []claimreducer.Release) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := min(len(s.claims), maxClaims)
	claims := s.claims[:n:n]
	s.claims = s.claims[n:]
	if len(s.claims) > 0 {
		s.wake()
	}
	m := min(len(s.releases), maxClaims)
	releases := s.releases[:m:m]
	s.releases = s.releases[m:]
	return claims, releases
}

// flush appends what waits and decides the claims. A claim on a key that is held is decided without an append.
func (s *stream) flush(ctx context.Context) {
	claims, releases := s.take()
	if err := s.catchUp(ctx); err != nil {
		s.fail(claims, false, err)
		s.restore(releases)
		return
	}
	claims = s.decideHeld(claims)
	if len(claims) == 0 && len(releases) == 0 {
		return
	}
	record := claimreducer.Record{Releases: releases}
	for _, w := range claims {
		record.Claims = append(record.Claims, w.claim)
	}
	offset, err := s.append(ctx, record)
	if err != nil {
		s.restore(releases)
		s.settle(claims, s.catchUp(ctx), err)
		return
	}
	s.settle(claims, s.readTo(ctx, offset), nil)
}

func (s *stream) append(ctx context.Context, r claimreducer.Record) (ident.Offset, error) {
	data, err := r.Encode()
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, appendTime)
	defer cancel()
	return s.writer.Append(ctx, s.name, data)
}

func (s *stream) decideHeld(claims []*waiter) []*waiter {
	var kept []*waiter
	for _, w := range claims {
		holder, offset, ok := s.state.Holder(w.claim.Key)
		if !ok {
			kept = append(kept, w)
			continue
		}
		t := Ticket{Stream: s.name, Offset: offset, Holder: holder, Won: holder.Attempt == w.claim.Attempt}
		t.Written = t.Won || s.state.HasClaim(w.claim.Key, w.claim.Attempt)
		w.done <- decision{ticket: t}
	}
	return kept
}

// settle decides claims after their append. Those that cannot be found in the log are given up, though the append may
// still take effect.
func (s *stream) settle(claims []*waiter, readErr, appendErr error) {
	if readErr != nil {
		s.fail(claims, true, readErr)
		return
	}
	var missing []*waiter
	for _, w := range claims {
		if !s.state.HasClaim(w.claim.Key, w.claim.Attempt) {
			missing = append(missing, w)
			continue
		}
		holder, offset, _ := s.state.Holder(w.claim.Key)
		won := holder.Attempt == w.claim.Attempt
		w.done <- decision{ticket: Ticket{Stream: s.name, Offset: offset, Won: won, Holder: holder, Written: true}}
	}
	if len(missing) > 0 {
		s.fail(missing, true, errors.Join(errors.New("claim is not in the log"), appendErr))
	}
}

func (s *stream) fail(claims []*waiter, written bool, err error) {
	if len(claims) == 0 {
		return
	}
	event.ClaimFailed.Log(s.writer.Logger, log.Fields{"stream": s.name, "claims": len(claims), "error": err.Error()})
	for _, w := range claims {
		w.done <- decision{ticket: Ticket{Written: written}, err: LogDown("the log service cannot be reached")}
	}
}

// restore keeps releases for a later append.
func (s *stream) restore(releases []claimreducer.Release) {
	if len(releases) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releases = append(releases, s.releases...)
	time.AfterFunc(retryWait, s.wake)
}

// catchUp reads to the end of the stream.
func (s *stream) catchUp(ctx context.Context) error {
	for {
		next, err := s.readPage(ctx)
		if err != nil || s.state.NextOffset() >= next {
			return err
		}
	}
}

// readTo reads as far as the record at an offset.
func (s *stream) readTo(ctx context.Context, offset ident.Offset) error {
	ctx, cancel := context.WithTimeout(ctx, 2*readTime)
	defer cancel()
	var last error
	for s.state.NextOffset() <= offset {
		_, err := s.readPage(ctx)
		if err == nil && s.state.NextOffset() > offset {
			return nil
		}
		if err != nil {
			last = err
		}
		select {
		case <-ctx.Done():
			return errors.Join(ctx.Err(), last)
		case <-time.After(readRetry):
		}
	}
	return nil
}

func (s *stream) readPage(ctx context.Context) (ident.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, readTime)
	defer cancel()
	page, err := s.writer.Read(ctx, s.name, s.state.NextOffset(), pageRecords, 0)
	if err != nil {
		return 0, err
	}
	if page.Next < s.state.NextOffset() {
		return 0, errShrunk
	}
	s.state.DiscardBefore(page.First)
	for _, rec := range page.Records {
		r, err := claimreducer.Decode(rec.Data)
		if err != nil {
			event.ClaimMalformed.Log(s.writer.Logger, log.Fields{"stream": s.name, "offset": rec.Offset, "error": err.Error()})
		}
		s.state.Apply(rec.Offset, r)
	}
	return page.Next, nil
}
