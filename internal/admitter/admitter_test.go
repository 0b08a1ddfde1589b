package admitter_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/nutmegdock/nutmegdock/internal/admitter"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/outcome"
	"github.com/nutmegdock/nutmegdock/internal/core/reportcache"
	"github.com/nutmegdock/nutmegdock/internal/core/router"
	"github.com/nutmegdock/nutmegdock/internal/messages"
	"github.com/nutmegdock/nutmegdock/internal/meter"
)

type fixture struct {
	*admitter.Admitter
	registry *prometheus.Registry
	start    time.Time

	mu     sync.Mutex
	events []any
}

// HandleLog records the number of an event.
func (f *fixture) HandleLog(e *log.Entry) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events = append(f.events, e.Fields["event"])
	return nil
}

func (f *fixture) hasLogged(event int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Contains(f.events, any(event))
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{registry: prometheus.NewRegistry(), start: time.Now()}
	f.Admitter = &admitter.Admitter{
		Router: &router.Router{Zone: "a", Intn: func(int) int { return 0 }}, Random: func() float64 { return 0.5 },
		Weight: func(ident.Organisation) int { return 1 }, OrganisationLimit: func(ident.Organisation) int { return 0 },
		EntryHosts: func() int { return 1 }, Quota: func(_ ident.Host, n int) int { return n },
		Meter: meter.New(f.registry), Logger: &log.Logger{Handler: f}, Reports: &reportcache.Cache{},
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = f.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return f
}

func (f *fixture) report(h ident.Host, slots int) {
	f.ApplyReport(messages.Report{
		Host: h, Zone: "a", Pool: "p", ServedSet: "s", DataAddress: string(h), StartTime: 1, GateOpen: true, Slots: slots,
		SentMs: time.Since(f.start).Milliseconds(), MaxIntervalSeconds: 1000,
	})
}

func admissionRequest() admitter.AdmissionRequest {
	return admitter.AdmissionRequest{Pool: "p", Organisation: "o", Deployment: "d", WeightSets: []ident.WeightSet{"s"}, Repeatable: true}
}

func refusal(t *testing.T, err error) *outcome.Error {
	t.Helper()
	var o *outcome.Error
	if !errors.As(err, &o) || o.Kind != outcome.NotRun {
		t.Fatalf("not a refusal: %v", err)
	}
	return o
}

func TestAdmitWithoutServingEndpointRefusesImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t)
		start := time.Now()
		_, err := f.Admit(t.Context(), admissionRequest())
		o := refusal(t, err)
		is.Equal(o.Reason, outcome.NoEndpoint)
		is.True(o.RetryAfter >= time.Second)
		is.Equal(time.Since(start), time.Duration(0))
	})
}

func TestAdmitRefusesAfterMaxWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t)
		f.report("h", 1)
		_, err := f.Admit(t.Context(), admissionRequest())
		is.NoErr(err)
		start := time.Now()
		_, err = f.Admit(t.Context(), admissionRequest())
		is.Equal(refusal(t, err).Reason, outcome.Overload)
		is.True(time.Since(start) <= 1100*time.Millisecond)
		synctest.Wait()
		is.True(f.hasLogged(1401))
		is.True(!f.hasLogged(1402))
		time.Sleep(11 * time.Second)
		synctest.Wait()
		is.True(f.hasLogged(1402))
	})
}

func TestWaitingRequestIsAdmittedWhenAnotherEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t)
		f.report("h", 1)
		firstLease, err := f.Admit(t.Context(), admissionRequest())
		is.NoErr(err)
		admitted := make(chan error, 1)
		go func() {
			_, err := f.Admit(t.Context(), admissionRequest())
			admitted <- err
		}()
		time.Sleep(300 * time.Millisecond)
		resp := &http.Response{Header: make(http.Header), Body: io.NopCloser(strings.NewReader("complete"))}
		body := firstLease.WrapBody(resp)
		text, err := io.ReadAll(body)
		is.NoErr(err)
		is.Equal(string(text), "complete")
		is.NoErr(body.Close())
		is.NoErr(body.Close()) // a second close releases no further capacity
		is.NoErr(<-admitted)
		n, err := testutil.GatherAndCount(f.registry, "nutmegdock_request_first_seconds", "nutmegdock_request_queue_seconds")
		is.NoErr(err)
		is.Equal(n, 2)
	})
}

func TestCancelledRequestLeavesQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t)
		f.report("h", 1)
		lease, err := f.Admit(t.Context(), admissionRequest())
		is.NoErr(err)
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		start := time.Now()
		_, err = f.Admit(ctx, admissionRequest())
		refusal(t, err)
		is.True(time.Since(start) <= 150*time.Millisecond)
		lease.Fail(&outcome.Error{Kind: outcome.NotRun, Reason: outcome.TooLate})
		_, err = f.Admit(t.Context(), admissionRequest())
		is.NoErr(err) // the capacity is free, and a request refused as late does not count against the endpoint
	})
}

func TestAttemptAtStalledEndpointIsCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t)
		f.report("h", 4)
		lease, err := f.Admit(t.Context(), admissionRequest())
		is.NoErr(err)
		start := time.Now()
		<-lease.Context.Done()
		is.True(time.Since(start) < 1200*time.Millisecond)
		is.NoErr(t.Context().Err())
		lease.Fail(&outcome.Error{Kind: outcome.Unknown, Reason: outcome.ConnectionLost})
	})
}

func TestLeavingEndpointReceivesNoRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t)
		f.report("h", 4)
		lease, err := f.Admit(t.Context(), admissionRequest())
		is.NoErr(err)
		// The refusal can arrive before a report says that the host is leaving. Reports that were sent earlier must not
		// make the endpoint available again.
		lease.Fail(&outcome.Error{Kind: outcome.NotRun, Reason: outcome.HostLeaving})
		f.report("h", 4)
		_, err = f.Admit(t.Context(), admissionRequest())
		is.Equal(refusal(t, err).Reason, outcome.NoEndpoint)
	})
}
