package adminapi

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/reducer"
	"github.com/nutmegdock/nutmegdock/internal/messages"
)

// Object is one configuration object with its path and the offset at which it was read.
type Object struct {
	Object ident.ObjectPath    `json:"object"`
	Entry  reducer.ObjectState `json:"entry"`
	Offset ident.Offset        `json:"offset"`
}

// Status is the state of the system as an entry host knows it.
type Status struct {
	Offset      ident.Offset                  `json:"offset"`
	Digest      ident.Digest                  `json:"digest"`
	Endpoints   []messages.Report             `json:"endpoints"`
	Deployments []catalog.EffectiveDeployment `json:"deployments"`
}

// RefusedAttempt is an operator's request that was refused.
type RefusedAttempt struct {
	Time          time.Time    `json:"time"`
	Author        ident.Author `json:"name,omitempty"`
	Action        string       `json:"action"`
	RemoteAddress string       `json:"from,omitempty"`
	Reason        string       `json:"reason"`
}

// ResponseError is an error response to an operator.
type ResponseError struct {
	// Status is the HTTP status.
	Status int    `json:"-"`
	Code   string `json:"code"`
	Text   string `json:"text"`
}

// Error returns the text.
func (e *ResponseError) Error() string {
	return e.Text
}

// HistoryQuery encodes a filter of the audit trail as query parameters of HistoryPath.
func HistoryQuery(f reducer.AuditFilter) url.Values {
	q := url.Values{}
	set := func(key, value string) {
		if value != "" {
			q.Set(key, value)
		}
	}
	set("object", f.Prefix)
	set("organisation", string(f.Organisation))
	set("author", string(f.Author))
	set("verdict", string(f.Verdict))
	if !f.Since.IsZero() {
		q.Set("since", f.Since.Format(time.RFC3339))
	}
	if f.Limit > 0 {
		q.Set("limit", strconv.Itoa(f.Limit))
	}
	return q
}

type changeRequest struct {
	Record catalog.Record
	// Dry requests a preview of the change's effects, without publishing it.
	Dry bool
}

type objectsRequest struct {
	prefix string
	// at is the log offset at which to read the objects. If it is nil, the current state is read.
	at *ident.Offset
}

func decodeChange(_ context.Context, r *http.Request) (any, error) {
	var q changeRequest
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&q.Record); err != nil {
		return nil, &ResponseError{Status: http.StatusBadRequest, Code: "malformed", Text: "body is not a change record: " + err.Error()}
	}
	if q.Record.ID == "" || q.Record.Object == "" {
		return nil, &ResponseError{Status: http.StatusBadRequest, Code: "malformed", Text: "change record needs id and object"}
	}
	q.Dry = r.URL.Query().Get("dry") == "true"
	return q, nil
}

func decodeObjects(_ context.Context, r *http.Request) (any, error) {
	q := objectsRequest{prefix: r.URL.Query().Get("prefix")}
	if s := r.URL.Query().Get("at"); s != "" {
		n, err := strconv.ParseInt(s, 10, 64)
		if err != nil || n < 0 {
			return nil, &ResponseError{Status: http.StatusBadRequest, Code: "malformed", Text: fmt.Sprintf("at %q is not an offset", s)}
		}
		at := ident.Offset(n)
		q.at = &at
	}
	return q, nil
}

func decodeHistory(_ context.Context, r *http.Request) (any, error) {
	q := r.URL.Query()
	f := reducer.AuditFilter{
		Prefix:       q.Get("object"),
		Organisation: ident.Organisation(q.Get("organisation")),
		Author:       ident.Author(q.Get("author")),
		Verdict:      reducer.Verdict(q.Get("verdict")),
	}
	if s := q.Get("since"); s != "" {
		t, err := time.Parse(time.RFC3339, s)
		if err != nil {
			return nil, &ResponseError{Status: http.StatusBadRequest, Code: "malformed", Text: fmt.Sprintf("since %q is not a time such as 2026-01-31T12:00:00Z", s)}
		}
		f.Since = t
	}
	if s := q.Get("limit"); s != "" {
		n, err := strconv.Atoi(s)
		if err != nil || n < 1 {
			return nil, &ResponseError{Status: http.StatusBadRequest, Code: "malformed", Text: fmt.Sprintf("limit %q is not a number above zero", s)}
		}
		f.Limit = n
	}
	return f, nil
}

func decodeUndo(_ context.Context, r *http.Request) (any, error) {
	return ident.ChangeID(r.PathValue("id")), nil
}
