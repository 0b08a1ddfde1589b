// Package fleetconfig defines the configuration of a fleet: routes, pools of endpoints, organisations, and the
// endpoints themselves.
package fleetconfig

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
	// AtMostOnce is the kind of requests that may run at most once.
	AtMostOnce Kind = iota
	// Repeatable is the kind of requests that may run more than once.
	Repeatable
	// Stream is the kind of requests whose response is a series of numbered events. They may run at most once, unless
	// their route allows an interrupted stream to be resumed.
	Stream
)

// PoolShare is the share of a route's requests that one pool receives.
type PoolShare struct {
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
	// Pools lists the pools of the route; it has at least one entry.
	Pools []PoolShare
	// MaxAttempts is the maximum number of endpoints that one request may be sent to.
	MaxAttempts int
	// Timeout is the maximum time until the final response.
	Timeout time.Duration
	// Objective is the time promised to callers until the response, or until the first event of a stream.
	Objective time.Duration
	// MaxEventGap is the maximum time promised to callers between two events of a stream; zero means that none is
	// promised.
	MaxEventGap time.Duration
	// MaxEventWait is the time without an event after which callers leave a stream, also before its first one; zero if they
	// wait until its timeout.
	MaxEventWait time.Duration
	// Priority is the rank of the requests; 0 is the most urgent.
	Priority int
	// Regions lists the regions in which the requests may run; empty means all.
	Regions []ident.Region
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
	// OriginAddress is the address from which the weights are served, if the pool is an origin of weights.
	OriginAddress string
	// OriginZone is the availability zone of the origin.
	OriginZone ident.Zone
	// Engine is the profile of the pool's model engines; nil for a plain service.
	Engine *EngineProfile
	// ColdRate is the number of requests per second that a cold endpoint of the pool takes, and ColdStart how long an
	// endpoint stays cold after its start. If either is zero, no endpoint counts as cold.
	ColdRate  ident.Rate
	ColdStart time.Duration
}

// EngineProfile is the capacity and speed profile of a pool's model engines.
type EngineProfile struct {
	// Slots is the maximum number of requests in a batch.
	Slots int
	// MemoryTokens is the number of tokens that fit into the memory for requests.
	MemoryTokens int
	// StepsPerPass is the number of generation steps in one pass of the engine.
	StepsPerPass int
	// StepTime is the duration of one step, without the additions of the requests in the batch.
	StepTime time.Duration
	// StepTimePerRequest is the time that each request of the batch adds to a step.
	StepTimePerRequest time.Duration
	// StepTimePerThousandTokens is the time that each thousand tokens of context add to a step.
	StepTimePerThousandTokens time.Duration
	// PrefillRate is the number of prompt tokens processed per second.
	PrefillRate float64
	// PromptTokens is the typical number of prompt tokens of a request, and ResponseTokens that of generated tokens.
	PromptTokens, ResponseTokens float64
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
	// HasPriority says that the priority is set.
	HasPriority bool
	// Regions lists the regions in which the organisation's requests may run, in addition to the restriction of the route;
	// empty means all.
	Regions []ident.Region
}

// Limits holds the limits on requests from callers.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeadTime is how long a caller may take to send the head of a request, and IdleTime how long its connection may be idle;
	// zero if the configuration does not say.
	HeadTime, IdleTime time.Duration
}

// Config is one complete configuration. It is immutable once it is in use.
type Config struct {
	Revision Revision
	Limits   Limits
	Pools    map[ident.Pool]*Pool
	// Defaulted describes values that are not valid, and that other ones are used for.
	Defaulted []string
	// Keys maps each key to its organisation; nil means that no request needs a key.
	Keys map[Key]*Organisation

	routesByHost map[string][]*Route
	ranks        map[priorityPair]ident.Rank
}

// SetRoutes sets the routes of the configuration and numbers the ranks. It must be called after Keys is set and before the
// configuration is used.
func (c *Config) SetRoutes(routes []Route) {
	c.routesByHost = make(map[string][]*Route)
	for i := range routes {
		r := &routes[i]
		c.routesByHost[r.Host] = append(c.routesByHost[r.Host], r)
	}
	c.setRanks()
}

// FindRoute returns the route of the host with the longest prefix that matches the path, or nil.
func (c *Config) FindRoute(host, path string) *Route {
	if name, _, ok := strings.Cut(host, ":"); ok {
		host = name
	}
	var best *Route
	for _, r := range c.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// PickPool returns the pool that draw, a random number in [0, 1), selects by weight.
func (r *Route) PickPool(draw float64) ident.Pool {
	var total float64
	for _, s := range r.Pools {
		total += s.Weight
	}
	remaining := draw * total
	for _, s := range r.Pools {
		if remaining < s.Weight {
			return s.Pool
		}
		remaining -= s.Weight
	}
	return r.Pools[len(r.Pools)-1].Pool
}

// ServedModel is a model that an endpoint serves, with its release.
type ServedModel struct {
	Model   Model
	Release Release
}

// LayerRange is a range of a model's layers, including From and excluding To. The zero value means all layers.
type LayerRange struct {
	_        struct{} `cbor:",toarray"`
	From, To int
}

// CoversAll reports whether the range covers all layers of a model.
func (r LayerRange) CoversAll(layers int) bool {
	return r == LayerRange{} || r.From == 0 && r.To >= layers
}

// ChunkRange returns the range of chunks that hold the layers of the range, given the numbers of layers and chunks of
// the model. It includes from and excludes to. A chunk with parts of two layers is needed for both.
func (r LayerRange) ChunkRange(layers, chunks int) (from, to int) {
	if r.CoversAll(layers) || layers <= 0 {
		return 0, chunks
	}
	return r.From * chunks / layers, (r.To*chunks + layers - 1) / layers
}

// Endpoint is the entry that an endpoint publishes about itself.
type Endpoint struct {
	ID      string
	Pool    ident.Pool
	Address string
	Zone    ident.Zone
	Slots   int
	// Draining says that the endpoint accepts no new requests.
	Draining bool
	// StartTime identifies the incarnation of the endpoint. It is a start time by the clock of another host, so it must
	// not be compared with the local clock.
	StartTime int64
	// Models lists the models that are loaded, completely or in part; empty for a plain service.
	Models []ServedModel
	// Layers is the range of layers that is loaded.
	Layers LayerRange
	// WarmupRemaining is the remaining time for which the endpoint is cold, counted from ReadAt, when this host read the
	// entry.
	WarmupRemaining time.Duration
	ReadAt          time.Time
}

// Incarnation identifies one start of an endpoint, which may start again under the same id.
type Incarnation struct {
	ID        string
	StartTime int64
}

// Incarnation returns the incarnation that the entry describes.
func (e *Endpoint) Incarnation() Incarnation {
	return Incarnation{ID: e.ID, StartTime: e.StartTime}
}

// Host returns the name of the endpoint's host, which is its IP address.
func (e *Endpoint) Host() ident.Host {
	ip, _, _ := strings.Cut(e.Address, ":")
	return ident.Host(ip)
}

// Release returns the release of a model that is loaded, completely or in part.
func (e *Endpoint) Release(m Model) (Release, bool) {
	for _, s := range e.Models {
		if s.Model == m {
			return s.Release, true
		}
	}
	return 0, false
}
