package fetcher

import (
	"context"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/nutmegdock/nutmegdock/internal/core/chunkcache"
	"github.com/nutmegdock/nutmegdock/internal/core/fetchplanner"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/messages"
)

const (
	// defaultHeartbeat is the maximum time until the response to an inventory query, even if nothing has changed.
	defaultHeartbeat = 2 * time.Second
	// queryGrace is the time that a query may take in addition to the heartbeat.
	queryGrace = time.Second
	// Rate limits of the inventory responses per second to a subscriber of the same zone and of another zone, and the
	// burst that both allow.
	sameZoneRate  = 1
	otherZoneRate = 5
	responseBurst = 8
	// subscriberTTL is how long a subscriber is kept after its last query.
	subscriberTTL = time.Minute
)

// watchPeers polls the inventories of the hosts that the planner names, and stops polling all others. The caller holds
// the lock.
func (r *fetchRun) watchPeers(ctx context.Context) {
	wanted := make(map[ident.Host]bool)
	for _, h := range r.planner.WatchedHosts() {
		wanted[h] = true
		if r.cancelWatch[h] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(ctx)
		r.cancelWatch[h] = cancel
		peer := r.peer(h)
		r.tasks.Go(func() error {
			r.pollInventory(ctx, peer)
			return nil
		})
	}
	for h, cancel := range r.cancelWatch {
		if !wanted[h] {
			cancel()
			delete(r.cancelWatch, h)
		}
	}
}

// pollInventory applies the changes of a peer's inventory to the planner until ctx ends.
func (r *fetchRun) pollInventory(ctx context.Context, p Peer) {
	query := messages.InventoryQuery{Host: r.Self.Host}
	r.describeSelf(&query)
	for ctx.Err() == nil {
		response, err := r.queryInventory(ctx, p, query)
		if err != nil {
			r.describeSelf(&query)
			waitBeforeRetry(ctx)
			continue
		}
		if response.Unknown {
			r.describeSelf(&query)
			continue
		}
		if response.Idle {
			r.describeSelf(&query)
			waitBeforeRetry(ctx)
			continue
		}
		query = r.applyResponse(p, query, response)
		r.notify()
	}
}

// applyResponse applies a peer's response to the planner and returns the next query.
func (r *fetchRun) applyResponse(p Peer, query messages.InventoryQuery, response messages.InventoryResponse) messages.InventoryQuery {
	r.mu.Lock()
	defer r.mu.Unlock()
	delta := chunkcache.Delta{Next: chunkcache.Cursor{Epoch: response.Epoch, Count: response.Position}, Full: response.Full, Added: response.AddedChunks}
	r.planner.ApplyResponse(p.Host, chunkcache.Cursor{Epoch: query.Epoch, Count: query.Position}, delta, response.ProgressAges)
	next := r.planner.Cursor(p.Host)
	return messages.InventoryQuery{Host: r.Self.Host, Epoch: next.Epoch, Position: next.Count}
}

func waitBeforeRetry(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(planInterval):
	}
}

func (r *fetchRun) describeSelf(query *messages.InventoryQuery) {
	query.Artifacts = r.artifacts
	query.IsSeed = r.Self.Seed
	query.Zone, query.Region, query.DataAddress, query.ControlAddress = r.Self.Zone, r.Self.Region, r.Self.DataAddress, r.Self.ControlAddress
}

func (r *fetchRun) queryInventory(ctx context.Context, p Peer, query messages.InventoryQuery) (messages.InventoryResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, r.heartbeat()+queryGrace)
	defer cancel()
	return r.QueryInventory(ctx, p, query)
}

// subscriber is a host that polls this host's inventory.
type subscriber struct {
	peer      Peer
	artifacts []ident.Digest
	limiter   *rate.Limiter
	lastSeen  time.Time
}

func (f *Fetcher) heartbeat() time.Duration {
	if f.Timing.HeartbeatInterval > 0 {
		return f.Timing.HeartbeatInterval
	}
	return defaultHeartbeat
}

