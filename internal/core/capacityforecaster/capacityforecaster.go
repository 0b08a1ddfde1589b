// Package capacityforecaster advises refused callers when to retry, from when capacity is expected.
//
// Load pattern: overload of various lengths, with callers that retry once. A fixed delay makes requests late that could
// have been served in time by a retry a moment later, and invites callers to retry during an overload that lasts.
package capacityforecaster

import (
	"math"
	"sync"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

const (
	// decayTime is the time after which the weight of past outcomes has fallen to 1/e. It is a third of the time that
	// callers typically wait before a retry.
	decayTime = time.Second
	// minNearShare is the share of the requests of a rank that must be served for a gap to count as near. Below it, a retry
	// at once takes the place of another request: in replays, 0.5 and 0.8 let up to 2.7% of the served requests start late,
	// as hosts cannot recognise such retries, and no more in time.
	minNearShare = 0.9
	// minLateShare is the share of the requests with a passed objective that must be served for a late retry to have a
	// prospect.
	minLateShare = 0.05
	// overloadShare is the share of requests that must be refused for an overload to begin, and recoveredShare that below
	// which it ends.
	overloadShare, recoveredShare = 0.05, 0.02
	// nearDelay is the delay of a retry when a gap is near: about one pass of an engine with a prompt. nearSpread is the
	// random part of it.
	nearDelay  = 80 * time.Millisecond
	nearSpread = 0.5
)

// Forecaster tracks what became of the requests of one pool. Set its fields before use. It is safe for concurrent use.
type Forecaster struct {
	// Random returns a random number in [0, 1).
	Random func() float64

	mu       sync.Mutex
	inTime   map[ident.Rank]*outcomes
	late     outcomes
	all      outcomes
	overSeen time.Time // when the present overload began; zero if there is none
}

// outcomes are the decayed numbers of requests and of those that were served.
type outcomes struct {
	total, served float64
	at            time.Time
}

func (o *outcomes) decay(now time.Time) {
	factor := math.Exp(-float64(now.Sub(o.at)) / float64(decayTime))
	o.total, o.served, o.at = o.total*factor, o.served*factor, now
}

func (o *outcomes) add(now time.Time, isServed bool) {
	o.decay(now)
	o.total++
	if isServed {
		o.served++
	}
}

// servedShare returns the share of requests that were served. Few requests say little, so that one assumed outcome counts
// as well.
func (o *outcomes) servedShare(assumed float64) float64 {
	return (o.served + assumed) / (o.total + 1)
}

// Record records whether a request was served. isLate says that its objective had passed.
func (f *Forecaster) Record(rank ident.Rank, isLate, isServed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if isLate {
		f.late.add(now, isServed)
		return
	}
	if f.inTime == nil {
		f.inTime = make(map[ident.Rank]*outcomes)
	}
	if f.inTime[rank] == nil {
		f.inTime[rank] = &outcomes{}
	}
	f.inTime[rank].add(now, isServed)
	f.all.add(now, isServed)
	switch refused := 1 - f.all.servedShare(1); {
	case refused <= recoveredShare:
		f.overSeen = time.Time{}
	case refused >= overloadShare && f.overSeen.IsZero():
		f.overSeen = now
	}
}

// Refused describes a request that is refused for overload.
type Refused struct {
	Rank ident.Rank
	// TimeLeft is the rest of its objective, and ServiceTime the predicted time to its first event at an engine with a free
	// slot. Longest is the longest delay that its caller honours.
	TimeLeft, ServiceTime, Longest time.Duration
}

// RetryAfter returns the time after which the caller should retry, or zero if a retry has no prospect of success.
func (f *Forecaster) RetryAfter(r Refused) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	delay := time.Duration(float64(nearDelay) * (1 - nearSpread*f.Random()))
	if own := f.inTime[r.Rank]; own != nil {
		own.decay(now)
		if own.servedShare(0) >= minNearShare && r.TimeLeft-delay >= r.ServiceTime && delay <= r.Longest {
			return delay
		}
	}
	f.late.decay(now)
	// An overload is expected to last as long again as it has lasted so far.
	if !f.overSeen.IsZero() && now.Sub(f.overSeen) > r.Longest && f.late.servedShare(1) < minLateShare {
		return 0
	}
	return max(0, r.Longest)
}
