// Package admin is the HTTP interface for operators.
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/apex/log"
	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"

	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/manifest"
	"github.com/nutmegdock/nutmegdock/internal/core/reducer"
	"github.com/nutmegdock/nutmegdock/internal/event"
	"github.com/nutmegdock/nutmegdock/internal/messages"
)

const (
	maxBodyBytes = 1 << 20
	acceptTime   = 5 * time.Second
	retryWait    = 200 * time.Millisecond
)

// Role bounds what a token may do.
type Role string

// Roles of tokens.
const (
	Reader   Role = "reader"
	Operator Role = "operator"
)

// Token is one operator's access. Digest is the SHA-256 sum of the secret.
type Token struct {
	Name   ident.Author `json:"name"`
	Role   Role         `json:"role"`
	Digest ident.Digest `json:"digest"`
}

// Object is one configuration object with its path.
type Object struct {
	Object ident.Object  `json:"object"`
	Entry  reducer.Entry `json:"entry"`
	Offset ident.Offset  `json:"offset"`
}

// Status is an entry host's picture of the system.
type Status struct {
	Offset      ident.Offset        `json:"offset"`
	Digest      ident.Digest        `json:"digest"`
	Endpoints   []messages.Report   `json:"endpoints"`
	Deployments []catalog.Effective `json:"deployments"`
}

// Error is a refusal or failure towards an operator.
type Error struct {
	Status int    `json:"-"`
	Code   string `json:"code"`
	Text   string `json:"text"`
}

// Error gives the text.
func (e *Error) Error() string {
	return e.Text
}

// Admin answers operators. Set its fields before Handler.
type Admin struct {
	// Tokens lists who has access.
	Tokens []Token
	// Append adds a record to the configuration log.
	Append func(ctx context.Context, data []byte) (ident.Offset, error)
	// View gives access to the configuration state.
	View func(fn func(*reducer.Reducer))
	// Changed returns a channel that is closed at the next change of the state.
	Changed func() <-chan struct{}
	// Resolve finds the digest of an artifact version.
	Resolve func(ctx context.Context, name, version string) (ident.Digest, error)
	// Reports returns the endpoints' reports.
	Reports func() []messages.Report
	// Logger receives the events.
	Logger log.Interface
}

// LoadTokens reads the tokens file.
func LoadTokens(path string) ([]Token, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("tokens: %w", err)
	}
	var out []Token
	if err := json.Unmarshal(data, &out); err != nil {
		return nil, fmt.Errorf("tokens %s: %w", path, err)
	}
	return out, nil
}

type authorKey struct{}

// Register adds the interface's routes.
func (a *Admin) Register(mux *http.ServeMux) {
	opts := []kithttp.ServerOption{kithttp.ServerErrorEncoder(encodeError)}
	handle := func(pattern string, role Role, e endpoint.Endpoint, dec kithttp.DecodeRequestFunc) {
		mux.Handle(pattern, a.require(role, kithttp.NewServer(e, dec, kithttp.EncodeJSONResponse, opts...)))
	}
	handle("POST /admin/v1/changes", Operator, a.change, decodeChange)
	handle("GET /admin/v1/objects", Reader, a.objects, decodePrefix)
	handle("GET /admin/v1/history", Reader, a.history, kithttp.NopRequestDecoder)
	handle("GET /admin/v1/status", Reader, a.status, kithttp.NopRequestDecoder)
}

func (a *Admin) require(role Role, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		t, ok := a.token(r)
		if !ok {
			a.refuse(w, r, &Error{Status: http.StatusUnauthorized, Code: "token", Text: "token is missing or not known"})
			return
		}
		if role == Operator && t.Role != Operator {
			a.refuse(w, r, &Error{Status: http.StatusForbidden, Code: "role", Text: fmt.Sprintf("token %q may only read", t.Name)})
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), authorKey{}, t.Name)))
	})
}

func (a *Admin) refuse(w http.ResponseWriter, r *http.Request, err *Error) {
	event.AdminRefused.Log(a.Logger, log.Fields{"path": r.URL.Path, "method": r.Method, "from": r.RemoteAddr, "reason": err.Code})
	encodeError(r.Context(), err, w)
}

