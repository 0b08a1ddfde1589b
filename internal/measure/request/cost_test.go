package request

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/nutmegdock/nutmegdock/internal/admitter"
	"github.com/nutmegdock/nutmegdock/internal/callerapi"
	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/manifest"
	"github.com/nutmegdock/nutmegdock/internal/core/quarantiner"
	"github.com/nutmegdock/nutmegdock/internal/core/reducer"
	"github.com/nutmegdock/nutmegdock/internal/core/reportcache"
	"github.com/nutmegdock/nutmegdock/internal/core/router"
	"github.com/nutmegdock/nutmegdock/internal/dispatcher"
	"github.com/nutmegdock/nutmegdock/internal/engineapi"
	"github.com/nutmegdock/nutmegdock/internal/forwarder"
	"github.com/nutmegdock/nutmegdock/internal/headers"
	"github.com/nutmegdock/nutmegdock/internal/measure"
	"github.com/nutmegdock/nutmegdock/internal/messages"
	"github.com/nutmegdock/nutmegdock/internal/meter"
)

const (
	callerKey    = "key"
	streamTokens = 500
)

var processStart = time.Now()

// newConfiguration returns the configuration with one organisation and one deployment, and the weight set of that
// deployment.
func newConfiguration(b *testing.B) (*reducer.Reducer, ident.WeightSet) {
	b.Helper()
	template := catalog.Template{Kind: catalog.KindEngine, Pool: pool, Model: &catalog.ArtifactRef{Name: "m", Version: "1", Digest: manifest.DigestOf([]byte("m"))}, Replicas: 1}
	r := reducer.New()
	for i, rec := range []catalog.Record{
		{Object: ident.OrganisationObject("o"), Organisation: &catalog.Organisation{Key: manifest.DigestOf([]byte(callerKey)), Weight: 1}},
		{Object: ident.TemplateObject("t"), Template: &template},
		{Object: ident.DeploymentObject("o", "chat"), Deployment: &catalog.Deployment{Template: "t"}},
	} {
		rec.ID = ident.ChangeID(fmt.Sprint(i))
		rec.Author = "test"
		data, err := rec.Encode()
		if err != nil {
			b.Fatal(err)
		}
		if decision := r.Apply(data); decision.Verdict != reducer.Accepted {
			b.Fatalf("%s: %s", rec.Object, decision.Reason)
		}
	}
	return r, template.WeightSet()
}

// newHandler returns the caller API of an entry host that knows as many endpoints as one at the target size does.
func newHandler(b *testing.B, client *http.Client, address string) http.Handler {
	b.Helper()
	const endpoints = 154
	logger := &log.Logger{Handler: discard.Default}
	state, set := newConfiguration(b)
	admission := &admitter.Admitter{
		Router: &router.Router{Zone: "a", Intn: func(int) int { return 0 }}, Random: func() float64 { return 0 },
		Weight: func(ident.Organisation) int { return 1 }, EntryHosts: func() int { return 1 },
		Quota: func(_ ident.Host, n int) int { return n }, OrganisationLimit: func(ident.Organisation) int { return 0 },
		Meter: meter.New(prometheus.NewRegistry()), Logger: logger, Reports: &reportcache.Cache{},
	}
	for i := range endpoints {
		admission.ApplyReport(messages.Report{
			Host: ident.Host(fmt.Sprintf("h-%03d", i)), Zone: "a", Pool: pool, DataAddress: address, StartTime: 1, GateOpen: true, ServedSet: set, Slots: 64, MaxIntervalSeconds: 1e6,
		})
	}
	d := &dispatcher.Dispatcher{
		Admit: admission.Admit, SpendRetryBudget: admission.SpendRetryBudget, Forwarder: &forwarder.Forwarder{HTTP: client}, Quarantiner: &quarantiner.Quarantiner{}, Logger: logger,
	}
	api := &callerapi.API{ViewState: func(fn func(*reducer.Reducer)) { fn(state) }, Dispatch: d.Do, Logger: logger}
	return api.Handler()
}

