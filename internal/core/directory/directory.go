// Package directory defines the configuration of a fleet: routes, pools of endpoints, organisations, and the endpoints
// themselves.
package directory

import (
	"strings"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

// Revision is the number of a configuration of the fleet; later configurations have higher numbers.
type Revision int64

// Release is the number of a release of a model's weights; newer releases have higher numbers.
type Release int64

// Model is the name of a model.
type Model string

// Key is a caller's credential.
type Key string

// Kind determines whether a request may run more than once.
type Kind int

// Kinds of requests.
const (
	// Once is the kind of requests that may run at most once.
	Once Kind = iota
	// Repeatable is the kind of requests that may run more than once.
	Repeatable
	// Stream is the kind of requests whose response is a series of numbered events. They may run at most once, unless
	// their route allows an interrupted stream to be resumed.
	Stream
)

// Share is the share of a route's requests that one pool receives.
type Share struct {
	Pool   ident.Pool
	Weight float64
}

// Route describes how requests with a given host and path prefix are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Resumable says that an interrupted stream may continue after its last event at another endpoint.
	Resumable bool
	// Anonymous says that callers need no key.
	Anonymous bool
	// Shares lists the pools of the route; it has at least one entry.
	Shares []Share
	// Attempts is the maximum number of endpoints that one request may be sent to.
	Attempts int
	// Timeout is the maximum time until the final response.
	Timeout time.Duration
	// Objective is the time promised to callers until the response, or until the first event of a stream.
	Objective time.Duration
	// Gap is the maximum time promised to callers between two events of a stream; zero means that none is promised.
	Gap time.Duration
	// Priority is the rank of the requests; 0 is the most urgent.
	Priority int
}

// MayRepeat reports whether a request of the route that may have run may be sent again.
func (r *Route) MayRepeat() bool {
	return r.Kind == Repeatable || r.Kind == Stream && r.Resumable
}

// Pool is a set of equivalent endpoints.
type Pool struct {
	Name ident.Pool
	// HealthPath is the path of the health check, which reports whether an endpoint accepts requests.
	HealthPath string
	// Origin is the address from which the weights are served, if the pool is an origin of weights.
	Origin string
	// Zone is the availability zone of the origin.
	Zone ident.Zone
	// Engine is the profile of the pool's model engines; nil for a plain service.
	Engine *Engine
}

// Engine is the capacity and speed profile of a pool's model engines.
type Engine struct {
	// Slots is the maximum number of requests in a batch.
	Slots int
	// Tokens is the number of tokens that fit into the memory for requests.
	Tokens int
	// Stride is the number of generation steps in one pass of the engine.
	Stride int
	// Step is the duration of one step, without the additions of the requests in the batch.
	Step time.Duration
	// StepSlot is the time that each request of the batch adds to a step.
	StepSlot time.Duration
	// StepContext is the time that each thousand tokens of context add to a step.
	StepContext time.Duration
	// ReadRate is the number of prompt tokens processed per second.
	ReadRate float64
	// Prompt is the typical number of prompt tokens of a request, followed by that of generated tokens.
	Prompt, Answer float64
	// Layers is the number of layers of the model.
	Layers int
	// Chunks is the number of chunks of the weights, and ChunkBytes the size of each.
	Chunks     int
	ChunkBytes ident.Bytes
	// Models lists the models that the engines serve.
	Models []Model
}

// Organisation is the owner of API keys.
type Organisation struct {
	Name ident.Organisation
	// Priority takes precedence over the priority of the route, if it is set.
	Priority int
	// Ranked says that the priority is set.
	Ranked bool
}

// Limits holds the limits on requests from callers.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	IdleTime    time.Duration
}

// Directory is one complete configuration. It is immutable once it is in use.
type Directory struct {
	Revision Revision
	Limits   Limits
	Pools    map[ident.Pool]*Pool
	// Keys maps each key to its organisation; nil means that no request needs a key.
	Keys map[Key]*Organisation

	routesByHost map[string][]*Route
}

// SetRoutes sets the routes of the configuration. It must be called before the configuration is used.
func (d *Directory) SetRoutes(routes []Route) {
	d.routesByHost = make(map[string][]*Route)
	for i := range routes {
		r := &routes[i]
		d.routesByHost[r.Host] = append(d.routesByHost[r.Host], r)
	}
}

// Find returns the route of the host with the longest prefix that matches the path, or nil.
func (d *Directory) Find(host, path string) *Route {
	if name, _, ok := strings.Cut(host, ":"); ok {
		host = name
	}
	var best *Route
	for _, r := range d.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// Pick returns the pool that draw, a random number in [0, 1), selects by weight.
func (r *Route) Pick(draw float64) ident.Pool {
	var total float64
	for _, s := range r.Shares {
		total += s.Weight
	}
	remaining := draw * total
	for _, s := range r.Shares {
		if remaining < s.Weight {
			return s.Pool
		}
		remaining -= s.Weight
	}
	return r.Shares[len(r.Shares)-1].Pool
}

// Serving is a model that an endpoint serves, with its release.
type Serving struct {
	Model   Model
	Release Release
}

// Span is a range of a model's layers, including From and excluding To. The zero value means all layers.
type Span struct {
	_        struct{} `cbor:",toarray"`
	From, To int
}

// IsWhole reports whether the range covers all layers of a model.
func (s Span) IsWhole(layers int) bool {
	return s == Span{} || s.From == 0 && s.To >= layers
}

// Chunks returns the range of chunks that hold the layers of s, given the numbers of layers and chunks of the model. It
// includes from and excludes to. A chunk with parts of two layers is needed for both.
func (s Span) Chunks(layers, chunks int) (from, to int) {
	if s.IsWhole(layers) || layers <= 0 {
		return 0, chunks
	}
	return s.From * chunks / layers, (s.To*chunks + layers - 1) / layers
}

// Endpoint is the entry that an endpoint publishes about itself.
type Endpoint struct {
	ID      string
	Pool    ident.Pool
	Address string
	Zone    ident.Zone
	Slots   int
	// Leaving says that the endpoint accepts no new requests.
	Leaving bool
	// Born identifies the incarnation of the endpoint. It is a start time by the clock of another host, so it must not
	// be compared with the local clock.
	Born int64
	// Serves lists the models that are loaded, completely or in part; empty for a plain service.
	Serves []Serving
	// Layers is the range of layers that is loaded.
	Layers Span
	// Cold is the remaining time for which the endpoint is slow after its start.
	Cold time.Duration
}

// Host returns the name of the endpoint's host, which is its IP address.
func (e *Endpoint) Host() ident.Host {
	ip, _, _ := strings.Cut(e.Address, ":")
	return ident.Host(ip)
}

// Release returns the release of a model that is loaded, completely or in part.
func (e *Endpoint) Release(m Model) (Release, bool) {
	for _, s := range e.Serves {
		if s.Model == m {
			return s.Release, true
		}
	}
	return 0, false
}
