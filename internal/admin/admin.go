// Package admin is the HTTP interface for operators.
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"

	"github.com/nutmegdock/nutmegdock/internal/authorizer"
	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/reducer"
	"github.com/nutmegdock/nutmegdock/internal/messages"
	"github.com/nutmegdock/nutmegdock/internal/publisher"
)

const maxBodyBytes = 1 << 20

// Paths of the interface.
const (
	ChangesPath  = "/admin/v1/changes"
	ObjectsPath  = "/admin/v1/objects"
	HistoryPath  = "/admin/v1/history"
	StatusPath   = "/admin/v1/status"
	AttemptsPath = "/admin/v1/attempts"
	// UndoPath, followed by a change's id, gives the record that reverses it.
	UndoPath = "/admin/v1/undo/"
)

// Admin answers operators. Set its fields before Register.
type Admin struct {
	// Authorizer knows the tokens.
	Authorizer *authorizer.Authorizer
	// Publish appends a change and returns what became of it.
	Publish func(ctx context.Context, rec catalog.Record) (reducer.Audit, error)
	// View gives access to the configuration state.
	View func(fn func(*reducer.Reducer))
	// Resolve finds the digest of an artifact version.
	Resolve func(ctx context.Context, name, version string) (ident.Digest, error)
	// Reports returns the endpoints' reports.
	Reports func() []messages.Report
	// Refused records an attempt that was refused.
	Refused func(ctx context.Context, a Attempt)
	// Attempts returns the refused attempts on record, oldest first.
	Attempts func(ctx context.Context) ([]Attempt, error)
}

type tokenKey struct{}

// Register adds the interface's routes.
func (a *Admin) Register(mux *http.ServeMux) {
	handle := func(pattern string, role authorizer.Role, e endpoint.Endpoint, dec kithttp.DecodeRequestFunc) {
		server := kithttp.NewServer(a.recorded(pattern, e), dec, kithttp.EncodeJSONResponse, kithttp.ServerErrorEncoder(encodeError))
		mux.Handle(pattern, a.require(role, server))
	}
	handle("POST "+ChangesPath, authorizer.Operator, a.change, decodeChange)
	handle("GET "+ObjectsPath, authorizer.Reader, a.objects, decodeObjects)
	handle("GET "+HistoryPath, authorizer.Reader, a.history, decodeHistory)
	handle("GET "+UndoPath+"{id}", authorizer.Reader, a.undo, decodeUndo)
	handle("GET "+StatusPath, authorizer.Reader, a.status, kithttp.NopRequestDecoder)
	handle("GET "+AttemptsPath, authorizer.Reader, a.attempts, kithttp.NopRequestDecoder)
}

func (a *Admin) require(role authorizer.Role, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		t, err := a.Authorizer.Authorize(r, role)
		if err != nil {
			a.record(r.Context(), r.Method+" "+r.URL.Path, r.RemoteAddr, err)
			encodeError(r.Context(), err, w)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), tokenKey{}, t)))
	})
}

// recorded records the refusals that a handler itself decides.
func (a *Admin) recorded(action string, next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, q any) (any, error) {
		out, err := next(ctx, q)
		var refused *authorizer.Error
		if errors.As(err, &refused) {
			a.record(ctx, action, "", err)
		}
		return out, err
	}
}

func (a *Admin) record(ctx context.Context, action, from string, err error) {
	at := Attempt{Time: time.Now().UTC(), Action: action, From: from, Reason: err.Error()}
	var refused *authorizer.Error
	if errors.As(err, &refused) {
		at.Name = refused.Name
	}
	a.Refused(ctx, at)
}

func tokenOf(ctx context.Context) authorizer.Token {
	t, _ := ctx.Value(tokenKey{}).(authorizer.Token)
	return t
}

// change publishes one change record.
func (a *Admin) change(ctx context.Context, q any) (any, error) {
	req := q.(changeRequest)
	rec := req.Record
	token := tokenOf(ctx)
	if err := token.MayChange(rec.Object); err != nil {
		return nil, err
	}
	rec.Author = token.Name
	rec.Time = time.Now().UTC()
	if err := a.resolve(ctx, &rec); err != nil {
		return nil, err
	}
	if req.Dry {
		return a.preview(rec)
	}
	if faults := rec.Check(); len(faults) > 0 {
		err := &Error{Status: http.StatusUnprocessableEntity, Code: "faults", Text: faultText(rec.Object, faults)}
		a.record(ctx, "POST "+ChangesPath, "", err)
		return nil, err
	}
	return a.Publish(ctx, rec)
}

