package endpointproxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/gate"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/inflighttracker"
	"github.com/nutmegdock/nutmegdock/internal/core/outcome"
	"github.com/nutmegdock/nutmegdock/internal/core/resumer"
	"github.com/nutmegdock/nutmegdock/internal/forwarder"
	"github.com/nutmegdock/nutmegdock/internal/headers"
	"github.com/nutmegdock/nutmegdock/internal/headtest"
)

// newProxy returns a proxy to a back end that serves weight set "a".
func newProxy(backend string, confirm error) *Proxy {
	p := &Proxy{
		Gate: &gate.Gate{}, Backend: backend, Forwarder: &forwarder.Forwarder{HTTP: forwarder.NewClient()},
		Tracker: &inflighttracker.Tracker{}, BackendStartTime: func() int64 { return 1 }, HasCrashed: func(context.Context, int64) bool { return false },
	}
	p.WatchWeights = func(ident.WeightSet) ConfirmWeights {
		return func(context.Context) error { return confirm }
	}
	p.Gate.Open("a")
	return p
}

// sendRequest sends one request for weight set "a" through a proxy to an engine that responds with backend. The check
// of the engine's weights at the end of the response returns confirm.
func sendRequest(t *testing.T, confirm error, backend http.HandlerFunc) (*http.Response, string, error) {
	t.Helper()
	engine := httptest.NewServer(backend)
	defer engine.Close()
	server := httptest.NewServer(newProxy(engine.URL, confirm))
	defer server.Close()
	req, err := http.NewRequest(http.MethodPost, server.URL+RunPrefix+"/v1/completions", strings.NewReader("{}"))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(headers.WeightSet, "a")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

func respond(set, contentType string, status int, parts ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", contentType)
		if set != "" {
			w.Header().Set(headers.WeightSet, set)
		}
		w.WriteHeader(status)
		for _, p := range parts {
			_, _ = io.WriteString(w, p)
			_ = http.NewResponseController(w).Flush()
		}
	}
}

func TestResponseOfAnotherSetHasUnknownOutcome(t *testing.T) {
	for _, tt := range []struct {
		set     string
		status  int
		outcome string
	}{
		{"a", http.StatusOK, headers.Answered},
		{"b", http.StatusOK, headers.Unknown},
		{"", http.StatusOK, headers.Unknown},
		{"b", http.StatusBadRequest, headers.Unknown},
		{"", http.StatusBadRequest, headers.Answered},
		{"", http.StatusServiceUnavailable, headers.Unknown},
	} {
		t.Run(fmt.Sprint(tt.set, tt.status), func(t *testing.T) {
			is := is.New(t)
			resp, _, err := sendRequest(t, nil, respond(tt.set, "application/json", tt.status, "{}"))
			is.NoErr(err)
			is.Equal(resp.Header.Get(headers.Outcome), tt.outcome)
		})
	}
}

// A back end that responds before it has read the request body still receives all of it, and its response is complete.
func TestBackendRespondsBeforeReadingBody(t *testing.T) {
	is := is.New(t)
	received := make(chan string, 1)
	started := make(chan struct{})
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rc := http.NewResponseController(w)
		if err := rc.EnableFullDuplex(); err != nil {
			t.Error(err)
		}
		w.Header().Set(headers.WeightSet, "a")
		_, _ = io.WriteString(w, "first ")
		_ = rc.Flush()
		body, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		received <- string(body)
		_, _ = io.WriteString(w, "second")
	}))
	defer engine.Close()
	server := httptest.NewServer(newProxy(engine.URL, nil))
	defer server.Close()
	bodyReader, bodyWriter := io.Pipe()
	go func() {
		_, _ = io.WriteString(bodyWriter, "{")
		<-started
		_, _ = io.WriteString(bodyWriter, "}")
		_ = bodyWriter.Close()
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = bodyWriter.CloseWithError(ctx.Err()) })
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL+RunPrefix+"/v1/completions", bodyReader)
	is.NoErr(err)
	req.Header.Set(headers.WeightSet, "a")
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	defer resp.Body.Close()
	close(started)
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(string(body), "first second")
	is.Equal(<-received, "{}")
}

func TestEndOfResponseIsWithheldUntilWeightsAreConfirmed(t *testing.T) {
	errChanged := errors.New("weights changed")
	for _, tt := range []struct {
		name, contentType string
		parts             []string
		complete          string
		truncated         string
	}{
		{"stream", "text/event-stream", []string{"data: 1\n\n", "data: [DONE]\n\n"}, "data: 1\n\ndata: [DONE]\n\n", "data: 1\n\ndata: "},
		{"stream with split end mark", "text/event-stream", []string{"data: 1\n\ndata: [DO", "NE]\n\n"}, "data: 1\n\ndata: [DONE]\n\n", "data: 1\n\ndata: "},
		{"object", "application/json", []string{`{"a":`, `1}`}, `{"a":1}`, `{"a":1`},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, body, err := sendRequest(t, nil, respond("a", tt.contentType, http.StatusOK, tt.parts...))
			is.NoErr(err)
			is.Equal(body, tt.complete)
			_, body, err = sendRequest(t, errChanged, respond("a", tt.contentType, http.StatusOK, tt.parts...))
			is.True(err != nil) // the connection is broken
			changeEvent := string(resumer.WeightsChangedEvent())
			is.True(strings.HasPrefix(tt.truncated+changeEvent, body)) // without the end
		})
	}
}

func TestEventsAreNotDelayed(t *testing.T) {
	is := is.New(t)
	b := &confirmedBody{
		ReadCloser: io.NopCloser(iotest.OneByteReader(strings.NewReader("data: 1\n\n"))),
		confirm:    func(context.Context) error { return nil }, stream: true,
	}
	buf := make([]byte, 64)
	var got int
	for got < len("data: 1\n\n") {
		n, err := b.Read(buf)
		is.NoErr(err)
		got += n
	}
}

// A broken response of the back end reaches no caller, is no crash, and may have run.
func TestBrokenHeadOfBackendIsUnknown(t *testing.T) {
	for _, form := range headtest.Broken {
		t.Run(form.Name, func(t *testing.T) {
			is := is.New(t)
			resp, body, err := sendRequest(t, nil, form.Handler(headers.WeightSet+": a\r\n", "no"))
			if strings.Contains(form.Name, "trailer") {
				is.True(err != nil) // the header has been sent
				return
			}
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusBadGateway)
			is.Equal(resp.Header.Get(headers.Outcome), headers.Unknown)
			is.Equal(resp.Header.Get(headers.Reason), string(outcome.Malformed))
			is.True(body != "no")
		})
	}
}
