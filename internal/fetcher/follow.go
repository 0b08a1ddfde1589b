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
	// defaultHeartbeat is the longest time until an answer, news or not.
	defaultHeartbeat = 2 * time.Second
	// askTime bounds a question beyond the heartbeat.
	askTime = time.Second
	// Answers a second to a host of the same zone and of another zone, and how many may come at once.
	zoneRate  = 1
	otherRate = 5
	burstSize = 8
	// followTime is how long the answerer remembers an asker.
	followTime = time.Minute
)

// watch follows the hosts that the planner names, and no others. It needs the lock.
func (b *burst) watch(ctx context.Context) {
	wanted := make(map[ident.Host]bool)
	for _, h := range b.planner.Watch() {
		wanted[h] = true
		if b.watches[h] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(ctx)
		b.watches[h] = cancel
		peer := b.peer(h)
		b.tasks.Go(func() error {
			b.ask(ctx, peer)
			return nil
		})
	}
	for h, cancel := range b.watches {
		if !wanted[h] {
			cancel()
			delete(b.watches, h)
		}
	}
}

// ask follows one host's holdings until ctx ends.
func (b *burst) ask(ctx context.Context, p Peer) {
	q := messages.HaveQuery{Host: b.Self.Host}
	b.introduce(&q)
	for ctx.Err() == nil {
		a, err := b.askOnce(ctx, p, q)
		if err != nil {
			b.introduce(&q)
			pause(ctx)
			continue
		}
		if a.Unknown {
			b.introduce(&q)
			continue
		}
		if a.Idle {
			b.introduce(&q)
			pause(ctx)
			continue
		}
		q = b.heard(p, q, a)
		b.notify()
	}
}

// heard takes an answer and returns the next question.
func (b *burst) heard(p Peer, q messages.HaveQuery, a messages.HaveAnswer) messages.HaveQuery {
	b.mu.Lock()
	defer b.mu.Unlock()
	d := chunkcache.Delta{Next: chunkcache.Cursor{Epoch: a.Epoch, Count: a.Count}, Full: a.Full, Added: a.Added}
	b.planner.Heard(p.Host, chunkcache.Cursor{Epoch: q.Epoch, Count: q.Count}, d, a.Ages)
	next := b.planner.Cursor(p.Host)
	return messages.HaveQuery{Host: b.Self.Host, Epoch: next.Epoch, Count: next.Count}
}

func pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(planInterval):
	}
}

func (b *burst) introduce(q *messages.HaveQuery) {
	q.Artifacts = b.artifacts
	q.Seed = b.Self.Seed
	q.Zone, q.Region, q.Data, q.Control = b.Self.Zone, b.Self.Region, b.Self.Data, b.Self.Control
}

func (b *burst) askOnce(ctx context.Context, p Peer, q messages.HaveQuery) (messages.HaveAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, b.heartbeat()+askTime)
	defer cancel()
	return b.Have(ctx, p, q)
}

// follower is a host that follows this one's holdings.
type follower struct {
	peer      Peer
	artifacts []ident.Digest
	limiter   *rate.Limiter
	seen      time.Time
}

func (f *Fetcher) heartbeat() time.Duration {
	if f.Tempo.Heartbeat > 0 {
		return f.Tempo.Heartbeat
	}
	return defaultHeartbeat
}

// Answer waits for news that the asker does not know, for two seconds at most.
func (f *Fetcher) Answer(ctx context.Context, q messages.HaveQuery) (messages.HaveAnswer, error) {
	from, ok := f.know(q)
	if !ok {
		return messages.HaveAnswer{Unknown: true}, nil
	}
	if f.isIdle(from.artifacts) {
		return messages.HaveAnswer{Idle: true}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, f.heartbeat())
	defer cancel()
	if len(q.Artifacts) == 0 {
		wait(ctx, from.limiter)
	}
	since := chunkcache.Cursor{Epoch: q.Epoch, Count: q.Count}
	for {
		news := f.newsChannel()
		d := f.Cache.Delta(from.artifacts, since)
		if !d.IsEmpty() || ctx.Err() != nil {
			return f.answer(d, from.artifacts), nil
		}
		select {
		case <-ctx.Done():
		case <-news:
		}
	}
}

// isIdle tells whether this host knows the manifest of none of the artifacts: it neither holds nor fetches them.
func (f *Fetcher) isIdle(artifacts []ident.Digest) bool {
	return !slices.ContainsFunc(artifacts, func(d ident.Digest) bool {
		_, ok := f.Cache.Artifact(d)
		return ok
	})
}

// wait takes a token, or waits until ctx ends.
func wait(ctx context.Context, l *rate.Limiter) {
	r := l.Reserve()
	select {
	case <-ctx.Done():
	case <-time.After(r.Delay()):
	}
}

func (f *Fetcher) know(q messages.HaveQuery) (*follower, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.follow == nil {
		f.follow = make(map[ident.Host]*follower)
		f.met = make(map[ident.Host]Peer)
	}
	if len(q.Artifacts) > 0 {
		f.meet(q)
	}
	from, ok := f.follow[q.Host]
	if ok {
		from.seen = time.Now()
		f.met[q.Host] = from.peer
		if f.planner != nil && slices.Equal(f.planner.Artifacts(), from.artifacts) {
			f.planner.Meet(from.peer.Peer)
		}
	}
	return from, ok
}

// meet remembers an asker, and forgets those not seen for long. It needs the lock.
func (f *Fetcher) meet(q messages.HaveQuery) {
	for h, old := range f.follow {
		if time.Since(old.seen) > followTime {
			delete(f.follow, h)
			delete(f.met, h)
		}
	}
	limit := rate.Limit(otherRate)
	if q.Zone == f.Self.Zone {
		limit = zoneRate
	}
	if f.Tempo.News > 0 {
		limit = rate.Limit(f.Tempo.News)
	}
	f.follow[q.Host] = &follower{
		peer: Peer{
			Peer: fetchplanner.Peer{Host: q.Host, Zone: q.Zone, Region: q.Region, Seed: q.Seed}, Data: q.Data, Control: q.Control,
		},
		artifacts: q.Artifacts, limiter: rate.NewLimiter(limit, burstSize),
	}
}

func (f *Fetcher) answer(d chunkcache.Delta, artifacts []ident.Digest) messages.HaveAnswer {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := messages.HaveAnswer{Epoch: d.Next.Epoch, Count: d.Next.Count, Full: d.Full, Added: d.Added}
	if f.planner != nil {
		out.Ages = f.planner.Ages(artifacts)
	}
	return out
}

func (f *Fetcher) newsChannel() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.news == nil {
		f.news = make(chan struct{})
	}
	return f.news
}

// announce wakes the answers that wait for news. It needs the lock.
func (f *Fetcher) announce() {
	if f.news != nil {
		close(f.news)
	}
	f.news = nil
}
