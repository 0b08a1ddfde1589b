package callerapi

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/manifest"
	"github.com/nutmegdock/nutmegdock/internal/core/outcome"
	"github.com/nutmegdock/nutmegdock/internal/core/reducer"
	"github.com/nutmegdock/nutmegdock/internal/dispatcher"
	"github.com/nutmegdock/nutmegdock/internal/headers"
)

// newAPI returns an API that serves organisation o with the engine deployment chat and the service deployment book.
func newAPI(t testing.TB) *API {
	t.Helper()
	state := reducer.New()
	ref := &catalog.ArtifactRef{Name: "m", Version: "1", Digest: manifest.DigestOf([]byte("m"))}
	for i, r := range []catalog.Record{
		{Object: "organisation/o", Organisation: &catalog.Organisation{Key: manifest.DigestOf([]byte("key"))}},
		{Object: "template/chat", Template: &catalog.Template{Kind: catalog.KindEngine, Pool: "lm", Model: ref}},
		{Object: "template/book", Template: &catalog.Template{Kind: catalog.KindService, Pool: "sv", IdempotentRoutes: []string{"POST /searches"}}},
		{Object: "deployment/o/chat", Deployment: &catalog.Deployment{Template: "chat"}},
		{Object: "deployment/o/book", Deployment: &catalog.Deployment{Template: "book"}},
	} {
		r.ID = ident.ChangeID(fmt.Sprintf("00000000-0000-4000-8000-%012d", i))
		r.Author = "op"
		r.Time = time.Unix(0, 0)
		data, err := r.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if a := state.Apply(data); a.Verdict != reducer.Accepted {
			t.Fatalf("%s: %s %s", r.Object, a.Verdict, a.Reason)
		}
	}
	return &API{ViewState: func(fn func(*reducer.Reducer)) { fn(state) }, Logger: &log.Logger{Handler: discard.Default}}
}

// newTestHandler returns a handler that passes each decoded request to dispatch and responds with status 201 or the
// error.
func newTestHandler(t testing.TB, dispatch func(req dispatcher.Request) error) http.Handler {
	t.Helper()
	a := newAPI(t)
	a.Dispatch = func(_ context.Context, req dispatcher.Request) (*http.Response, error) {
		if err := dispatch(req); err != nil {
			return nil, err
		}
		rec := httptest.NewRecorder()
		rec.WriteHeader(http.StatusCreated)
		return rec.Result(), nil
	}
	return a.Handler()
}

func sendRequest(h http.Handler, method, path, body string, set func(http.Header)) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer key")
	if set != nil {
		set(r.Header)
	}
	rec := httptest.NewRecorder()
	h.ServeHTTP(rec, r)
	return rec
}

func TestInvalidRequestsAreRefused(t *testing.T) {
	h := newTestHandler(t, func(dispatcher.Request) error { return nil })
	header := func(k string, vs ...string) func(http.Header) {
		return func(h http.Header) { h[k] = vs }
	}
	for _, c := range []struct {
		name, method, path, body string
		set                      func(http.Header)
		status                   int
		code                     string
	}{
		{"no API key", "POST", "/v1/completions", `{}`, header("Authorization"), 401, "missing_api_key"},
		{"unknown API key", "POST", "/v1/completions", `{}`, header("Authorization", "Bearer other"), 401, "invalid_api_key"},
		{"malformed", "POST", "/v1/completions", `{"model":`, nil, 400, "invalid_json"},
		{"array body", "POST", "/v1/chat/completions", `[]`, nil, 400, "invalid_json"},
		{"trailing object", "POST", "/v1/completions", `{"model":"chat"}{}`, nil, 400, "invalid_json"},
		{"no model", "POST", "/v1/completions", `{}`, nil, 400, "missing_model"},
		{"negative max_tokens", "POST", "/v1/completions", `{"model":"chat","max_tokens":-1}`, nil, 400, "invalid_max_tokens"},
		{"negative resume", "POST", "/v1/completions", `{"model":"chat","resume":-1}`, nil, 400, "invalid_resume"},
		{"unknown deployment", "POST", "/v1/completions", `{"model":"none"}`, nil, 404, "model_not_found"},
		{"service as engine", "POST", "/v1/completions", `{"model":"book"}`, nil, 404, "model_not_found"},
		{"engine as service", "POST", "/services/chat/x", `{}`, nil, 404, "model_not_found"},
		{"body too large", "POST", "/services/book/x", strings.Repeat("x", maxBodyBytes+1), nil, 413, "body_too_large"},
		{"empty idempotency key", "POST", "/services/book/x", "", header(headers.CallerIdempotencyKey, ""), 400, "invalid_idempotency_key"},
		{"two idempotency keys", "POST", "/services/book/x", "", header(headers.CallerIdempotencyKey, "a", "b"), 400, "invalid_idempotency_key"},
		{"idempotency key too long", "POST", "/services/book/x", "", header(headers.CallerIdempotencyKey, strings.Repeat("k", 256)), 400, "invalid_idempotency_key"},
		{"unprintable idempotency key", "POST", "/services/book/x", "", header(headers.CallerIdempotencyKey, "a\x01"), 400, "invalid_idempotency_key"},
		{"unknown path", "POST", "/v2/x", "", nil, 404, "unknown_path"},
		{"wrong method", "GET", "/v1/completions", "", nil, 405, "wrong_method"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			rec := sendRequest(h, c.method, c.path, c.body, c.set)
			var e errorBody
			is.NoErr(json.Unmarshal(rec.Body.Bytes(), &e))
			is.Equal(rec.Code, c.status)
			is.Equal(e.Error.Code, c.code)
			is.Equal(e.Error.Outcome, outcome.NotRun)
			is.Equal(rec.Header().Get(headers.Outcome), headers.NotRun)
		})
	}
}

