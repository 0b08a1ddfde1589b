// Package endpointproxy lets requests through an endpoint host's gate to the back end beside it.
package endpointproxy

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"

	"github.com/nutmegdock/nutmegdock/internal/core/gate"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/inflighttracker"
	"github.com/nutmegdock/nutmegdock/internal/core/outcome"
	"github.com/nutmegdock/nutmegdock/internal/core/permitter"
	"github.com/nutmegdock/nutmegdock/internal/core/quarantiner"
	"github.com/nutmegdock/nutmegdock/internal/core/resumer"
	"github.com/nutmegdock/nutmegdock/internal/forwarder"
	"github.com/nutmegdock/nutmegdock/internal/headers"
)

const (
	// Prefix is the path under which requests to the back end arrive.
	Prefix = "/run"
	// PermitPath is where permits for requests that may not be repeated are issued.
	PermitPath = "/permit"
)

// Proxy forwards requests to one back end. Set its fields before the first request.
type Proxy struct {
	// Gate admits the requests.
	Gate *gate.Gate
	// Backend is the base address of the engine or plain service.
	Backend string
	// Forwarder sends repeatable requests.
	Forwarder *forwarder.Forwarder
	// Offset returns the host's configuration offset; nil leaves it out of the answers.
	Offset func() ident.Offset
	// Watch notes the engine's weights before a request for set is handed over. Nil means a back end without weights.
	Watch func(set ident.WeightSet) Confirm
	// Unfenced marks the answers of an engine that does not check who orders it.
	Unfenced bool
	// Fresh sends those that may not be repeated, each on a connection of its own.
	Fresh *forwarder.Forwarder
	// Permitter admits those that may not be repeated once.
	Permitter *permitter.Permitter
	// Tracker follows the requests that run.
	Tracker *inflighttracker.Tracker
	// Birth returns the birth of the back end that was seen last.
	Birth func() int64
	// Dead tells whether the back end with a birth has died.
	Dead func(ctx context.Context, birth int64) bool
	// Down tells whether the back end has died and is not back yet; nil stands for one that never is.
	Down func() bool
	// Load returns the load that answers carry. Nil means none.
	Load func() string
	// Notify passes on a death.
	Notify func(d inflighttracker.Death)
}

// ServeHTTP runs one request, or refuses it as not run.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if p.Offset != nil {
		w.Header().Set(headers.Offset, strconv.FormatInt(int64(p.Offset()), 10))
	}
	if err := p.Gate.Enter(ident.WeightSet(r.Header.Get(headers.Set))); err != nil {
		refuse(w, r, err)
		return
	}
	defer p.Gate.Exit()
	if p.Down != nil && p.Down() {
		fail(w, r, &outcome.Error{Kind: outcome.NotRun, Reason: outcome.Unreachable, Text: "the back end is down"})
		return
	}
	run := p.Tracker.Start(quarantiner.Digest(r.Header.Get(headers.Digest)), r.Header.Get(headers.Suspect) != "")
	if run == nil {
		fail(w, r, &outcome.Error{Kind: outcome.NotRun, Reason: outcome.Suspect, Text: "the endpoint runs another suspect request"})
		return
	}
	defer p.Tracker.End(run)
	send := p.Forwarder
	if permit := r.Header.Get(headers.Permit); permit != "" {
		if err := p.Permitter.Admit(ident.Request(r.Header.Get(headers.Request)), permitter.Permit(permit)); err != nil {
			refuse(w, r, err)
			return
		}
		send = p.Fresh
	}
	p.run(w, r, run, send)
}

