// Package callers is the HTTP interface for the organisations' applications.
package callers

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"
	"github.com/google/uuid"

	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/manifest"
	"github.com/nutmegdock/nutmegdock/internal/core/outcome"
	"github.com/nutmegdock/nutmegdock/internal/core/reducer"
	"github.com/nutmegdock/nutmegdock/internal/dispatcher"
	"github.com/nutmegdock/nutmegdock/internal/engineapi"
	"github.com/nutmegdock/nutmegdock/internal/event"
	"github.com/nutmegdock/nutmegdock/internal/forwarder"
	"github.com/nutmegdock/nutmegdock/internal/headers"
	"github.com/nutmegdock/nutmegdock/internal/runner"
)

const (
	maxBodyBytes = 4 << 20
	readTime     = 30 * time.Second
	servicesPath = "/services/"
)

// Callers answers the applications. Set its fields before Handler.
type Callers struct {
	// View gives access to the configuration state.
	View func(fn func(*reducer.Reducer))
	// Dispatch sends a request to an endpoint.
	Dispatch func(ctx context.Context, j dispatcher.Job) (*http.Response, error)
	// Logger receives the events.
	Logger log.Interface
}

// Error is a request that is refused because of what it asks.
type Error struct {
	Status int
	Type   string
	Code   string
	Text   string
}

// Error gives the text.
func (e *Error) Error() string {
	return e.Text
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string       `json:"message"`
	Type    string       `json:"type"`
	Code    string       `json:"code"`
	Outcome outcome.Kind `json:"outcome"`
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	Owner   string `json:"owned_by"`
}

// Handler returns the interface's routes.
func (c *Callers) Handler() http.Handler {
	opts := []kithttp.ServerOption{kithttp.ServerErrorEncoder(c.encodeError)}
	dispatch := endpoint.Endpoint(func(ctx context.Context, q any) (any, error) {
		return c.Dispatch(ctx, q.(dispatcher.Job))
	})
	list := endpoint.Endpoint(func(_ context.Context, q any) (any, error) {
		return c.models(q.(ident.Organisation)), nil
	})
	mux := http.NewServeMux()
	mux.Handle("POST "+engineapi.CompletionsPath, kithttp.NewServer(dispatch, c.decodeCompletion, c.encodeAnswer, opts...))
	mux.Handle("POST "+engineapi.ChatPath, kithttp.NewServer(dispatch, c.decodeCompletion, c.encodeAnswer, opts...))
	mux.Handle(servicesPath+"{deployment}/", kithttp.NewServer(dispatch, c.decodeService, c.encodeAnswer, opts...))
	mux.Handle("GET /v1/models", kithttp.NewServer(list, c.decodeList, kithttp.EncodeJSONResponse, opts...))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(readTime))
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		mux.ServeHTTP(w, r)
	})
}

func (c *Callers) organisation(r *http.Request) (ident.Organisation, error) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return "", &Error{Status: http.StatusUnauthorized, Type: "invalid_request_error", Code: "missing_api_key", Text: "no bearer key; send Authorization: Bearer KEY"}
	}
	var org ident.Organisation
	c.View(func(s *reducer.Reducer) { org, ok = s.Organisation(manifest.Sum([]byte(key))) })
	if !ok {
		return "", &Error{Status: http.StatusUnauthorized, Type: "invalid_request_error", Code: "invalid_api_key", Text: "key is not known; ask the operator for a valid one"}
	}
	return org, nil
}

func (c *Callers) deployment(r *http.Request, name string, kind catalog.Kind) (catalog.Effective, error) {
	org, err := c.organisation(r)
	if err != nil {
		return catalog.Effective{}, err
	}
	var d catalog.Effective
	var ok bool
	c.View(func(s *reducer.Reducer) { d, ok = s.Deployment(org, ident.Deployment(name)) })
	if !ok || d.Spec.Kind != kind {
		return d, &Error{Status: http.StatusNotFound, Type: "invalid_request_error", Code: "model_not_found", Text: fmt.Sprintf("no %s deployment %q in organisation %q", kind, name, org)}
	}
	return d, nil
}

func (c *Callers) readBody(r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(r.Body)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, &Error{Status: http.StatusRequestEntityTooLarge, Type: "invalid_request_error", Code: "body_too_large", Text: fmt.Sprintf("body exceeds %d bytes", tooLarge.Limit)}
	}
	if err != nil {
		return nil, &Error{Status: http.StatusBadRequest, Type: "invalid_request_error", Code: "body_unreadable", Text: err.Error()}
	}
	return body, nil
}