func (a *Admin) resolve(ctx context.Context, rec *catalog.Record) error {
	for _, r := range rec.Refs() {
		if r.Digest != "" {
			continue
		}
		d, err := a.Resolve(ctx, r.Name, r.Version)
		if err != nil {
			return &Error{Status: http.StatusUnprocessableEntity, Code: "artifact", Text: fmt.Sprintf("artifact %s@%s cannot be resolved; check name and version, or give its digest: %v", r.Name, r.Version, err)}
		}
		r.Digest = d
	}
	return nil
}

func (a *Admin) preview(rec catalog.Record) (out reducer.Preview, err error) {
	a.View(func(s *reducer.Reducer) { out, err = s.Preview(rec) })
	return out, err
}

func faultText(o ident.Object, faults []catalog.Fault) string {
	out := make([]string, len(faults))
	for i, f := range faults {
		out[i] = f.Field + " " + f.Text
	}
	return fmt.Sprintf("change of %s: %s", o, strings.Join(out, "; "))
}

func (a *Admin) objects(_ context.Context, q any) (any, error) {
	var out []Object
	var err error
	a.View(func(s *reducer.Reducer) { out, err = list(s, q.(objectsRequest)) })
	return out, err
}

func list(s *reducer.Reducer, q objectsRequest) ([]Object, error) {
	out := []Object{}
	if q.at == nil {
		for _, o := range s.Objects(q.prefix) {
			e, _ := s.Object(o)
			out = append(out, Object{Object: o, Entry: e, Offset: s.Offset()})
		}
		return out, nil
	}
	past, err := s.At(*q.at)
	for o, e := range past {
		if !e.Record.Delete && strings.HasPrefix(string(o), q.prefix) {
			out = append(out, Object{Object: o, Entry: e, Offset: *q.at})
		}
	}
	slices.SortFunc(out, func(a, b Object) int { return strings.Compare(string(a.Object), string(b.Object)) })
	return out, err
}

func (a *Admin) history(_ context.Context, q any) (any, error) {
	var out []reducer.Audit
	a.View(func(s *reducer.Reducer) { out = s.Select(q.(reducer.Filter)) })
	return out, nil
}

func (a *Admin) undo(_ context.Context, q any) (any, error) {
	var rec catalog.Record
	var err error
	a.View(func(s *reducer.Reducer) { rec, err = s.Undo(q.(ident.Change)) })
	return rec, err
}

func (a *Admin) status(context.Context, any) (any, error) {
	out := Status{Endpoints: a.Reports()}
	a.View(func(s *reducer.Reducer) {
		out.Offset = s.Offset()
		out.Digest = s.Digest()
		out.Deployments = s.Deployments()
	})
	return out, nil
}

func (a *Admin) attempts(ctx context.Context, _ any) (any, error) {
	return a.Attempts(ctx)
}

func encodeError(_ context.Context, err error, w http.ResponseWriter) {
	e := describe(err)
	w.Header().Set("Content-Type", "application/json")
	if e.Status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	w.WriteHeader(e.Status)
	_ = json.NewEncoder(w).Encode(e)
}

func describe(err error) *Error {
	var known *Error
	if errors.As(err, &known) {
		return known
	}
	var refused *authorizer.Error
	if errors.As(err, &refused) {
		return &Error{Status: refused.Status, Code: "refused", Text: refused.Text}
	}
	var unknown *publisher.UnknownError
	if errors.As(err, &unknown) {
		return &Error{Status: http.StatusServiceUnavailable, Code: "unknown", Text: unknown.Error()}
	}
	var horizon *reducer.HorizonError
	if errors.As(err, &horizon) {
		return &Error{Status: http.StatusNotFound, Code: "horizon", Text: horizon.Error()}
	}
	var bad *catalog.Error
	if errors.As(err, &bad) {
		return &Error{Status: http.StatusUnprocessableEntity, Code: "record", Text: bad.Error()}
	}
	return &Error{Status: http.StatusInternalServerError, Code: "internal", Text: err.Error()}
}
