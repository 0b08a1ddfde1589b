package admitter

import (
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/outcome"
	"github.com/nutmegdock/nutmegdock/internal/core/router"
	"github.com/nutmegdock/nutmegdock/internal/core/scheduler"
	"github.com/nutmegdock/nutmegdock/internal/headers"
	"github.com/nutmegdock/nutmegdock/internal/messages"
	"github.com/nutmegdock/nutmegdock/internal/meter"
)

// Lease is the room for one request at an endpoint. It must be ended by Fail, or by closing the body of Answer.
type Lease struct {
	// Candidate is the endpoint.
	Candidate router.Candidate
	// Context is that of the attempt. It ends with the caller's, or when the endpoint shows no progress.
	Context context.Context

	admitter   *Admitter
	pool       ident.Pool
	id         ident.Request
	series     *meter.Series
	begin      time.Time
	caller     context.Context
	whole      bool
	repeatable bool
	cancel     context.CancelFunc
	once       sync.Once
}

func (a *Admitter) lease(ctx context.Context, q Query, id ident.Request, c router.Candidate, s *meter.Series, begin time.Time) *Lease {
	l := &Lease{
		Candidate: c, admitter: a, pool: q.Pool, id: id, series: s, begin: begin, caller: ctx,
		whole: q.Whole, repeatable: q.Repeatable,
	}
	l.Context, l.cancel = context.WithCancel(ctx)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.held[id] = l
	return l
}

// innocent are the reasons of failures that say nothing about other requests at the endpoint.
var innocent = map[outcome.Reason]bool{
	outcome.Late: true, outcome.Deadline: true, outcome.Suspect: true, outcome.Running: true, outcome.Condemned: true,
	outcome.Moved: true,
}

// Fail ends a lease whose request was not answered.
func (l *Lease) Fail(err error) {
	end := scheduler.Lost
	var o *outcome.Error
	if errors.As(err, &o) && o.Kind == outcome.NotRun {
		end = scheduler.Refused
	}
	if l.caller.Err() != nil || o != nil && innocent[o.Reason] {
		end = scheduler.Done
	}
	if o != nil && (o.Reason == outcome.Moved || o.Reason == outcome.Closed) {
		l.admitter.serve(l.pool, l.Candidate.Host, o.Serves)
		end = scheduler.Outdated
	}
	if o != nil && o.Reason == outcome.Leaving {
		l.admitter.Leave(l.Candidate.Host, math.MaxInt64)
	}
	l.end(end)
}

func (l *Lease) end(how scheduler.End) {
	l.once.Do(func() {
		l.cancel()
		a := l.admitter
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.held, l.id)
		p := a.pool(l.pool)
		a.deliver(l.pool, p, p.End(l.Candidate.Host, l.id, how))
	})
}

// Answer takes the head of the answer and returns its body, which counts the parts and ends the lease when it is closed.
func (l *Lease) Answer(resp *http.Response) io.ReadCloser {
	a := l.admitter
	if load, ok := messages.ParseLoad(l.Candidate.Host, resp.Header.Get(headers.Load)); ok {
		_, _ = a.Load(load)
	}
	resp.Header.Del(headers.Load)
	a.mu.Lock()
	defer a.mu.Unlock()
	// The caller has the head of the answer from here on, so the attempt cannot be made elsewhere any more.
	l.repeatable = false
	return &body{ReadCloser: resp.Body, lease: l}
}

func (l *Lease) first() {
	l.series.First(time.Since(l.begin))
	if l.whole {
		return
	}
	a := l.admitter
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.pool(l.pool)
	a.deliver(l.pool, p, p.First(l.Candidate.Host, l.id))
}

// body observes the parts of an answer as they are read.
type body struct {
	io.ReadCloser
	lease *Lease
	last  time.Time
	err   error
}

// Read reads the next part.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.part()
	}
	if err != nil {
		b.err = err
	}
	return n, err
}

func (b *body) part() {
	now := time.Now()
	if b.last.IsZero() {
		b.lease.first()
	} else {
		b.lease.series.Gap(now.Sub(b.last))
	}
	b.last = now
}

// Close closes the body and ends the lease.
func (b *body) Close() error {
	err := b.ReadCloser.Close()
	end := scheduler.Done
	if b.err != nil && !errors.Is(b.err, io.EOF) && b.lease.caller.Err() == nil {
		end = scheduler.Lost
	}
	b.lease.end(end)
	return err
}
