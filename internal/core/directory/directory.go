// Package directory describes a fleet as its operators configure it: routes, pools of endpoints, organisations.
package directory

import (
	"strings"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

// Revision orders the configurations of one fleet.
type Revision int64

// Release numbers the weights of one model.
type Release int64

// Model names a model.
type Model string

// Key is a caller's credential.
type Key string

// Kind says what may be repeated.
type Kind int

// Kinds of requests.
const (
	// Once marks requests that may run at most once.
	Once Kind = iota
	// Repeatable marks requests that may run more than once.
	Repeatable
	// Stream marks requests answered by a series of numbered events. They may run at most once, unless their route says
	// that a cut stream may be resumed.
	Stream
)

// Share is the part of a route's requests that one pool gets.
type Share struct {
	Pool   ident.Pool
	Weight float64
}

// Route says how requests of one host and path prefix are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Resumable says that a cut stream may go on after its last event, at another endpoint.
	Resumable bool
	// Anonymous says that callers need no key.
	Anonymous bool
	// Shares are the pools of the route; there is at least one.
	Shares []Share
	// Attempts is the most endpoints that one request may be sent to.
	Attempts int
	// Timeout is the longest time until the final answer.
	Timeout time.Duration
	// Objective is the time to the answer, or to the first event of a stream, that callers are promised.
	Objective time.Duration
	// Gap is the longest time between two events of a stream that callers are promised; zero means none is.
	Gap time.Duration
	// Priority is the rank of the requests, 0 being the most urgent.
	Priority int
}

// MayRepeat tells whether a request of the route may run again after it may have run.
func (r *Route) MayRepeat() bool {
	return r.Kind == Repeatable || r.Kind == Stream && r.Resumable
}

// Pool is a set of endpoints that are alike.
type Pool struct {
	Name ident.Pool
	// HealthPath answers whether an endpoint takes requests.
	HealthPath string
	// Origin is the address of the source of weights, if the pool is one.
	Origin string
	// Zone is that of the origin.
	Zone ident.Zone
	// Engine holds the figures of the pool's model engines; nil for a plain service.
	Engine *Engine
}

// Engine holds the figures of a pool's model engines.
type Engine struct {
	// Slots is the number of requests in one batch.
	Slots int
	// Tokens is the number of tokens that the memory for requests holds.
	Tokens int
	// Stride is the number of steps in one pass.
	Stride int
	// Step is the time of one step, without what the requests of the batch add.
	Step time.Duration
	// StepSlot is what each request of the batch adds to a step.
	StepSlot time.Duration
	// StepContext is what each thousand tokens of context add to a step.
	StepContext time.Duration
	// ReadRate is the number of prompt tokens read in a second.
	ReadRate float64
	// Prompt and Answer are the usual numbers of tokens of a request.
	Prompt, Answer float64
	// Layers is the number of layers of the model.
	Layers int
	// Chunks is the number of chunks of the weights, and ChunkBytes the size of each.
	Chunks     int
	ChunkBytes ident.Bytes
	// Models are the models that the engines serve.
	Models []Model
}

// Organisation is a holder of keys.
type Organisation struct {
	Name ident.Organisation
	// Priority goes before that of a route, if Ranked is set.
	Priority int
	Ranked   bool
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	IdleTime    time.Duration
}

// Directory is one whole configuration. It is never changed once it is in use.
type Directory struct {
	Revision Revision
	Limits   Limits
	Pools    map[ident.Pool]*Pool
	// Keys maps each key to its organisation; nil says that no request needs a key.
	Keys map[Key]*Organisation

	hosts map[string][]*Route
}

// SetRoutes takes the routes of the configuration, before it is used.
func (d *Directory) SetRoutes(routes []Route) {
	d.hosts = make(map[string][]*Route)
	for i := range routes {
		r := &routes[i]
		d.hosts[r.Host] = append(d.hosts[r.Host], r)
	}
}

// Find returns the route with the longest prefix of the path among those of the host, or nil.
func (d *Directory) Find(host, path string) *Route {
	if h, _, ok := strings.Cut(host, ":"); ok {
		host = h
	}
	var best *Route
	for _, r := range d.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// Pick returns the pool of a route for a number drawn from 0 up to 1.
func (r *Route) Pick(draw float64) ident.Pool {
	var total float64
	for _, s := range r.Shares {
		total += s.Weight
	}
	at := draw * total
	for _, s := range r.Shares {
		if at < s.Weight {
			return s.Pool
		}
		at -= s.Weight
	}
	return r.Shares[len(r.Shares)-1].Pool
}

// Serving is one model that an endpoint serves.
type Serving struct {
	Model   Model
	Release Release
}

// Span is a run of a model's layers: From up to, and not including, To. The zero value stands for all layers.
type Span struct {
	_        struct{} `cbor:",toarray"`
	From, To int
}

// IsWhole tells whether the span holds all layers of a model.
func (s Span) IsWhole(layers int) bool {
	return s == Span{} || s.From == 0 && s.To >= layers
}

// Chunks returns the run of chunks that the span needs, of a model with so many layers and chunks.
func (s Span) Chunks(layers, chunks int) (from, to int) {
	if s.IsWhole(layers) || layers <= 0 {
		return 0, chunks
	}
	return s.From * chunks / layers, (s.To*chunks + layers - 1) / layers
}

// Endpoint is what an endpoint says of itself.
type Endpoint struct {
	ID      string
	Pool    ident.Pool
	Address string
	Zone    ident.Zone
	Slots   int
	// Leaving says that no new work may be sent.
	Leaving bool
	// Born tells the incarnations of one id apart. It is the time of day of a start by another host's clock, so it must
	// not be compared with the clock here.
	Born int64
	// Serves lists the models that are loaded, whole or in part; empty for a plain service.
	Serves []Serving
	// Layers is the part that is loaded.
	Layers Span
	// Cold is how much longer the endpoint is slow after its start.
	Cold time.Duration
}

// Host returns the name of the host that the endpoint runs on, which is its IP address.
func (e *Endpoint) Host() ident.Host {
	ip, _, _ := strings.Cut(e.Address, ":")
	return ident.Host(ip)
}

// Release returns the release of a model that is loaded, whole or in part.
func (e *Endpoint) Release(m Model) (Release, bool) {
	for _, s := range e.Serves {
		if s.Model == m {
			return s.Release, true
		}
	}
	return 0, false
}
