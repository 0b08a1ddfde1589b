// Package endpointproxy forwards requests that an endpoint host admits to the back end beside it.
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
	// RunPrefix is the path prefix of requests to the back end.
	RunPrefix = "/run"
	// PermitPath is the path that issues permits for requests that are not repeatable.
	PermitPath = "/permit"
)

// Proxy forwards requests to one back end. Set its fields before the first request.
type Proxy struct {
	// Gate admits requests for the weight set that the endpoint serves.
	Gate *gate.Gate
	// Backend is the base URL of the engine or plain service.
	Backend string
	// Forwarder sends repeatable requests.
	Forwarder *forwarder.Forwarder
	// ConfigOffset returns the host's configuration offset, which responses carry. Nil omits it.
	ConfigOffset func() ident.Offset
	// WatchWeights records the engine's weights before a request for set is sent, and returns the check that they are
	// unchanged. Nil means a back end without weights.
	WatchWeights func(set ident.WeightSet) ConfirmWeights
	// Unfenced marks the responses of an engine that does not check fencing tokens.
	Unfenced bool
	// SingleUseForwarder sends the requests that are not repeatable, each on a new connection.
	SingleUseForwarder *forwarder.Forwarder
	// Permitter admits each request that is not repeatable at most once.
	Permitter *permitter.Permitter
	// Tracker tracks the requests in flight.
	Tracker *inflighttracker.Tracker
	// BackendStartTime returns the start time of the back end that was last seen, which identifies its incarnation.
	BackendStartTime func() int64
	// HasCrashed reports whether the back end with the given start time has crashed.
	HasCrashed func(ctx context.Context, startTime int64) bool
	// IsDown reports whether the back end has crashed and has not been seen running since. Nil means that it is never
	// down.
	IsDown func() bool
	// LoadHeader returns the load that responses carry in a header field. Nil omits it.
	LoadHeader func() string
	// OnCrash is called once for each crash of the back end.
	OnCrash func(crash inflighttracker.Crash)
}

// ServeHTTP forwards one request to the back end, or refuses it with the outcome "not-run".
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if p.ConfigOffset != nil {
		w.Header().Set(headers.ConfigOffset, strconv.FormatInt(int64(p.ConfigOffset()), 10))
	}
	if err := p.Gate.Enter(ident.WeightSet(r.Header.Get(headers.WeightSet))); err != nil {
		writeRefusal(w, r, err)
		return
	}
	defer p.Gate.Exit()
	if p.IsDown != nil && p.IsDown() {
		writeError(w, r, &outcome.Error{Kind: outcome.NotRun, Reason: outcome.Unreachable, Message: "the back end is down"})
		return
	}
	tracked := p.Tracker.Start(quarantiner.RequestDigest(r.Header.Get(headers.RequestDigest)), r.Header.Get(headers.Suspect) != "")
	if tracked == nil {
		writeError(w, r, &outcome.Error{Kind: outcome.NotRun, Reason: outcome.SuspectRequest, Message: "the endpoint runs another suspect request"})
		return
	}
	defer p.Tracker.End(tracked)
	f := p.Forwarder
	if permit := r.Header.Get(headers.RunPermit); permit != "" {
		if err := p.Permitter.Redeem(ident.RequestID(r.Header.Get(headers.RequestID)), permitter.Permit(permit)); err != nil {
			writeRefusal(w, r, err)
			return
		}
		f = p.SingleUseForwarder
	}
	p.forward(w, r, tracked, f)
}

