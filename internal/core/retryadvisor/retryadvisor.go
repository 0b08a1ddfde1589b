// Package retryadvisor decides how long a refused caller must wait before it retries.
package retryadvisor

import (
	"math"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/fairqueue"
)

const (
	// decayTime is the time after which the weight of past counts has fallen to 1/e.
	decayTime = 5 * time.Second
	minDelay  = time.Second
	maxDelay  = time.Minute
)

// Advisor spreads the retries of refused callers over time, in proportion to the overload of their class. It is not
// safe for concurrent use. Set its fields before use.
type Advisor struct {
	// Random returns a random number in [0, 1).
	Random func() float64

	classes map[fairqueue.Class]*counts
}

type counts struct {
	updatedAt time.Time
	admitted  float64
	refused   float64
}

// CountAdmitted counts an admitted request.
func (a *Advisor) CountAdmitted(c fairqueue.Class) {
	a.countsOf(c).admitted++
}

// CountRefused counts a refusal and returns the delay after which the caller may retry. The delay is at least a second.
// It grows with the ratio of refused to admitted requests of the class, and doubles with each lower class.
func (a *Advisor) CountRefused(c fairqueue.Class) time.Duration {
	counts := a.countsOf(c)
	counts.refused++
	overload := counts.refused / max(1, counts.admitted)
	meanDelay := float64(minDelay) * (1 + overload) * math.Pow(2, float64(c))
	jitter := 0.5 + a.Random()
	return min(maxDelay, max(minDelay, time.Duration(meanDelay*jitter)))
}

// countsOf returns the counts of a class, decayed to the current time.
func (a *Advisor) countsOf(c fairqueue.Class) *counts {
	if a.classes == nil {
		a.classes = make(map[fairqueue.Class]*counts)
	}
	classCounts, ok := a.classes[c]
	if !ok {
		classCounts = &counts{updatedAt: time.Now()}
		a.classes[c] = classCounts
	}
	now := time.Now()
	decay := math.Exp(-float64(now.Sub(classCounts.updatedAt)) / float64(decayTime))
	classCounts.updatedAt = now
	classCounts.admitted *= decay
	classCounts.refused *= decay
	return classCounts
}