func (a *Admin) token(r *http.Request) (Token, bool) {
	const prefix = "Bearer "
	auth := r.Header.Get("Authorization")
	if len(auth) <= len(prefix) || auth[:len(prefix)] != prefix {
		return Token{}, false
	}
	d := manifest.Sum([]byte(auth[len(prefix):]))
	for _, t := range a.Tokens {
		if t.Digest == d {
			return t, true
		}
	}
	return Token{}, false
}

func decodeChange(_ context.Context, r *http.Request) (any, error) {
	var rec catalog.Record
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&rec); err != nil {
		return nil, &Error{Status: http.StatusBadRequest, Code: "malformed", Text: "body is not a change record: " + err.Error()}
	}
	if rec.ID == "" || rec.Object == "" {
		return nil, &Error{Status: http.StatusBadRequest, Code: "malformed", Text: "change record needs id and object"}
	}
	return rec, nil
}

func decodePrefix(_ context.Context, r *http.Request) (any, error) {
	return r.URL.Query().Get("prefix"), nil
}

func (a *Admin) change(ctx context.Context, q any) (any, error) {
	rec := q.(catalog.Record)
	rec.Author, _ = ctx.Value(authorKey{}).(ident.Author)
	rec.Time = time.Now().UTC()
	if err := a.resolve(ctx, &rec); err != nil {
		return nil, err
	}
	data, err := rec.Encode()
	if err != nil {
		return nil, fmt.Errorf("change: %w", err)
	}
	return a.publish(ctx, rec.ID, data)
}

func (a *Admin) resolve(ctx context.Context, rec *catalog.Record) error {
	var refs []*catalog.Ref
	if t := rec.Template; t != nil {
		refs = append(refs, t.Model)
		for i := range t.Adapters {
			refs = append(refs, &t.Adapters[i])
		}
	}
	if d := rec.Deployment; d != nil {
		refs = append(refs, d.Model)
		if d.Adapters != nil {
			for i := range *d.Adapters {
				refs = append(refs, &(*d.Adapters)[i])
			}
		}
	}
	for _, r := range refs {
		if r == nil || r.Digest != "" {
			continue
		}
		d, err := a.Resolve(ctx, r.Name, r.Version)
		if err != nil {
			return &Error{Status: http.StatusUnprocessableEntity, Code: "artifact", Text: fmt.Sprintf("artifact %s@%s cannot be resolved: %v", r.Name, r.Version, err)}
		}
		r.Digest = d
	}
	return nil
}

// publish appends the record until it is seen in the fold, and returns what became of it.
func (a *Admin) publish(ctx context.Context, id ident.Change, data []byte) (reducer.Audit, error) {
	ctx, cancel := context.WithTimeout(ctx, acceptTime)
	defer cancel()
	for {
		_, err := a.Append(ctx, data)
		wait := acceptTime
		if err != nil {
			wait = retryWait
		}
		if audit, ok := a.await(ctx, id, wait); ok {
			return audit, nil
		}
		if ctx.Err() != nil {
			return reducer.Audit{}, &Error{Status: http.StatusServiceUnavailable, Code: "unknown", Text: fmt.Sprintf("log service did not confirm change %s; ask again with the same id", id)}
		}
	}
}

func (a *Admin) await(ctx context.Context, id ident.Change, wait time.Duration) (reducer.Audit, bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changed := a.Changed()
		var audit reducer.Audit
		var ok bool
		a.View(func(s *reducer.Reducer) { audit, ok = s.Find(id) })
		if ok {
			return audit, true
		}
		select {
		case <-ctx.Done():
			return audit, false
		case <-timer.C:
			return audit, false
		case <-changed:
		}
	}
}

func (a *Admin) objects(_ context.Context, q any) (any, error) {
	out := []Object{}
	a.View(func(s *reducer.Reducer) {
		for _, o := range s.Objects(q.(string)) {
			e, _ := s.Object(o)
			out = append(out, Object{Object: o, Entry: e, Offset: s.Offset()})
		}
	})
	return out, nil
}

func (a *Admin) history(context.Context, any) (any, error) {
	var out []reducer.Audit
	a.View(func(s *reducer.Reducer) { out = s.History() })
	return out, nil
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

func encodeError(_ context.Context, err error, w http.ResponseWriter) {
	e := &Error{Status: http.StatusInternalServerError, Code: "internal", Text: err.Error()}
	var known *Error
	if errors.As(err, &known) {
		e = known
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(e.Status)
	_ = json.NewEncoder(w).Encode(e)
}
