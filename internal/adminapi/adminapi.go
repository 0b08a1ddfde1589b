// Package adminapi implements the admin API, the HTTP interface for operators.
package adminapi

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
	"github.com/nutmegdock/nutmegdock/internal/core/bufferlimiter"
	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/reducer"
	"github.com/nutmegdock/nutmegdock/internal/messages"
	"github.com/nutmegdock/nutmegdock/internal/publisher"
)

const (
	maxBodyBytes    = 1 << 20
	bodyReadTimeout = 10 * time.Second
	// bodyCopies is how often the text of a change is held: its body, the decoded record, and the record that is published.
	bodyCopies = 3
)

// Paths of the admin API.
const (
	ChangesPath  = "/admin/v1/changes"
	ObjectsPath  = "/admin/v1/objects"
	HistoryPath  = "/admin/v1/history"
	StatusPath   = "/admin/v1/status"
	AttemptsPath = "/admin/v1/attempts"
	// UndoPath, followed by a change's id, returns the record that reverses the change.
	UndoPath = "/admin/v1/undo/"
)

// Admin handles operators' requests. Set its fields before Register.
type Admin struct {
	// Authorizer checks the requests' tokens.
	Authorizer *authorizer.Authorizer
	// Publish appends a change to the configuration log and returns its audit entry.
	Publish func(ctx context.Context, rec catalog.Record) (reducer.AuditEntry, error)
	// Buffers bounds what is buffered for requests. Nil sets no bounds.
	Buffers *bufferlimiter.Limiter
	// View calls fn with the configuration state, which fn must not change.
	View func(fn func(*reducer.Reducer))
	// ResolveArtifact returns the digest of an artifact version.
	ResolveArtifact func(ctx context.Context, name, version string) (ident.Digest, error)
	// Reports returns the endpoint hosts' reports.
	Reports func() []messages.Report
	// RecordAttempt records a refused request.
	RecordAttempt func(ctx context.Context, a RefusedAttempt)
	// ListAttempts returns the recorded refused requests, oldest first.
	ListAttempts func(ctx context.Context) ([]RefusedAttempt, error)
}

type tokenKey struct{}

// Register adds the routes of the admin API.
func (a *Admin) Register(mux *http.ServeMux) {
	handle := func(pattern string, role authorizer.Role, e endpoint.Endpoint, dec kithttp.DecodeRequestFunc) {
		server := kithttp.NewServer(a.recordingRefusals(pattern, e), dec, kithttp.EncodeJSONResponse, kithttp.ServerErrorEncoder(encodeError))
		mux.Handle(pattern, a.requireRole(role, server))
	}
	handle("POST "+ChangesPath, authorizer.Operator, a.handleChange, decodeChange)
	handle("GET "+ObjectsPath, authorizer.Reader, a.handleObjects, decodeObjects)
	handle("GET "+HistoryPath, authorizer.Reader, a.handleHistory, decodeHistory)
	handle("GET "+UndoPath+"{id}", authorizer.Reader, a.handleUndo, decodeUndo)
	handle("GET "+StatusPath, authorizer.Reader, a.handleStatus, kithttp.NopRequestDecoder)
	handle("GET "+AttemptsPath, authorizer.Reader, a.handleAttempts, kithttp.NopRequestDecoder)
}

// requireRole passes on the requests whose token has the role, and refuses and records all others.
func (a *Admin) requireRole(role authorizer.Role, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		t, err := a.Authorizer.Authorize(r, role)
		if err != nil {
			a.recordRefusal(r.Context(), r.Method+" "+r.URL.Path, r.RemoteAddr, err)
			encodeError(r.Context(), err, w)
			return
		}
		account, ok := a.admitBody(w, r)
		defer account.Close()
		if !ok {
			encodeError(r.Context(), &ResponseError{Status: http.StatusServiceUnavailable, Code: "memory", Text: "too much is buffered; try again"}, w)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), tokenKey{}, t)))
	})
}

// admitBody charges the largest body that a request may have before any of it is read, and reports whether it may be. The account
// must be closed when the request ends.
func (a *Admin) admitBody(w http.ResponseWriter, r *http.Request) (*bufferlimiter.Account, bool) {
	size := r.ContentLength
	if size < 0 || size > maxBodyBytes {
		size = maxBodyBytes
	}
	account, ok := a.Buffers.Open()
	if !ok || size == 0 {
		return account, ok
	}
	setDeadline := func(t time.Time) { _ = http.NewResponseController(w).SetReadDeadline(t) } // not supported only in tests
	setDeadline(time.Now().Add(bodyReadTimeout))
	account.BeginBody(size, func() { setDeadline(time.Unix(1, 0)) })
	return account, account.GrowBody(int(size) * bodyCopies)
}

// recordingRefusals wraps a handler and records the refusals that the handler itself decides.
func (a *Admin) recordingRefusals(action string, next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, q any) (any, error) {
		out, err := next(ctx, q)
		var refused *authorizer.RefusalError
		if errors.As(err, &refused) {
			a.recordRefusal(ctx, action, "", err)
		}
		return out, err
	}
}

func (a *Admin) recordRefusal(ctx context.Context, action, from string, err error) {
	attempt := RefusedAttempt{Time: time.Now().UTC(), Action: action, RemoteAddress: from, Reason: err.Error()}
	var refused *authorizer.RefusalError
	if errors.As(err, &refused) {
		attempt.Author = refused.Name
	}
	a.RecordAttempt(ctx, attempt)
}