func (c *Callers) decodeCompletion(_ context.Context, r *http.Request) (any, error) {
	if _, err := c.organisation(r); err != nil {
		return nil, err
	}
	body, err := c.readBody(r)
	if err != nil {
		return nil, err
	}
	var q engineapi.Request
	if err := json.Unmarshal(body, &q); err != nil {
		return nil, &Error{Status: http.StatusBadRequest, Type: "invalid_request_error", Code: "invalid_json", Text: "body is not a completion request: " + err.Error()}
	}
	d, err := c.deployment(r, q.Model, catalog.KindEngine)
	if err != nil {
		return nil, err
	}
	return c.job(r, d, r.URL.Path, body, true), nil
}

func (c *Callers) decodeService(_ context.Context, r *http.Request) (any, error) {
	name := r.PathValue("deployment")
	d, err := c.deployment(r, name, catalog.KindService)
	if err != nil {
		return nil, err
	}
	body, err := c.readBody(r)
	if err != nil {
		return nil, err
	}
	path := strings.TrimPrefix(r.URL.EscapedPath(), servicesPath+name)
	repeatable := r.Method == http.MethodGet || r.Method == http.MethodHead || r.Method == http.MethodOptions
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return c.job(r, d, path, body, repeatable), nil
}

func (c *Callers) job(r *http.Request, d catalog.Effective, path string, body []byte, repeatable bool) dispatcher.Job {
	h := make(http.Header)
	runner.CopyHeader(h, r.Header)
	for _, k := range []string{"Authorization", headers.CallerKey, headers.Key, headers.Set, headers.Request, headers.Outcome, headers.Reason, headers.Offset} {
		h.Del(k)
	}
	return dispatcher.Job{
		ID: ident.Request(uuid.NewString()), Deployment: d, Method: r.Method, Path: path, Header: h,
		Body: body, Key: r.Header.Get(headers.CallerKey), Repeatable: repeatable,
	}
}

func (c *Callers) decodeList(_ context.Context, r *http.Request) (any, error) {
	return c.organisation(r)
}

func (c *Callers) models(org ident.Organisation) modelList {
	out := modelList{Object: "list", Data: []modelItem{}}
	c.View(func(s *reducer.Reducer) {
		for _, d := range s.Deployments() {
			if d.Organisation == org && d.Spec.Kind == catalog.KindEngine {
				out.Data = append(out.Data, modelItem{ID: string(d.Name), Object: "model", Owner: string(org)})
			}
		}
	})
	return out
}

func (c *Callers) encodeAnswer(_ context.Context, w http.ResponseWriter, answer any) error {
	resp := answer.(*http.Response)
	defer resp.Body.Close()
	runner.CopyHeader(w.Header(), resp.Header)
	w.WriteHeader(resp.StatusCode)
	body := &tail{Reader: resp.Body}
	err := forwarder.Copy(w, body)
	stream := strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
	if err == nil && (!stream || body.done()) {
		return nil
	}
	event.RequestFailed.Log(c.Logger, log.Fields{"request": resp.Header.Get(headers.Request)})
	panic(http.ErrAbortHandler)
}

// tail remembers the end of what was read.
type tail struct {
	io.Reader
	last []byte
}

const tailBytes = 64

// Read reads and remembers.
func (t *tail) Read(p []byte) (int, error) {
	n, err := t.Reader.Read(p)
	t.last = append(t.last, p[:n]...)
	if len(t.last) > tailBytes {
		t.last = append([]byte(nil), t.last[len(t.last)-tailBytes:]...)
	}
	return n, err
}

func (t *tail) done() bool {
	return bytes.HasSuffix(bytes.TrimSpace(t.last), []byte("data: "+engineapi.DoneMark))
}

func (c *Callers) encodeError(_ context.Context, err error, w http.ResponseWriter) {
	status, d := describe(err)
	var o *outcome.Error
	if errors.As(err, &o) {
		w.Header().Set(headers.Reason, string(o.Reason))
		if o.After > 0 {
			w.Header().Set("Retry-After", strconv.Itoa(max(1, int(o.After.Seconds()))))
		}
	}
	w.Header().Set(headers.Outcome, string(d.Outcome))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(errorBody{Error: d})
}

func describe(err error) (int, errorDetail) {
	var bad *Error
	if errors.As(err, &bad) {
		return bad.Status, errorDetail{Message: bad.Text, Type: bad.Type, Code: bad.Code, Outcome: outcome.NotRun}
	}
	var o *outcome.Error
	if errors.As(err, &o) {
		status := http.StatusBadGateway
		if o.Kind == outcome.NotRun {
			status = http.StatusServiceUnavailable
		}
		return status, errorDetail{Message: o.Error(), Type: "server_error", Code: string(o.Reason), Outcome: o.Kind}
	}
	return http.StatusInternalServerError, errorDetail{Message: err.Error(), Type: "server_error", Code: "internal", Outcome: outcome.Unknown}
}