// ServeInventory returns the changes of this host's inventory since the query's cursor. If there are none, it waits for
// the next change, for one heartbeat at most. The rate limit of the subscriber merges frequent changes into one
// response.
func (f *Fetcher) ServeInventory(ctx context.Context, q messages.InventoryQuery) (messages.InventoryResponse, error) {
	sub, ok := f.subscriberOf(q)
	if !ok {
		return messages.InventoryResponse{Unknown: true}, nil
	}
	if f.isIdle(sub.artifacts) {
		return messages.InventoryResponse{Idle: true}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, f.heartbeat())
	defer cancel()
	if len(q.Artifacts) == 0 {
		waitForToken(ctx, sub.limiter)
	}
	since := chunkcache.Cursor{Epoch: q.Epoch, Count: q.Position}
	for {
		changed := f.inventoryChanged()
		d := f.Cache.Delta(sub.artifacts, since)
		if !d.IsEmpty() || ctx.Err() != nil {
			return f.newResponse(d, sub.artifacts), nil
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// isIdle reports whether this host has no manifest of the artifacts, so that it neither holds nor fetches them.
func (f *Fetcher) isIdle(artifacts []ident.Digest) bool {
	return !slices.ContainsFunc(artifacts, func(d ident.Digest) bool {
		_, ok := f.Cache.Artifact(d)
		return ok
	})
}

// waitForToken waits for a token of the limiter or for the end of ctx. The token is consumed in both cases.
func waitForToken(ctx context.Context, l *rate.Limiter) {
	reservation := l.Reserve()
	select {
	case <-ctx.Done():
	case <-time.After(reservation.Delay()):
	}
}

// subscriberOf returns the sender of a query, and false if it has not described itself in this or an earlier query.
func (f *Fetcher) subscriberOf(q messages.InventoryQuery) (*subscriber, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.subscribers == nil {
		f.subscribers = make(map[ident.Host]*subscriber)
		f.discovered = make(map[ident.Host]Peer)
	}
	if len(q.Artifacts) > 0 {
		f.addSubscriber(q)
	}
	sub, ok := f.subscribers[q.Host]
	if ok {
		sub.lastSeen = time.Now()
		f.discovered[q.Host] = sub.peer
		if f.planner != nil && slices.Equal(f.planner.Artifacts(), sub.artifacts) {
			f.planner.AddDiscoveredPeer(sub.peer.Peer)
		}
	}
	return sub, ok
}

// addSubscriber records the sender of a query and removes the expired subscribers. The caller holds the lock.
func (f *Fetcher) addSubscriber(q messages.InventoryQuery) {
	for h, sub := range f.subscribers {
		if time.Since(sub.lastSeen) > subscriberTTL {
			delete(f.subscribers, h)
			delete(f.discovered, h)
		}
	}
	limit := rate.Limit(otherZoneRate)
	if q.Zone == f.Self.Zone {
		limit = sameZoneRate
	}
	if f.Timing.ResponseRate > 0 {
		limit = rate.Limit(f.Timing.ResponseRate)
	}
	f.subscribers[q.Host] = &subscriber{
		peer: Peer{
			Peer: fetchplanner.Peer{Host: q.Host, Zone: q.Zone, Region: q.Region, Seed: q.IsSeed}, DataAddress: q.DataAddress, ControlAddress: q.ControlAddress,
		},
		artifacts: q.Artifacts, limiter: rate.NewLimiter(limit, responseBurst),
	}
}

func (f *Fetcher) newResponse(d chunkcache.Delta, artifacts []ident.Digest) messages.InventoryResponse {
	f.mu.Lock()
	defer f.mu.Unlock()
	response := messages.InventoryResponse{Epoch: d.Next.Epoch, Position: d.Next.Count, Full: d.Full, AddedChunks: d.Added}
	if f.planner != nil {
		response.ProgressAges = f.planner.ProgressAges(artifacts)
	}
	return response
}

func (f *Fetcher) inventoryChanged() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.inventoryChange == nil {
		f.inventoryChange = make(chan struct{})
	}
	return f.inventoryChange
}

// wakeSubscribers ends the wait of all inventory queries that wait for a change. The caller holds the lock.
func (f *Fetcher) wakeSubscribers() {
	if f.inventoryChange != nil {
		close(f.inventoryChange)
	}
	f.inventoryChange = nil
}
