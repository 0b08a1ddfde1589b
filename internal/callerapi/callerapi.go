// Package callerapi implements the HTTP API for the applications of organisations.
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

	"github.com/nutmegdock/nutmegdock/internal/core/bufferlimiter"
	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/manifest"
	"github.com/nutmegdock/nutmegdock/internal/core/reducer"
	"github.com/nutmegdock/nutmegdock/internal/dispatcher"
	"github.com/nutmegdock/nutmegdock/internal/engineapi"
)

const (
	maxBodyBytes        = 4 << 20
	bodyReadTimeout     = 30 * time.Second
	servicesPath        = "/services/"
	invalidRequestError = "invalid_request_error"
)

// API serves the requests of applications. Set its fields before calling Handler.
type API struct {
	// ViewState calls fn with the configuration state.
	ViewState func(fn func(*reducer.Reducer))
	// Dispatch sends a request to an endpoint.
	Dispatch func(ctx context.Context, req dispatcher.Request) (*http.Response, error)
	// Buffers bounds what is buffered for callers. Nil sets no bounds.
	Buffers *bufferlimiter.Limiter
	// Logger receives the events.
	Logger log.Interface
}

type accountKey struct{}

// Error is the refusal of an invalid request.
type Error struct {
	Status  int
	Type    string
	Code    string
	Message string
}

// Error returns the message.
func (e *Error) Error() string {
	return e.Message
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

// Handler returns the handler for all routes of the API.
func (a *API) Handler() http.Handler {
	opts := []kithttp.ServerOption{kithttp.ServerErrorEncoder(a.encodeError)}
	dispatch := endpoint.Endpoint(func(ctx context.Context, request any) (any, error) {
		return a.Dispatch(ctx, request.(dispatcher.Request))
	})
	list := endpoint.Endpoint(func(_ context.Context, request any) (any, error) {
		return a.models(request.(ident.Organisation)), nil
	})
	mux := http.NewServeMux()
	mux.Handle("POST "+engineapi.CompletionsPath, kithttp.NewServer(dispatch, a.decodeCompletion, a.encodeResponse, opts...))
	mux.Handle("POST "+engineapi.ChatPath, kithttp.NewServer(dispatch, a.decodeCompletion, a.encodeResponse, opts...))
	mux.Handle(servicesPath+"{deployment}/", kithttp.NewServer(dispatch, a.decodeService, a.encodeResponse, opts...))
	mux.HandleFunc("/", a.handleUnknownPath)
	for _, p := range []string{engineapi.CompletionsPath, engineapi.ChatPath, "/v1/models"} {
		mux.HandleFunc(p, a.handleWrongMethod)
	}
	mux.Handle("GET /v1/models", kithttp.NewServer(list, a.decodeList, kithttp.EncodeJSONResponse, opts...))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyReadTimeout))
		account, ok := a.Buffers.Open()
		if !ok {
			a.encodeError(r.Context(), memoryError("too much is buffered for callers"), w)
			return
		}
		defer account.Close()
		if r.ContentLength != 0 {
			account.BeginBody(r.ContentLength, func() {
				_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0)) // not supported only in tests
			})
		}
		r = r.WithContext(context.WithValue(r.Context(), accountKey{}, account))
		if r.RequestURI == "*" {
			// http.ServeMux would send a response without a body.
			a.handleUnknownPath(w, r)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// organisation returns the organisation whose API key the request carries.
func (a *API) organisation(r *http.Request) (ident.Organisation, error) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return "", &Error{Status: http.StatusUnauthorized, Type: invalidRequestError, Code: "missing_api_key", Message: "no bearer key; send Authorization: Bearer KEY"}
	}
	var org ident.Organisation
	a.ViewState(func(s *reducer.Reducer) { org, ok = s.OrganisationByKey(manifest.DigestOf([]byte(key))) })
	if !ok {
		return "", &Error{Status: http.StatusUnauthorized, Type: invalidRequestError, Code: "invalid_api_key", Message: "key is not known; ask the operator for a valid one"}
	}
	return org, nil
}

// deployment returns the named deployment of the caller's organisation if its back end is of the kind.
func (a *API) deployment(r *http.Request, name string, kind catalog.BackendKind) (catalog.EffectiveDeployment, error) {
	org, err := a.organisation(r)
	if err != nil {
		return catalog.EffectiveDeployment{}, err
	}
	var d catalog.EffectiveDeployment
	var ok bool
	a.ViewState(func(s *reducer.Reducer) { d, ok = s.Deployment(org, ident.Deployment(name)) })
	if !ok || d.Spec.Kind != kind {
		return d, &Error{Status: http.StatusNotFound, Type: invalidRequestError, Code: "model_not_found", Message: fmt.Sprintf("no %s deployment %q in organisation %q", kind, name, org)}
	}
	return d, nil
}

func (a *API) decodeList(_ context.Context, r *http.Request) (any, error) {
	return a.organisation(r)
}

func (a *API) models(org ident.Organisation) modelList {
	list := modelList{Object: "list", Data: []modelItem{}}
	a.ViewState(func(s *reducer.Reducer) {
		for _, d := range s.Deployments() {
			if d.Organisation == org && d.Spec.Kind == catalog.KindEngine {
				list.Data = append(list.Data, modelItem{ID: string(d.Name), Object: "model", Owner: string(org)})
			}
		}
	})
	return list
}