// setResponseHeaders sets the response headers that an endpoint host sends.
func setResponseHeaders(h http.Header, r *http.Request) {
	h.Set(headers.RequestID, r.Header.Get(headers.RequestID))
	h.Set(headers.WeightSet, r.Header.Get(headers.WeightSet))
	h.Set(headers.Outcome, headers.Answered)
	h.Set(headers.EndpointLoad, messages.LoadUpdate{StartTime: 1, SentMs: time.Since(processStart).Milliseconds(), InFlight: 1, Slots: 64}.Header())
}

// instantTransport responds immediately, without a socket.
type instantTransport struct{}

// RoundTrip returns a complete response as an endpoint host does.
func (instantTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	_, _ = io.Copy(io.Discard, r.Body)
	resp := &http.Response{StatusCode: http.StatusOK, Header: make(http.Header), Body: io.NopCloser(strings.NewReader("{}")), Request: r}
	setResponseHeaders(resp.Header, r)
	resp.Header.Set("Content-Type", "application/json")
	return resp, nil
}

func newCompletionRequest(ctx context.Context, url string, stream bool) *http.Request {
	body, _ := json.Marshal(engineapi.Request{Model: "chat", Prompt: strings.Repeat("brief ", 100), MaxTokens: streamTokens, Stream: stream})
	r, _ := http.NewRequestWithContext(ctx, http.MethodPost, url+engineapi.CompletionsPath, bytes.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+callerKey)
	return r
}

// TestMeasureRequestCost measures the processor time that an entry host spends on a request. It is measured as wall
// time, so other load on the machine adds to it.
func TestMeasureRequestCost(t *testing.T) {
	if !measure.IsBenchRun() {
		t.Log("skipped: script/bench measures wall time")
		return
	}
	requestResult := testing.Benchmark(func(b *testing.B) {
		h := newHandler(b, &http.Client{Transport: instantTransport{}}, "endpoint")
		b.ReportAllocs()
		for b.Loop() {
			w := httptest.NewRecorder()
			h.ServeHTTP(w, newCompletionRequest(b.Context(), "http://entry", false))
			if w.Code != http.StatusOK {
				b.Fatalf("status %d: %s", w.Code, w.Body)
			}
		}
	})
	report(t, "cost.request.time", float64(requestResult.NsPerOp()), "ns")
	report(t, "cost.request.allocations", float64(requestResult.AllocsPerOp()), "allocations")
	streamResult := testing.Benchmark(benchmarkStream)
	report(t, "cost.stream.tokens", streamTokens*float64(streamResult.N)/streamResult.T.Seconds(), "tokens/s on one core")
}

// benchmarkStream sends streamed responses through real sockets, with the caller, the entry host and the endpoint on
// one core.
func benchmarkStream(b *testing.B) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		setResponseHeaders(w.Header(), r)
		w.Header().Set("Content-Type", "text/event-stream")
		rc := http.NewResponseController(w)
		for range streamTokens {
			_, _ = fmt.Fprintf(w, "data: {\"id\":%q,\"choices\":[{\"index\":0,\"text\":\"token \"}]}\n\n", r.Header.Get(headers.RequestID))
			_ = rc.Flush()
		}
		_, _ = fmt.Fprintf(w, "data: %s\n\n", engineapi.DoneData)
	}))
	defer endpoint.Close()
	entry := httptest.NewServer(newHandler(b, forwarder.NewClient(), strings.TrimPrefix(endpoint.URL, "http://")))
	defer entry.Close()
	client := &http.Client{Timeout: time.Minute}
	for b.Loop() {
		resp, err := client.Do(newCompletionRequest(b.Context(), entry.URL, true))
		if err != nil {
			b.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil || !bytes.Contains(body, []byte(engineapi.DoneData)) {
			b.Fatalf("response is incomplete: status %d, read error %v", resp.StatusCode, err)
		}
	}
}
