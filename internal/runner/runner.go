// Package runner lets requests through an endpoint host's gate to the back end beside it.
package runner

import (
	"errors"
	"net/http"
	"strconv"
	"strings"

	"github.com/nutmegdock/nutmegdock/internal/core/gate"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/outcome"
	"github.com/nutmegdock/nutmegdock/internal/forwarder"
	"github.com/nutmegdock/nutmegdock/internal/headers"
)

// Prefix is the path under which requests to the back end arrive.
const Prefix = "/run"

// Runner forwards requests to one back end. Set its fields before the first request.
type Runner struct {
	// Gate admits the requests.
	Gate *gate.Gate
	// Backend is the base address of the engine or plain service.
	Backend string
	// Forwarder sends the requests.
	Forwarder *forwarder.Forwarder
	// Watch notes the engine's weights before a request for set is handed over. Nil means a back end without weights.
	Watch func(set ident.WeightSet) Confirm
}

// ServeHTTP runs one request, or refuses it as not run.
func (u *Runner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if err := u.Gate.Enter(ident.WeightSet(r.Header.Get(headers.Set))); err != nil {
		refuse(w, err)
		return
	}
	defer u.Gate.Exit()
	confirm := u.watch(r)
	resp, err := u.Forwarder.Send(r.Context(), u.call(r))
	if err != nil {
		fail(w, err)
		return
	}
	defer resp.Body.Close()
	if err := u.check(r, resp); err != nil {
		fail(w, err)
		return
	}
	stream := strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
	body := &sealed{ReadCloser: resp.Body, ctx: r.Context(), confirm: confirm, stream: stream}
	CopyHeader(w.Header(), resp.Header)
	w.Header().Set(headers.Outcome, headers.Answered)
	w.Header().Set(headers.Request, r.Header.Get(headers.Request))
	w.WriteHeader(resp.StatusCode)
	if err := forwarder.Copy(w, body); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func (u *Runner) call(r *http.Request) forwarder.Call {
	h := r.Header.Clone()
	if key := h.Get(headers.Key); key != "" {
		h.Set(headers.CallerKey, key)
		h.Del(headers.Key)
	}
	path := strings.TrimPrefix(r.URL.EscapedPath(), Prefix)
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return forwarder.Call{Method: r.Method, URL: u.Backend + path, Header: h, Body: r.Body, Length: r.ContentLength}
}

func refuse(w http.ResponseWriter, err error) {
	reason := outcome.Refused
	var g *gate.Error
	if errors.As(err, &g) && g.Reason == gate.Leaving {
		reason = outcome.Leaving
	}
	fail(w, &outcome.Error{Kind: outcome.NotRun, Reason: reason, Text: err.Error()})
}

func fail(w http.ResponseWriter, err error) {
	kind, reason := outcome.Unknown, outcome.Lost
	var o *outcome.Error
	if errors.As(err, &o) {
		kind, reason = o.Kind, o.Reason
	}
	w.Header().Set(headers.Outcome, string(kind))
	w.Header().Set(headers.Reason, string(reason))
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