func TestServiceRequestsAreDecoded(t *testing.T) {
	var got dispatcher.Request
	h := newTestHandler(t, func(req dispatcher.Request) error { got = req; return nil })
	for _, c := range []struct {
		name, method, path string
		set                func(http.Header)
		repeatable         bool
		want               string
	}{
		{"route that is not idempotent", "POST", "/services/book/bookings?x=1", nil, false, "/bookings?x=1"},
		{"idempotent route", "POST", "/services/book/searches?x=1", nil, true, "/searches?x=1"},
		{"GET with escaped slash", "GET", "/services/book/bookings/a%2Fb", nil, true, "/bookings/a%2Fb"},
		{"escaped deployment name", "POST", "/services/%62ook/bookings", nil, false, "/bookings"},
		{"GET with method override", "GET", "/services/book/bookings", func(h http.Header) { h.Set("X-HTTP-Method-Override", "POST") }, false, "/bookings"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			rec := sendRequest(h, c.method, c.path, "", func(h http.Header) {
				h.Set(headers.RunPermit, "forged")
				h.Set("Nutmeg-Anything", "forged")
				if c.set != nil {
					c.set(h)
				}
			})
			is.Equal(rec.Code, http.StatusCreated)
			is.Equal(got.Repeatable, c.repeatable)
			is.Equal(got.Path, c.want)
			is.Equal(got.Header.Get(headers.RunPermit), "")
			is.Equal(got.Header.Get("Nutmeg-Anything"), "")
			is.Equal(got.Header.Get("Authorization"), "")
		})
	}
}

func TestDispatchErrorsBecomeResponses(t *testing.T) {
	var dispatchErr error
	h := newTestHandler(t, func(dispatcher.Request) error { return dispatchErr })
	for _, c := range []struct {
		err        error
		status     int
		kind       outcome.Kind
		retryAfter string
	}{
		{&outcome.Error{Kind: outcome.NotRun, Reason: outcome.LogUnavailable, RetryAfter: 1500 * time.Millisecond}, 503, outcome.NotRun, "2"},
		{&outcome.Error{Kind: outcome.NotRun, Reason: outcome.KeyConflict}, 422, outcome.NotRun, ""},
		{&outcome.Error{Kind: outcome.NotRun, Reason: outcome.Quarantined, RetryAfter: time.Minute}, 422, outcome.NotRun, "60"},
		{&outcome.Error{Kind: outcome.Unknown, Reason: outcome.ConnectionLost}, 502, outcome.Unknown, ""},
		{errors.New("x"), 500, outcome.Unknown, ""},
	} {
		is := is.New(t)
		dispatchErr = c.err
		rec := sendRequest(h, "POST", "/services/book/bookings", "", nil)
		is.Equal(rec.Code, c.status)
		is.Equal(rec.Header().Get(headers.Outcome), string(c.kind))
		is.Equal(rec.Header().Get("Retry-After"), c.retryAfter)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add("POST", "/v1/completions", `{"model":"chat","prompt":"x"}`, "k")
	f.Add("POST", "/services/book/bookings?x", `{"ref":"1"}`, "")
	f.Add("GET", "/services/%62ook/%2e%2e/x", ``, "\x00")
	f.Add("POST", "/v1/chat/completions", `{"model":"chat","messages":[{"role":1}]}`, "é")
	h := newTestHandler(f, func(req dispatcher.Request) error {
		if req.Deployment.Name == "" || req.ID == "" || !strings.HasPrefix(req.Path, "/") {
			panic("decoded request has no deployment, id or path")
		}
		return nil
	})
	f.Fuzz(func(t *testing.T, method, path, body, key string) {
		r, err := http.NewRequest(method, "http://h"+path, strings.NewReader(body))
		if err != nil {
			return
		}
		r.RequestURI = path
		r.Header.Set("Authorization", "Bearer key")
		r.Header[headers.CallerIdempotencyKey] = []string{key}
		rec := httptest.NewRecorder()
		h.ServeHTTP(rec, r)
		if rec.Code < 400 || rec.Code == http.StatusNotFound && rec.Body.Len() == 0 {
			return
		}
		var e errorBody
		if err := json.Unmarshal(rec.Body.Bytes(), &e); err != nil || e.Error.Code == "" || e.Error.Outcome == "" {
			t.Fatalf("status %d with body %q", rec.Code, rec.Body.String())
		}
	})
}
