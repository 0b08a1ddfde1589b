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

// encodeResponse streams a response to the caller. If the response is interrupted, it aborts the connection, so that
// the caller cannot mistake the response for a complete one.
func (a *API) encodeResponse(_ context.Context, w http.ResponseWriter, response any) error {
	resp := response.(*http.Response)
	defer resp.Body.Close()
	endpointproxy.CopyHeader(w.Header(), resp.Header)
	w.WriteHeader(resp.StatusCode)
	err := forwarder.StreamBody(w, resp.Body)
	if err == nil {
		return nil
	}
	event.RequestFailed.Log(a.Logger, log.Fields{"request": resp.Header.Get(headers.RequestID), "error": err.Error()})
	panic(http.ErrAbortHandler)
}

func (a *API) handleUnknownPath(w http.ResponseWriter, r *http.Request) {
	a.encodeError(r.Context(), requestError(http.StatusNotFound, "unknown_path", "no such path; see docs/API.md"), w)
}

func (a *API) handleWrongMethod(w http.ResponseWriter, r *http.Request) {
	a.encodeError(r.Context(), requestError(http.StatusMethodNotAllowed, "wrong_method", "path does not take method "+r.Method), w)
}

func (a *API) encodeError(_ context.Context, err error, w http.ResponseWriter) {
	status, detail := errorResponse(err)
	var o *outcome.Error
	if errors.As(err, &o) {
		w.Header().Set(headers.Reason, string(o.Reason))
		if o.RetryAfter > 0 {
			w.Header().Set("Retry-After", strconv.Itoa(retryAfterSeconds(o.RetryAfter)))
		}
	}
	w.Header().Set(headers.Outcome, string(detail.Outcome))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(errorBody{Error: detail})
}

func retryAfterSeconds(d time.Duration) int {
	return int(math.Ceil(d.Seconds()))
}

// errorResponse returns the HTTP status and the details of an error.
func errorResponse(err error) (int, errorDetail) {
	var e *Error
	if errors.As(err, &e) {
		return e.Status, errorDetail{Message: e.Message, Type: e.Type, Code: e.Code, Outcome: outcome.NotRun}
	}
	var o *outcome.Error
	if errors.As(err, &o) {
		return errorStatus(o), errorDetail{Message: o.Error(), Type: "server_error", Code: string(o.Reason), Outcome: o.Kind}
	}
	return http.StatusInternalServerError, errorDetail{Message: err.Error(), Type: "server_error", Code: "internal", Outcome: outcome.Unknown}
}

func errorStatus(o *outcome.Error) int {
	switch {
	case o.Kind != outcome.NotRun:
		return http.StatusBadGateway
	case o.Reason == outcome.KeyConflict || o.Reason == outcome.Quarantined:
		return http.StatusUnprocessableEntity
	}
	return http.StatusServiceUnavailable
}