func tokenFrom(ctx context.Context) authorizer.Token {
	t, _ := ctx.Value(tokenKey{}).(authorizer.Token)
	return t
}

// handleChange publishes one change record.
func (a *Admin) handleChange(ctx context.Context, q any) (any, error) {
	req := q.(changeRequest)
	rec := req.Record
	token := tokenFrom(ctx)
	if err := token.MayChange(rec.Object); err != nil {
		return nil, err
	}
	rec.Author = token.Name
	rec.Time = time.Now().UTC()
	if err := a.resolveArtifacts(ctx, &rec); err != nil {
		return nil, err
	}
	if req.Dry {
		return a.preview(rec)
	}
	if faults := rec.Check(); len(faults) > 0 {
		err := &ResponseError{Status: http.StatusUnprocessableEntity, Code: "faults", Text: faultText(rec.Object, faults)}
		a.recordRefusal(ctx, "POST "+ChangesPath, "", err)
		return nil, err
	}
	return a.Publish(ctx, rec)
}

// resolveArtifacts completes the record's artifact references with their digests.
func (a *Admin) resolveArtifacts(ctx context.Context, rec *catalog.Record) error {
	for _, r := range rec.Refs() {
		if r.Digest != "" {
			continue
		}
		d, err := a.ResolveArtifact(ctx, r.Name, r.Version)
		if err != nil {
			return &ResponseError{Status: http.StatusUnprocessableEntity, Code: "artifact", Text: fmt.Sprintf("artifact %s@%s cannot be resolved; check name and version, or give its digest: %v", r.Name, r.Version, err)}
		}
		r.Digest = d
	}
	return nil
}

func (a *Admin) preview(rec catalog.Record) (out reducer.Preview, err error) {
	a.View(func(s *reducer.Reducer) { out, err = s.Preview(rec) })
	return out, err
}

func faultText(o ident.ObjectPath, faults []catalog.Fault) string {
	out := make([]string, len(faults))
	for i, f := range faults {
		out[i] = f.Field + " " + f.Text
	}
	return fmt.Sprintf("change of %s: %s", o, strings.Join(out, "; "))
}

func (a *Admin) handleObjects(_ context.Context, q any) (any, error) {
	var out []Object
	var err error
	a.View(func(s *reducer.Reducer) { out, err = listObjects(s, q.(objectsRequest)) })
	return out, err
}

func listObjects(s *reducer.Reducer, q objectsRequest) ([]Object, error) {
	out := []Object{}
	if q.at == nil {
		for _, o := range s.Objects(q.prefix) {
			e, _ := s.Object(o)
			out = append(out, Object{Object: o, Entry: e, Offset: s.Offset()})
		}
		return out, nil
	}
	past, err := s.ObjectsAt(*q.at)
	for o, e := range past {
		if !e.Record.Delete && strings.HasPrefix(string(o), q.prefix) {
			out = append(out, Object{Object: o, Entry: e, Offset: *q.at})
		}
	}
	slices.SortFunc(out, func(a, b Object) int { return strings.Compare(string(a.Object), string(b.Object)) })
	return out, err
}

func (a *Admin) handleHistory(_ context.Context, q any) (any, error) {
	var out []reducer.AuditEntry
	a.View(func(s *reducer.Reducer) { out = s.SelectAudit(q.(reducer.AuditFilter)) })
	return out, nil
}

func (a *Admin) handleUndo(_ context.Context, q any) (any, error) {
	var rec catalog.Record
	var err error
	a.View(func(s *reducer.Reducer) { rec, err = s.UndoRecord(q.(ident.ChangeID)) })
	return rec, err
}

func (a *Admin) handleStatus(context.Context, any) (any, error) {
	out := Status{Endpoints: a.Reports()}
	a.View(func(s *reducer.Reducer) {
		out.Offset = s.Offset()
		out.Digest = s.Digest()
		out.Deployments = s.Deployments()
	})
	return out, nil
}

func (a *Admin) handleAttempts(ctx context.Context, _ any) (any, error) {
	return a.ListAttempts(ctx)
}

func encodeError(_ context.Context, err error, w http.ResponseWriter) {
	e := toError(err)
	w.Header().Set("Content-Type", "application/json")
	if e.Status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	w.WriteHeader(e.Status)
	_ = json.NewEncoder(w).Encode(e)
}

// toError maps an error to a response with a status and a code.
func toError(err error) *ResponseError {
	var known *ResponseError
	if errors.As(err, &known) {
		return known
	}
	var refused *authorizer.RefusalError
	if errors.As(err, &refused) {
		return &ResponseError{Status: refused.Status, Code: "refused", Text: refused.Text}
	}
	var unconfirmed *publisher.UnconfirmedError
	if errors.As(err, &unconfirmed) {
		return &ResponseError{Status: http.StatusServiceUnavailable, Code: "unknown", Text: unconfirmed.Error()}
	}
	var outOfRange *reducer.OffsetRangeError
	if errors.As(err, &outOfRange) {
		return &ResponseError{Status: http.StatusNotFound, Code: "horizon", Text: outOfRange.Error()}
	}
	var invalid *catalog.RecordError
	if errors.As(err, &invalid) {
		return &ResponseError{Status: http.StatusUnprocessableEntity, Code: "record", Text: invalid.Error()}
	}
	return &ResponseError{Status: http.StatusInternalServerError, Code: "internal", Text: err.Error()}
}
