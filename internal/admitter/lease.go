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

// Lease is the capacity for one request at an endpoint. It must be ended by Fail, or by closing the response body.
type Lease struct {
	// Candidate is the endpoint.
	Candidate router.Candidate
	// Context is the context of the attempt. It ends with the caller's context, or when the endpoint makes no progress.
	Context context.Context

	admitter      *Admitter
	pool          ident.Pool
	id            ident.RequestID
	series        *meter.Series
	start         time.Time
	callerContext context.Context
	nonStreaming  bool
	repeatable    bool
	cancel        context.CancelFunc
	once          sync.Once
}

func (a *Admitter) newLease(ctx context.Context, q AdmissionRequest, id ident.RequestID, c router.Candidate, s *meter.Series, start time.Time) *Lease {
	l := &Lease{
		Candidate: c, admitter: a, pool: q.Pool, id: id, series: s, start: start, callerContext: ctx,
		nonStreaming: q.NonStreaming, repeatable: q.Repeatable,
	}
	l.Context, l.cancel = context.WithCancel(ctx)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leases[id] = l
	return l
}

// requestSpecificReasons are the reasons for failures that concern only the request itself. They do not count against
// the endpoint.
var requestSpecificReasons = map[outcome.Reason]bool{
	outcome.TooLate: true, outcome.Deadline: true, outcome.SuspectRequest: true, outcome.AlreadyRunning: true, outcome.Quarantined: true,
	outcome.OtherWeightSet: true,
}

// Fail ends a lease whose request received no response.
func (l *Lease) Fail(err error) {
	end := scheduler.Failed
	var o *outcome.Error
	if errors.As(err, &o) && o.Kind == outcome.NotRun {
		end = scheduler.Refused
	}
	if l.callerContext.Err() != nil || o != nil && requestSpecificReasons[o.Reason] {
		end = scheduler.Completed
	}
	if o != nil && (o.Reason == outcome.OtherWeightSet || o.Reason == outcome.EndpointClosed) {
		l.admitter.updateServedSet(l.pool, l.Candidate.Host, o.ServedSet)
		end = scheduler.StaleState
	}
	if o != nil && o.Reason == outcome.HostLeaving {
		l.admitter.MarkLeaving(l.Candidate.Host, math.MaxInt64)
	}
	l.end(end)
}

func (l *Lease) end(completion scheduler.Completion) {
	l.once.Do(func() {
		l.cancel()
		a := l.admitter
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.leases, l.id)
		p := a.pool(l.pool)
		a.deliverDecisions(l.pool, p, p.Finish(l.Candidate.Host, l.id, completion))
	})
}

// WrapBody applies the load in the response header and returns the response body. The body observes the times between
// reads, and ends the lease when it is closed.
func (l *Lease) WrapBody(resp *http.Response) io.ReadCloser {
	a := l.admitter
	if load, ok := messages.ParseLoadUpdate(l.Candidate.Host, resp.Header.Get(headers.EndpointLoad)); ok {
		_, _ = a.ApplyLoad(load)
	}
	resp.Header.Del(headers.EndpointLoad)
	a.mu.Lock()
	defer a.mu.Unlock()
	// From here on the caller receives this response, so the attempt can no longer be replaced by another one.
	l.repeatable = false
	return &leaseBody{ReadCloser: resp.Body, lease: l}
}

// recordFirstPart records the first bytes of the response body.
func (l *Lease) recordFirstPart() {
	l.series.ObserveFirstPart(time.Since(l.start))
	if l.nonStreaming {
		return
	}
	a := l.admitter
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.pool(l.pool)
	a.deliverDecisions(l.pool, p, p.RecordFirstToken(l.Candidate.Host, l.id))
}

// leaseBody is a response body that observes the times between its reads and ends the lease when it is closed.
type leaseBody struct {
	io.ReadCloser
	lease    *Lease
	lastPart time.Time
	readErr  error
}

// Read reads from the body.
func (b *leaseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.recordPart()
	}
	if err != nil {
		b.readErr = err
	}
	return n, err
}

func (b *leaseBody) recordPart() {
	now := time.Now()
	if b.lastPart.IsZero() {
		b.lease.recordFirstPart()
	} else {
		b.lease.series.ObserveGap(now.Sub(b.lastPart))
	}
	b.lastPart = now
}

// Close closes the body and ends the lease.
func (b *leaseBody) Close() error {
	err := b.ReadCloser.Close()
	end := scheduler.Completed
	if b.readErr != nil && !errors.Is(b.readErr, io.EOF) && b.lease.callerContext.Err() == nil {
		end = scheduler.Failed
	}
	b.lease.end(end)
	return err
}