func (p *Proxy) run(w http.ResponseWriter, r *http.Request, run *inflighttracker.Run, send *forwarder.Forwarder) {
	birth := p.Birth()
	confirm := p.watch(r)
	resp, err := send.Send(r.Context(), p.call(r))
	if err != nil {
		if death := p.death(r, run, birth); death != "" {
			w.Header().Set(headers.Death, string(death))
			err = &outcome.Error{Kind: outcome.Unknown, Reason: outcome.EngineDied, Text: err.Error()}
		}
		fail(w, r, err)
		return
	}
	defer resp.Body.Close()
	if err := p.check(r, resp); err != nil {
		fail(w, r, err)
		return
	}
	stream := strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
	body := &sealed{ReadCloser: resp.Body, ctx: r.Context(), confirm: confirm, stream: stream}
	CopyHeader(w.Header(), resp.Header)
	if p.Load != nil {
		w.Header().Set(headers.Load, p.Load())
	}
	w.Header().Set(headers.Outcome, headers.Answered)
	w.Header().Set(headers.Request, r.Header.Get(headers.Request))
	if p.Unfenced {
		w.Header().Set(headers.Unfenced, "1")
	}
	w.WriteHeader(resp.StatusCode)
	if err := forwarder.StreamBody(w, body); err == nil {
		return
	}
	if body.mixed && stream {
		_, _ = w.Write(resumer.ChangeEvent())
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	death := p.death(r, run, birth)
	if death != "" && stream {
		_, _ = w.Write(resumer.DeathEvent(death))
		_ = http.NewResponseController(w).Flush()
	}
	panic(http.ErrAbortHandler)
}

// death finds out whether a request was cut because the back end died, and tells of a death once.
func (p *Proxy) death(r *http.Request, run *inflighttracker.Run, birth int64) quarantiner.Death {
	if r.Context().Err() != nil && !p.Tracker.Ended(run) {
		return ""
	}
	if !p.Tracker.Ended(run) && !p.Dead(r.Context(), birth) {
		return ""
	}
	d, isNew := p.Tracker.Died(run)
	if isNew {
		p.Notify(d)
	}
	return d.ID
}

// Permit issues a permit for the request that the header names.
func (p *Proxy) Permit(w http.ResponseWriter, r *http.Request) {
	if p.Gate.Status().Leaving {
		refuse(w, r, &gate.Error{Reason: gate.Leaving})
		return
	}
	permit, err := p.Permitter.Issue(ident.Request(r.Header.Get(headers.Request)))
	if err != nil {
		refuse(w, r, err)
		return
	}
	w.Header().Set(headers.Request, r.Header.Get(headers.Request))
	w.Header().Set(headers.Permit, string(permit))
	w.WriteHeader(http.StatusNoContent)
}

func (p *Proxy) call(r *http.Request) forwarder.Request {
	h := r.Header.Clone()
	for _, k := range []string{headers.Permit, headers.Claim, headers.Digest, headers.Suspect} {
		h.Del(k)
	}
	if key := h.Get(headers.Key); key != "" {
		h.Set(headers.CallerKey, key)
		h.Del(headers.Key)
	}
	path := strings.TrimPrefix(r.URL.EscapedPath(), Prefix)
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return forwarder.Request{Method: r.Method, URL: p.Backend + path, Header: h, Body: r.Body, Length: r.ContentLength}
}

func refuse(w http.ResponseWriter, r *http.Request, err error) {
	o := &outcome.Error{Kind: outcome.NotRun, Reason: outcome.Refused, Text: err.Error()}
	var g *gate.Error
	if errors.As(err, &g) && g.Reason == gate.Leaving {
		o.Reason = outcome.Leaving
	}
	if g != nil && g.Reason == gate.Closed {
		o.Reason = outcome.Closed
	}
	if g != nil && g.Reason == gate.Other {
		o.Reason = outcome.Moved
		w.Header().Set(headers.Set, string(g.Have))
	}
	var p *permitter.Error
	if errors.As(err, &p) {
		o.Reason = outcome.Late
	}
	if p != nil && p.Reason == permitter.Second {
		o.Kind, o.Reason = outcome.Unknown, outcome.Running
	}
	fail(w, r, o)
}

func fail(w http.ResponseWriter, r *http.Request, err error) {
	kind, reason := outcome.Unknown, outcome.Lost
	var o *outcome.Error
	if errors.As(err, &o) {
		kind, reason = o.Kind, o.Reason
	}
	w.Header().Set(headers.Outcome, string(kind))
	w.Header().Set(headers.Reason, string(reason))
	w.Header().Set(headers.Request, r.Header.Get(headers.Request))
	status := http.StatusBadGateway
	if kind == outcome.NotRun {
		w.Header().Set("Retry-After", strconv.Itoa(1))
		status = http.StatusServiceUnavailable
	}
	http.Error(w, err.Error(), status)
}

// hop lists the header fields that belong to one connection.
var hop = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// CopyHeader adds the fields of src to dst, but for those that belong to one connection.
func CopyHeader(dst, src http.Header) {
	for k, vs := range src {
		dst[k] = append([]string(nil), vs...)
	}
	for _, k := range hop {
		dst.Del(k)
	}
}
