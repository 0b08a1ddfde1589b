// Package shedder decides when a refused caller may come back.
package shedder

import (
	"math"
	"time"
)

const (
	window   = 5 * time.Second
	base     = time.Second
	maxAfter = time.Minute
)

// Shedder spreads the return of refused callers in proportion to the overload. It is not safe for concurrent use.
// Set its fields before use.
type Shedder struct {
	// Float64 returns a random number in [0, 1).
	Float64 func() float64

	at      time.Time
	granted float64
	refused float64
}

// Grant counts a request that was handed over.
func (s *Shedder) Grant() {
	s.decay()
	s.granted++
}

// Refuse counts a refusal and returns when its caller may come back: a second or more, longer with the share of
// refusals and with rank, which is the number of classes of work that go before the caller's.
func (s *Shedder) Refuse(rank int) time.Duration {
	s.decay()
	s.refused++
	overload := s.refused / max(1, s.granted)
	mean := float64(base) * (1 + overload) * math.Pow(2, float64(rank))
	spread := 0.5 + s.Float64()
	return min(maxAfter, max(base, time.Duration(mean*spread)))
}

func (s *Shedder) decay() {
	now := time.Now()
	f := math.Exp(-float64(now.Sub(s.at)) / float64(window))
	s.at = now
	s.granted *= f
	s.refused *= f
}
