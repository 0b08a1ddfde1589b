// Package callerapi is the HTTP interface for the organisations' applications.
package callerapi

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"

	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/manifest"
	"github.com/nutmegdock/nutmegdock/internal/core/reducer"
	"github.com/nutmegdock/nutmegdock/internal/dispatcher"
	"github.com/nutmegdock/nutmegdock/internal/engineapi"
)

const (
	maxBodyBytes = 4 << 20
	readTime     = 30 * time.Second
	servicesPath = "/services/"
	invalid      = "invalid_request_error"
)

// API answers the applications. Set its fields before Handler.
type API struct {
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
func (a *API) Handler() http.Handler {
	opts := []kithttp.ServerOption{kithttp.ServerErrorEncoder(a.encodeError)}
	dispatch := endpoint.Endpoint(func(ctx context.Context, q any) (any, error) {
		return a.Dispatch(ctx, q.(dispatcher.Job))
	})
	list := endpoint.Endpoint(func(_ context.Context, q any) (any, error) {
		return a.models(q.(ident.Organisation)), nil
	})
	mux := http.NewServeMux()
	mux.Handle("POST "+engineapi.CompletionsPath, kithttp.NewServer(dispatch, a.decodeCompletion, a.encodeAnswer, opts...))
	mux.Handle("POST "+engineapi.ChatPath, kithttp.NewServer(dispatch, a.decodeCompletion, a.encodeAnswer, opts...))
	mux.Handle(servicesPath+"{deployment}/", kithttp.NewServer(dispatch, a.decodeService, a.encodeAnswer, opts...))
	mux.HandleFunc("/", a.notFound)
	for _, p := range []string{engineapi.CompletionsPath, engineapi.ChatPath, "/v1/models"} {
		mux.HandleFunc(p, a.wrongMethod)
	}
	mux.Handle("GET /v1/models", kithttp.NewServer(list, a.decodeList, kithttp.EncodeJSONResponse, opts...))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(readTime))
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		if r.RequestURI == "*" {
			// The multiplexer would answer it without a body.
			a.notFound(w, r)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func (a *API) organisation(r *http.Request) (ident.Organisation, error) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return "", &Error{Status: http.StatusUnauthorized, Type: invalid, Code: "missing_api_key", Text: "no bearer key; send Authorization: Bearer KEY"}
	}
	var org ident.Organisation
	a.View(func(s *reducer.Reducer) { org, ok = s.Organisation(manifest.Sum([]byte(key))) })
	if !ok {
		return "", &Error{Status: http.StatusUnauthorized, Type: invalid, Code: "invalid_api_key", Text: "key is not known; ask the operator for a valid one"}
	}
	return org, nil
}

func (a *API) deployment(r *http.Request, name string, kind catalog.Kind) (catalog.Effective, error) {
	org, err := a.organisation(r)
	if err != nil {
		return catalog.Effective{}, err
	}
	var d catalog.Effective
	var ok bool
	a.View(func(s *reducer.Reducer) { d, ok = s.Deployment(org, ident.Deployment(name)) })
	if !ok || d.Spec.Kind != kind {
		return d, &Error{Status: http.StatusNotFound, Type: invalid, Code: "model_not_found", Text: fmt.Sprintf("no %s deployment %q in organisation %q", kind, name, org)}
	}
	return d, nil
}

func (a *API) decodeList(_ context.Context, r *http.Request) (any, error) {
	return a.organisation(r)
}

func (a *API) models(org ident.Organisation) modelList {
	out := modelList{Object: "list", Data: []modelItem{}}
	a.View(func(s *reducer.Reducer) {
		for _, d := range s.Deployments() {
			if d.Organisation == org && d.Spec.Kind == catalog.KindEngine {
				out.Data = append(out.Data, modelItem{ID: string(d.Name), Object: "model", Owner: string(org)})
			}
		}
	})
	return out
}
