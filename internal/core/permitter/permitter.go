// Package permitter lets each non-idempotent request through to the back end once, and only soon after it was announced.
//
// The sender first asks for a permit, then checks its own deadline, then hands the request over with the permit. The
// permit's life is measured by this host's own elapsed time, so a sender that was paused after its check comes too late.
package permitter

import (
	"fmt"
	"sync"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

const (
	// Life is how long a permit can be used.
	Life = 2 * time.Second
	// memory is how long an admitted attempt gets no further permit.
	memory = 10 * time.Minute
)

// Permit is the right to hand one request over, once.
type Permit string

// Reason tells why a permit was refused.
type Reason string

// Reasons for refusals.
const (
	// Late permits have expired, or were never given by this process; nothing was run with them.
	Late Reason = "late"
	// Second requests have been admitted already, so that their attempt may be running.
	Second Reason = "second"
)

// Error is a refusal of a hand-over.
type Error struct {
	Reason  Reason
	Attempt ident.Request
}

// Error names the attempt and the reason.
func (e *Error) Error() string {
	return fmt.Sprintf("hand-over of request %s refused: %s", e.Attempt, e.Reason)
}

// Permitter gives and takes permits. Set its fields before use.
type Permitter struct {
	// NewPermit returns a permit that no one can guess.
	NewPermit func() Permit

	mu       sync.Mutex
	open     map[Permit]issued
	admitted map[ident.Request]time.Time
	queue    []ident.Request
	expiry   []Permit
}

type issued struct {
	attempt ident.Request
	at      time.Time
}

// Issue returns a permit for an attempt that was not admitted yet.
func (p *Permitter) Issue(attempt ident.Request) (Permit, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire()
	if _, ok := p.admitted[attempt]; ok {
		return "", &Error{Reason: Second, Attempt: attempt}
	}
	if p.open == nil {
		p.open = make(map[Permit]issued)
		p.admitted = make(map[ident.Request]time.Time)
	}
	permit := p.NewPermit()
	p.open[permit] = issued{attempt: attempt, at: time.Now()}
	p.expiry = append(p.expiry, permit)
	return permit, nil
}

// Admit uses a permit up. After it returned nil the attempt counts as admitted here, whatever becomes of it.
func (p *Permitter) Admit(attempt ident.Request, permit Permit) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.admitted[attempt]; ok {
		return &Error{Reason: Second, Attempt: attempt}
	}
	i, ok := p.open[permit]
	if !ok || i.attempt != attempt || time.Since(i.at) > Life {
		return &Error{Reason: Late, Attempt: attempt}
	}
	delete(p.open, permit)
	p.admitted[attempt] = time.Now()
	p.queue = append(p.queue, attempt)
	return nil
}

func (p *Permitter) expire() {
	for len(p.expiry) > 0 {
		i, ok := p.open[p.expiry[0]]
		if ok && time.Since(i.at) <= Life {
			break
		}
		delete(p.open, p.expiry[0])
		p.expiry = p.expiry[1:]
	}
	for len(p.queue) > 0 && time.Since(p.admitted[p.queue[0]]) > memory {
		delete(p.admitted, p.queue[0])
		p.queue = p.queue[1:]
	}
}
