package gateway

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/nutmegdock/nutmegdock/internal/core/crashsuspector"
	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
)

// harmlessEvents is the number of events after which a request is known not to crash its endpoint. An endpoint that
// crashes as it begins to write a response may have written one event.
const harmlessEvents = 2

// attempt is one attempt of a request that may still crash its endpoint.
type attempt struct {
	features []crashsuspector.Feature
	// cancel ends the attempt.
	cancel context.CancelFunc
	// sentTo is the endpoint that the request has been written to, or nil.
	sentTo atomic.Pointer[fleetconfig.Endpoint]
	// isQuarantined is set if one of the features has become quarantined since the attempt began.
	isQuarantined atomic.Bool

	previous, next *attempt
	isListed       bool
}

// markSent records that the request is about to be written to an endpoint, and reports whether it may be.
func (a *attempt) markSent(e *fleetconfig.Endpoint) bool {
	a.sentTo.Store(e)
	return !a.isQuarantined.Load()
}

// attemptList holds the attempts in progress that may still crash their endpoints.
type attemptList struct {
	mu    sync.Mutex
	first *attempt
}

func (l *attemptList) add(a *attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a.previous, a.next, a.isListed = nil, l.first, true
	if l.first != nil {
		l.first.previous = a
	}
	l.first = a
}

// remove removes an attempt, which may have been removed already.
func (l *attemptList) remove(a *attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !a.isListed {
		return
	}
	if a.previous != nil {
		a.previous.next = a.next
	} else {
		l.first = a.next
	}
	if a.next != nil {
		a.next.previous = a.previous
	}
	a.previous, a.next, a.isListed = nil, nil, false
}

// quarantine cancels the attempts with a feature. An attempt is marked only after that, so that one which is marked
// never seems to have failed by itself.
func (l *attemptList) quarantine(f crashsuspector.Feature) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for a := l.first; a != nil; a = a.next {
		for _, has := range a.features {
			if has == f {
				a.cancel()
				a.isQuarantined.Store(true)
			}
		}
	}
}

// suspects returns the features of the attempts that were sent to an incarnation of an endpoint.
func (l *attemptList) suspects(incarnation fleetconfig.Incarnation) []crashsuspector.Feature {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []crashsuspector.Feature
	for a := l.first; a != nil; a = a.next {
		if e := a.sentTo.Load(); e != nil && e.Incarnation() == incarnation {
			out = append(out, a.features...)
		}
	}
	return out
}
