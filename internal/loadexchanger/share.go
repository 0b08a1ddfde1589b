package loadexchanger

import (
	"context"
	"math"

	"github.com/nutmegdock/nutmegdock/internal/core/assigner"
	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/sharetracker"
)

// demandPerQuery is the part of a request that one query of its first round stands for: three endpoints are queried then.
const demandPerQuery = 1.0 / 3

// Sharing states which organisations use an endpoint, and which one asks for its share.
type Sharing struct {
	_ struct{} `cbor:",toarray"`
	// Requester is the one of the request that the query is for; nil if there is none. IsFirst says that it is the first
	// round of the request, so that each request is counted once.
	Requester *assigner.Requester
	IsFirst   bool
	// Started holds the requesters whose requests were sent to the endpoint since the last report.
	Started []assigner.Requester
}

// Share states how many requests of a requester the endpoint has had of late, and how many are its fair share.
type Share struct {
	_          struct{} `cbor:",toarray"`
	Used, Fair float32
}

// Asker is the request that a query is made for.
type Asker struct {
	Requester assigner.Requester
	// IsFirst says that it is the first round of the request.
	IsFirst bool
}

// QueryFor is Query for a request, whose organisation it names. The share of the organisation is passed to OnShare.
func (x *Exchanger) QueryFor(ctx context.Context, endpoints []fleetconfig.Endpoint, asker Asker) {
	x.query(ctx, endpoints, &asker)
}

// sharingOf returns what to report about organisations at an endpoint, or nil if that is nothing.
func (x *Exchanger) sharingOf(e fleetconfig.Endpoint, asker *Asker) *Sharing {
	s := &Sharing{}
	if x.TakeStarted != nil {
		s.Started = x.TakeStarted(e)
	}
	if asker != nil && asker.Requester.Organisation != 0 {
		s.Requester, s.IsFirst = &asker.Requester, asker.IsFirst
	}
	if s.Requester == nil && len(s.Started) == 0 {
		return nil
	}
	return s
}

// recordSharing records a report about organisations, and returns the share that it asks for.
func recordSharing(t *sharetracker.Tracker, s *Sharing) *Share {
	if s == nil {
		return nil
	}
	for _, r := range s.Started {
		t.Use(r.Rank, r.Organisation)
	}
	if s.Requester == nil {
		return nil
	}
	if s.IsFirst {
		t.Demand(s.Requester.Rank, s.Requester.Organisation, demandPerQuery)
	}
	used, fair := t.Share(s.Requester.Rank, s.Requester.Organisation)
	if math.IsInf(fair, 1) {
		return nil
	}
	return &Share{Used: float32(used), Fair: float32(fair)}
}

// notifyShare passes the share in a reply on. Without contention, nothing counts as used.
func (x *Exchanger) notifyShare(q *query, s *Share) {
	if x.OnShare == nil || q.asker == nil || q.asker.Requester.Organisation == 0 {
		return
	}
	if s == nil {
		s = &Share{Fair: 1}
	}
	x.OnShare(q.endpoint, q.asker.Requester, float64(s.Used), float64(s.Fair))
}