// forward sends the request to the back end and passes on the response.
func (p *Proxy) forward(w http.ResponseWriter, r *http.Request, tracked *inflighttracker.Request, f *forwarder.Forwarder) {
	startTime := p.BackendStartTime()
	confirm := p.newConfirm(r)
	resp, err := f.Send(r.Context(), p.backendRequest(r))
	if err != nil {
		if crash := p.detectCrash(r, tracked, startTime); crash != "" {
			w.Header().Set(headers.CrashID, string(crash))
			err = &outcome.Error{Kind: outcome.Unknown, Reason: outcome.BackendCrashed, Message: err.Error()}
		}
		writeError(w, r, err)
		return
	}
	defer resp.Body.Close()
	if err := p.checkWeightSet(r, resp); err != nil {
		writeError(w, r, err)
		return
	}
	stream := strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
	body := &confirmedBody{ReadCloser: resp.Body, ctx: r.Context(), confirm: confirm, stream: stream}
	CopyHeader(w.Header(), resp.Header)
	if p.LoadHeader != nil {
		w.Header().Set(headers.EndpointLoad, p.LoadHeader())
	}
	w.Header().Set(headers.Outcome, headers.Answered)
	w.Header().Set(headers.RequestID, r.Header.Get(headers.RequestID))
	// A back end may respond before it has read the request body. Without full duplex, the first write of the response
	// closes that body, which interrupts the request to the back end and with it the response.
	if err := http.NewResponseController(w).EnableFullDuplex(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		writeError(w, r, &outcome.Error{Kind: outcome.Unknown, Reason: outcome.ConnectionLost, Message: err.Error()})
		return
	}
	if p.Unfenced {
		w.Header().Set(headers.Unfenced, "1")
	}
	w.WriteHeader(resp.StatusCode)
	if err := forwarder.StreamBody(w, body); err == nil {
		return
	}
	if body.weightsChanged && stream {
		_, _ = w.Write(resumer.WeightsChangedEvent())
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	crash := p.detectCrash(r, tracked, startTime)
	if crash != "" && stream {
		_, _ = w.Write(resumer.CrashEvent(crash))
		_ = http.NewResponseController(w).Flush()
	}
	panic(http.ErrAbortHandler)
}

// detectCrash determines whether a request failed because the back end crashed, and reports each crash once. It returns
// the id of the crash, or an empty string if there was none.
func (p *Proxy) detectCrash(r *http.Request, tracked *inflighttracker.Request, startTime int64) quarantiner.CrashID {
	if r.Context().Err() != nil && !p.Tracker.Crashed(tracked) {
		return ""
	}
	if !p.Tracker.Crashed(tracked) && !p.HasCrashed(r.Context(), startTime) {
		return ""
	}
	crash, isNew := p.Tracker.RecordCrash(tracked)
	if isNew {
		p.OnCrash(crash)
	}
	return crash.ID
}

// ServePermit issues a permit for the request whose id the header carries.
func (p *Proxy) ServePermit(w http.ResponseWriter, r *http.Request) {
	if p.Gate.Status().Leaving {
		writeRefusal(w, r, &gate.Error{Reason: gate.Leaving})
		return
	}
	permit, err := p.Permitter.Issue(ident.RequestID(r.Header.Get(headers.RequestID)))
	if err != nil {
		writeRefusal(w, r, err)
		return
	}
	w.Header().Set(headers.RequestID, r.Header.Get(headers.RequestID))
	w.Header().Set(headers.RunPermit, string(permit))
	w.WriteHeader(http.StatusNoContent)
}

// backendRequest returns the request to the back end, without the header fields that are meant for this host.
func (p *Proxy) backendRequest(r *http.Request) forwarder.Request {
	h := r.Header.Clone()
	for _, k := range []string{headers.RunPermit, headers.Claim, headers.RequestDigest, headers.Suspect} {
		h.Del(k)
	}
	if key := h.Get(headers.IdempotencyKey); key != "" {
		h.Set(headers.CallerIdempotencyKey, key)
		h.Del(headers.IdempotencyKey)
	}
	path := strings.TrimPrefix(r.URL.EscapedPath(), RunPrefix)
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return forwarder.Request{Method: r.Method, URL: p.Backend + path, Header: h, Body: r.Body, Length: r.ContentLength}
}

// writeRefusal writes the response for a request that the gate or the permitter refused.
func writeRefusal(w http.ResponseWriter, r *http.Request, err error) {
	o := &outcome.Error{Kind: outcome.NotRun, Reason: outcome.Refused, Message: err.Error()}
	var g *gate.Error
	if errors.As(err, &g) && g.Reason == gate.Leaving {
		o.Reason = outcome.HostLeaving
	}
	if g != nil && g.Reason == gate.Closed {
		o.Reason = outcome.EndpointClosed
	}
	if g != nil && g.Reason == gate.OtherWeightSet {
		o.Reason = outcome.OtherWeightSet
		w.Header().Set(headers.WeightSet, string(g.Served))
	}
	var p *permitter.Error
	if errors.As(err, &p) {
		o.Reason = outcome.TooLate
	}
	if p != nil && p.Reason == permitter.AlreadyAdmitted {
		o.Kind, o.Reason = outcome.Unknown, outcome.AlreadyRunning
	}
	writeError(w, r, o)
}

// writeError writes the response for a request that failed.
func writeError(w http.ResponseWriter, r *http.Request, err error) {
	kind, reason := outcome.Unknown, outcome.ConnectionLost
	var o *outcome.Error
	if errors.As(err, &o) {
		kind, reason = o.Kind, o.Reason
	}
	w.Header().Set(headers.Outcome, string(kind))
	w.Header().Set(headers.Reason, string(reason))
	w.Header().Set(headers.RequestID, r.Header.Get(headers.RequestID))
	status := http.StatusBadGateway
	if kind == outcome.NotRun {
		w.Header().Set("Retry-After", strconv.Itoa(1))
		status = http.StatusServiceUnavailable
	}
	http.Error(w, err.Error(), status)
}

// hopByHopHeaders lists the header fields that concern only one connection.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// CopyHeader copies the fields of src to dst, except those that concern only one connection.
func CopyHeader(dst, src http.Header) {
	for k, vs := range src {
		dst[k] = append([]string(nil), vs...)
	}
	for _, k := range hopByHopHeaders {
		dst.Del(k)
	}
}
