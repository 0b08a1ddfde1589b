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
	begin    time.Time

	mu     sync.Mutex
	events []any
}

// HandleLog keeps the number of an event.
func (f *fixture) HandleLog(e *log.Entry) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events = append(f.events, e.Fields["event"])
	return nil
}

func (f *fixture) saw(event int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Contains(f.events, any(event))
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{registry: prometheus.NewRegistry(), begin: time.Now()}
	f.Admitter = &admitter.Admitter{
		Router: &router.Router{Zone: "a", Intn: func(int) int { return 0 }}, Float64: func() float64 { return 0.5 },
		Weight: func(ident.Organisation) int { return 1 }, Limit: func(ident.Organisation) int { return 0 },
		EntryHosts: func() int { return 1 }, Part: func(_ ident.Host, n int) int { return n },
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
	f.Report(messages.Report{
		Host: h, Zone: "a", Pool: "p", Set: "s", Data: string(h), Birth: 1, Open: true, Slots: slots,
		Time: time.Since(f.begin).Milliseconds(), Every: 1000,
	})
}

func query() admitter.Query {
	return admitter.Query{Pool: "p", Organisation: "o", Deployment: "d", Sets: []ident.WeightSet{"s"}, Repeatable: true}
}

func refusal(t *testing.T, err error) *outcome.Error {
	t.Helper()
	var o *outcome.Error
	if !errors.As(err, &o) || o.Kind != outcome.NotRun {
		t.Fatalf("not a refusal: %v", err)
	}
	return o
}

func TestRefusesAtOnceWhereNoEndpointServes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t)
		begin := time.Now()
		_, err := f.Admit(t.Context(), query())
		o := refusal(t, err)
		is.Equal(o.Reason, outcome.NoEndpoint)
		is.True(o.After >= time.Second)
		is.Equal(time.Since(begin), time.Duration(0))
	})
}

func TestRefusesWhenPatienceEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t)
		f.report("h", 1)
		_, err := f.Admit(t.Context(), query())
		is.NoErr(err)
		begin := time.Now()
		_, err = f.Admit(t.Context(), query())
		is.Equal(refusal(t, err).Reason, outcome.Overload)
		is.True(time.Since(begin) <= 1100*time.Millisecond)
		synctest.Wait()
		is.True(f.saw(1401))
		is.True(!f.saw(1402))
		time.Sleep(11 * time.Second)
		synctest.Wait()
		is.True(f.saw(1402))
	})
}

func TestAWaitingRequestGetsTheRoomOfOneThatEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t)
		f.report("h", 1)
		first, err := f.Admit(t.Context(), query())
		is.NoErr(err)
		got := make(chan error, 1)
		go func() {
			_, err := f.Admit(t.Context(), query())
			got <- err
		}()
		time.Sleep(300 * time.Millisecond)
		resp := &http.Response{Header: make(http.Header), Body: io.NopCloser(strings.NewReader("whole"))}
		body := first.Answer(resp)
		text, err := io.ReadAll(body)
		is.NoErr(err)
		is.Equal(string(text), "whole")
		is.NoErr(body.Close())
		is.NoErr(body.Close()) // a second end frees nothing
		is.NoErr(<-got)
		n, err := testutil.GatherAndCount(f.registry, "nutmegdock_request_first_seconds", "nutmegdock_request_queue_seconds")
		is.NoErr(err)
		is.Equal(n, 2)
	})
}

func TestACallerWhoGoesAwayLeavesTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t)
		f.report("h", 1)
		held, err := f.Admit(t.Context(), query())
		is.NoErr(err)
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		begin := time.Now()
		_, err = f.Admit(ctx, query())
		refusal(t, err)
		is.True(time.Since(begin) <= 150*time.Millisecond)
		held.Fail(&outcome.Error{Kind: outcome.NotRun, Reason: outcome.Late})
		_, err = f.Admit(t.Context(), query())
		is.NoErr(err) // the room is free, and a late hand-over does not count against the endpoint
	})
}

func TestEndsTheAttemptAtAnEndpointWithoutProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t)
		f.report("h", 4)
		lease, err := f.Admit(t.Context(), query())
		is.NoErr(err)
		begin := time.Now()
		<-lease.Context.Done()
		is.True(time.Since(begin) < 1200*time.Millisecond)
		is.NoErr(t.Context().Err())
		lease.Fail(&outcome.Error{Kind: outcome.Unknown, Reason: outcome.Lost})
	})
}

func TestNoWorkForALeavingEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t)
		f.report("h", 4)
		lease, err := f.Admit(t.Context(), query())
		is.NoErr(err)
		// The refusal is the first sign. Reports that the host sent before it do not bring it back.
		lease.Fail(&outcome.Error{Kind: outcome.NotRun, Reason: outcome.Leaving})
		f.report("h", 4)
		_, err = f.Admit(t.Context(), query())
		is.Equal(refusal(t, err).Reason, outcome.NoEndpoint)
	})
}
