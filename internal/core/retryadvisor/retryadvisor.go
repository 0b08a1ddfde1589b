// Package retryadvisor decides when a refused caller may come back.
package retryadvisor

import (
	"math"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/fairqueue"
)

const (
	window   = 5 * time.Second
	base     = time.Second
	maxAfter = time.Minute
)

// Advisor spreads the return of refused callers in proportion to the overload of their class. It is not safe for
// concurrent use. Set its fields before use.
type Advisor struct {
	// Float64 returns a random number in [0, 1).
	Float64 func() float64

	classes map[fairqueue.Class]*counts
}

type counts struct {
	at      time.Time
	granted float64
	refused float64
}

// Grant counts a request that was handed over.
func (a *Advisor) Grant(c fairqueue.Class) {
	a.class(c).granted++
}

// Refuse counts a refusal and returns when its caller may come back: a second or more, longer with the class's share of
// refusals, and for lower classes.
func (a *Advisor) Refuse(c fairqueue.Class) time.Duration {
	n := a.class(c)
	n.refused++
	overload := n.refused / max(1, n.granted)
	mean := float64(base) * (1 + overload) * math.Pow(2, float64(c))
	spread := 0.5 + a.Float64()
	return min(maxAfter, max(base, time.Duration(mean*spread)))
}

// class returns the counts of a class, aged to now.
func (a *Advisor) class(c fairqueue.Class) *counts {
	if a.classes == nil {
		a.classes = make(map[fairqueue.Class]*counts)
	}
	n, ok := a.classes[c]
	if !ok {
		n = &counts{at: time.Now()}
		a.classes[c] = n
	}
	now := time.Now()
	f := math.Exp(-float64(now.Sub(n.at)) / float64(window))
	n.at = now
	n.granted *= f
	n.refused *= f
	return n
}
