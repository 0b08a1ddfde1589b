package callerapi

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/apex/log"

	"github.com/nutmegdock/nutmegdock/internal/core/outcome"
	"github.com/nutmegdock/nutmegdock/internal/endpointproxy"
	"github.com/nutmegdock/nutmegdock/internal/event"
	"github.com/nutmegdock/nutmegdock/internal/forwarder"
	"github.com/nutmegdock/nutmegdock/internal/headers"
)

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string       `json:"message"`
	Type    string       `json:"type"`
	Code    string       `json:"code"`
	Outcome outcome.Kind `json:"outcome"`
}

// encodeAnswer streams an answer to the caller. One that is cut breaks the connection, so that it cannot pass for whole.
func (a *API) encodeAnswer(_ context.Context, w http.ResponseWriter, answer any) error {
	resp := answer.(*http.Response)
	defer resp.Body.Close()
	endpointproxy.CopyHeader(w.Header(), resp.Header)
	w.WriteHeader(resp.StatusCode)
	err := forwarder.StreamBody(w, resp.Body)
	if err == nil {
		return nil
	}
	event.RequestFailed.Log(a.Logger, log.Fields{"request": resp.Header.Get(headers.Request), "error": err.Error()})
	panic(http.ErrAbortHandler)
}

func (a *API) notFound(w http.ResponseWriter, r *http.Request) {
	a.encodeError(r.Context(), bad(http.StatusNotFound, "unknown_path", "no such path; see docs/API.md"), w)
}

func (a *API) wrongMethod(w http.ResponseWriter, r *http.Request) {
	a.encodeError(r.Context(), bad(http.StatusMethodNotAllowed, "wrong_method", "path does not take method "+r.Method), w)
}

func (a *API) encodeError(_ context.Context, err error, w http.ResponseWriter) {
	status, d := describe(err)
	var o *outcome.Error
	if errors.As(err, &o) {
		w.Header().Set(headers.Reason, string(o.Reason))
		if o.After > 0 {
			w.Header().Set("Retry-After", strconv.Itoa(seconds(o.After)))
		}
	}
	w.Header().Set(headers.Outcome, string(d.Outcome))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(errorBody{Error: d})
}

func seconds(d time.Duration) int {
	return int(math.Ceil(d.Seconds()))
}

func describe(err error) (int, errorDetail) {
	var b *Error
	if errors.As(err, &b) {
		return b.Status, errorDetail{Message: b.Text, Type: b.Type, Code: b.Code, Outcome: outcome.NotRun}
	}
	var o *outcome.Error
	if errors.As(err, &o) {
		return status(o), errorDetail{Message: o.Error(), Type: "server_error", Code: string(o.Reason), Outcome: o.Kind}
	}
	return http.StatusInternalServerError, errorDetail{Message: err.Error(), Type: "server_error", Code: "internal", Outcome: outcome.Unknown}
}

func status(o *outcome.Error) int {
	switch {
	case o.Kind != outcome.NotRun:
		return http.StatusBadGateway
	case o.Reason == outcome.KeyConflict || o.Reason == outcome.Condemned:
		return http.StatusUnprocessableEntity
	}
	return http.StatusServiceUnavailable
}
