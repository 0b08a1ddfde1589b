package assigner

import (
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/boundedmap"
	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

const (
	// shareTTL is how long the share of an organisation is used without another reply.
	shareTTL = 3 * time.Second
	// shareSmoothing is the weight of one reply in the mean share, and minShareReplies the number of replies below which it
	// is not used: one engine sees few requests of each organisation.
	shareSmoothing  = 0.05
	minShareReplies = 9
	// shareTolerance is how far above its fair share an organisation may be, as a multiple.
	shareTolerance = 1.25
	// maxShares limits the shares that are kept.
	maxShares = 4096
	// maxStarted limits the requests at an endpoint that have started since the last report and are named in the next.
	maxStarted = 16
)

// Requester identifies the requests that share what a rank gets.
type Requester struct {
	_            struct{} `cbor:",toarray"`
	Rank         ident.Rank
	Organisation ident.OrganisationKey
}

// requester returns the requester of a query.
func (q *Query) requester() Requester {
	return Requester{Rank: q.Rank, Organisation: q.Organisation}
}

type shareKey struct {
	pool      ident.Pool
	requester Requester
}

// shareMean is the mean of what responders reply about the share of an organisation.
type shareMean struct {
	used, fair float64
	replies    int
	at         time.Time
}

// shares holds the shares of organisations.
type shares struct {
	means boundedmap.Map[shareKey, shareMean]
}

// RecordShare records how many requests of a requester an endpoint has had of late, and how many are its fair share.
func (a *Assigner) RecordShare(p ident.Pool, r Requester, used, fair float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	key := shareKey{p, r}
	m := a.shares.means.Get(key)
	now := time.Now()
	if now.Sub(m.at) > shareTTL {
		m = shareMean{}
	}
	m.replies++
	weight := max(shareSmoothing, 1/float64(m.replies))
	m.used += weight * (used - m.used)
	m.fair += weight * (fair - m.fair)
	m.at = now
	a.shares.means.Limit = maxShares
	a.shares.means.Set(key, m)
}

// IsAboveShare reports whether the requester of a query has had more than its fair share of late, while requests of its rank
// are refused.
func (a *Assigner) IsAboveShare(q Query) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.isAboveShare(q, time.Now())
}

func (a *Assigner) isAboveShare(q Query, now time.Time) bool {
	if q.Organisation == 0 || !a.reserver(q.Pool).IsContended(q.Rank) {
		return false
	}
	m := a.shares.means.Get(shareKey{q.Pool, q.requester()})
	return m.replies >= minShareReplies && now.Sub(m.at) <= shareTTL && m.used > shareTolerance*m.fair
}

// TakeStarted returns the requesters whose requests were sent to an endpoint since the last call.
func (a *Assigner) TakeStarted(e fleetconfig.Endpoint) []Requester {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.incarnation(e)
	if s == nil {
		return nil
	}
	out := s.started
	s.started = nil
	return out
}
