package fleetconfig

import (
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

// RateLimit is what an endpoint has stated in one response about the requests that it takes from all hosts together. The
// zero value means that nothing is known.
type RateLimit struct {
	// ID identifies the response, so that a statement that hosts pass on to each other stays the same one.
	ID uint64
	// IsLimited says that the response stated a limit, and Rate is that limit.
	IsLimited bool
	Rate      ident.Rate
	// SentAt is when the request was sent and ReceivedAt when the header of the response arrived. The endpoint wrote the
	// statement between them.
	SentAt, ReceivedAt time.Time
}

// IsKnown reports whether the endpoint has stated anything.
func (l RateLimit) IsKnown() bool {
	return l.ID != 0
}

// Merge returns which of two statements holds. The one that was written later holds. If that is not certain, the stricter
// one holds: a response without a limit may have begun before the limit was set.
func (l RateLimit) Merge(other RateLimit) RateLimit {
	switch {
	case !other.IsKnown() || other.ID == l.ID:
		return l
	case !l.IsKnown() || other.SentAt.After(l.ReceivedAt):
		return other
	case l.SentAt.After(other.ReceivedAt):
		return l
	case l.IsLimited == other.IsLimited && l.Rate == other.Rate:
		if other.ReceivedAt.After(l.ReceivedAt) {
			return other
		}
		return l
	case !l.IsLimited || other.IsLimited && other.Rate < l.Rate:
		return other
	default:
		return l
	}
}
