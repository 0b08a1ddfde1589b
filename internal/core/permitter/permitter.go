// Package permitter admits each non-idempotent request to the back end at most once, with a permit that expires soon.
//
// The sender first requests a permit, then checks its deadline, then sends the request with the permit. The permit's
// lifetime is measured on this host, so the request of a sender that was paused after its check is refused.
package permitter

import (
	"fmt"
	"sync"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

const (
	// TTL is how long a permit is valid.
	TTL = 2 * time.Second
	// admittedTTL is how long an admitted attempt is remembered, so that it receives no further permit.
	admittedTTL = 10 * time.Minute
)

// Permit authorises the sender to send one request once.
type Permit string

// Reason is the reason why a request or its permit was refused.
type Reason string

// Reasons for refusals.
const (
	// Expired means that the permit has expired or was not issued by this process for the attempt; nothing was run with
	// it.
	Expired Reason = "late"
	// AlreadyAdmitted means that the attempt was already admitted, so it may be running.
	AlreadyAdmitted Reason = "second"
)

// Error is a refusal to issue a permit or to admit a request.
type Error struct {
	Reason  Reason
	Attempt ident.RequestID
}

// Error names the attempt and the reason.
func (e *Error) Error() string {
	return fmt.Sprintf("hand-over of request %s refused: %s", e.Attempt, e.Reason)
}

// Permitter issues and redeems permits. Set its fields before use.
type Permitter struct {
	// NewPermit returns an unguessable permit.
	NewPermit func() Permit

	mu       sync.Mutex
	issued   map[Permit]issuedPermit
	admitted map[ident.RequestID]time.Time
	// admittedOrder and issuedOrder hold the keys of admitted and issued, oldest first.
	admittedOrder []ident.RequestID
	issuedOrder   []Permit
}

type issuedPermit struct {
	attempt  ident.RequestID
	issuedAt time.Time
}

// Issue returns a permit for an attempt that has not been admitted.
func (p *Permitter) Issue(attempt ident.RequestID) (Permit, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire()
	if _, ok := p.admitted[attempt]; ok {
		return "", &Error{Reason: AlreadyAdmitted, Attempt: attempt}
	}
	if p.issued == nil {
		p.issued = make(map[Permit]issuedPermit)
		p.admitted = make(map[ident.RequestID]time.Time)
	}
	permit := p.NewPermit()
	p.issued[permit] = issuedPermit{attempt: attempt, issuedAt: time.Now()}
	p.issuedOrder = append(p.issuedOrder, permit)
	return permit, nil
}

// Redeem redeems a permit. Once it has returned nil, the attempt counts as admitted, whatever its outcome.
func (p *Permitter) Redeem(attempt ident.RequestID, permit Permit) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.admitted[attempt]; ok {
		return &Error{Reason: AlreadyAdmitted, Attempt: attempt}
	}
	i, ok := p.issued[permit]
	if !ok || i.attempt != attempt || time.Since(i.issuedAt) > TTL {
		return &Error{Reason: Expired, Attempt: attempt}
	}
	delete(p.issued, permit)
	p.admitted[attempt] = time.Now()
	p.admittedOrder = append(p.admittedOrder, attempt)
	return nil
}

// expire deletes expired permits and admitted attempts older than admittedTTL.
func (p *Permitter) expire() {
	for len(p.issuedOrder) > 0 {
		i, ok := p.issued[p.issuedOrder[0]]
		if ok && time.Since(i.issuedAt) <= TTL {
			break
		}
		delete(p.issued, p.issuedOrder[0])
		p.issuedOrder = p.issuedOrder[1:]
	}
	for len(p.admittedOrder) > 0 && time.Since(p.admitted[p.admittedOrder[0]]) > admittedTTL {
		delete(p.admitted, p.admittedOrder[0])
		p.admittedOrder = p.admittedOrder[1:]
	}
}
