// Package outcometracker sums the outcomes of the requests of all entry hosts at one endpoint. It runs in the endpoint's
// responder, so that each host learns of failures that the others have seen.
package outcometracker

import (
	"math"
	"sync"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

const (
	// window is the time constant with which counts decay. An endpoint of the known fleets gets about ten requests per
	// second, so that a shorter window would hold too few to tell failures by chance from a fault.
	window = 2 * time.Second
	// hostRetention is how long the totals of a host are kept without a report. A host with requests reports more often.
	hostRetention = time.Minute
	// maxRun limits the length of a run. No decision needs a longer one.
	maxRun = 1000
)

// Totals holds the numbers of requests of one host at an endpoint since its process started.
type Totals struct {
	_              struct{} `cbor:",toarray"`
	Zone           ident.Zone
	Served, Failed uint32
	// ServedAge is the time since the last served request was sent.
	ServedAge Milliseconds
	// ServedMs is the sum of the times that the served requests took, in milliseconds. It may overflow.
	ServedMs uint32
}

// Milliseconds is a duration, in the unit that keeps messages small.
type Milliseconds uint32

// maxMilliseconds stands for a time that is long ago.
const maxMilliseconds = Milliseconds(time.Hour / time.Millisecond)

// NewMilliseconds returns a duration, which is at least zero and at most an hour.
func NewMilliseconds(d time.Duration) Milliseconds {
	return Milliseconds(max(0, min(maxMilliseconds.Duration(), d.Round(time.Millisecond))) / time.Millisecond)
}

// Duration returns the duration.
func (m Milliseconds) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// Counts holds the recent outcomes at an endpoint, as of the time when they were returned.
type Counts struct {
	_ struct{} `cbor:",toarray"`
	// Served and Failed are the decayed numbers of requests.
	Served, Failed float32
	// ServedMs is the decayed sum of the times that the served requests took, in milliseconds.
	ServedMs float32
	// ServedRun is the number of requests that were served since the last failure, and FailedRun the number of those that
	// failed since one was served.
	ServedRun, FailedRun int
	// FailureAge is the time since the last failure, and RunAge the time since the first of FailedRun. ServedAge is the time
	// since the last of the served requests was sent. They are only valid if there was one.
	FailureAge, RunAge, ServedAge Milliseconds
}

// Add adds outcomes to counts that are current, given the time since the last of the served requests was sent and the time
// that they took together. Requests that were sent before a run of failures do not end it. If requests were served and others
// failed, both runs end, because their order is not known.
func (c Counts) Add(served, failed uint32, servedAge Milliseconds, servedMs uint32) Counts {
	if served > 0 {
		if c.Served == 0 {
			c.ServedAge = servedAge
		}
		c.ServedAge = min(c.ServedAge, servedAge)
	}
	c.Served += float32(served)
	c.Failed += float32(failed)
	c.ServedMs += float32(servedMs)
	switch {
	case failed > 0 && served > 0:
		c.ServedRun, c.FailedRun = 0, 0
	case failed > 0:
		if c.FailedRun == 0 {
			c.RunAge = 0
		}
		c.ServedRun, c.FailedRun = 0, min(maxRun, c.FailedRun+int(failed))
	case served > 0 && (c.FailedRun == 0 || servedAge <= c.RunAge):
		c.ServedRun, c.FailedRun = min(maxRun, c.ServedRun+int(served)), 0
	}
	if failed > 0 {
		c.FailureAge = 0
	}
	return c
}

// After returns the counts as they are after a time without further requests.
func (c Counts) After(d time.Duration) Counts {
	if d <= 0 || c.Served == 0 && c.Failed == 0 {
		return c
	}
	decay := float32(math.Exp(-float64(d) / float64(window)))
	c.Served *= decay
	c.Failed *= decay
	c.ServedMs *= decay
	age := NewMilliseconds(d)
	c.FailureAge = min(maxMilliseconds, c.FailureAge+age)
	c.RunAge = min(maxMilliseconds, c.RunAge+age)
	c.ServedAge = min(maxMilliseconds, c.ServedAge+age)
	return c
}

// Requests returns the decayed number of requests.
func (c Counts) Requests() float64 {
	return float64(c.Served) + float64(c.Failed)
}

// FailureRate returns the share of the requests that failed; zero if there were none.
func (c Counts) FailureRate() float64 {
	if n := c.Requests(); n > 0 {
		return float64(c.Failed) / n
	}
	return 0
}

// Sums holds the outcomes of the hosts of one zone and of all hosts at an endpoint. Some endpoints fail only for the
// callers of one zone.
type Sums struct {
	_         struct{} `cbor:",toarray"`
	Zone, All Counts
}

type hostTotals struct {
	Totals
	process, serial uint64
	at              time.Time
}

type sum struct {
	counts Counts
	at     time.Time
}

func (s *sum) add(served, failed uint32, servedAge Milliseconds, servedMs uint32, now time.Time) {
	s.counts = s.counts.After(now.Sub(s.at)).Add(served, failed, servedAge, servedMs)
	s.at = now
}

// Tracker holds the outcomes at one endpoint. The zero value is ready to use. It is safe for concurrent use.
type Tracker struct {
	mu    sync.Mutex
	hosts map[ident.Host]hostTotals
	zones map[ident.Zone]*sum
	all   sum
}

// Record adds what a host has counted since its last report. The first report of a process only states where its later
// ones start: its requests may be older than the window. A host queries the responder before it sends its first request, so
// that nothing is missed but after a restart of the responder.
func (t *Tracker) Record(h ident.Host, totals Totals, process, serial uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	last, isKnown := t.hosts[h]
	if isKnown && last.process == process && last.serial > serial {
		return
	}
	if !isKnown {
		t.removeOld(now)
	}
	t.hosts[h] = hostTotals{Totals: totals, process: process, serial: serial, at: now}
	if !isKnown || last.process != process || totals.Served < last.Served || totals.Failed < last.Failed {
		return
	}
	served, failed := totals.Served-last.Served, totals.Failed-last.Failed
	if served == 0 && failed == 0 {
		return
	}
	zone := t.zones[totals.Zone]
	if zone == nil {
		zone = &sum{at: now}
		t.zones[totals.Zone] = zone
	}
	took := totals.ServedMs - last.ServedMs
	zone.add(served, failed, totals.ServedAge, took, now)
	t.all.add(served, failed, totals.ServedAge, took, now)
}

// removeOld drops the hosts that have not reported for hostRetention. The caller must hold t.mu.
func (t *Tracker) removeOld(now time.Time) {
	if t.hosts == nil {
		t.hosts, t.zones = make(map[ident.Host]hostTotals), make(map[ident.Zone]*sum)
	}
	for h, totals := range t.hosts {
		if now.Sub(totals.at) > hostRetention {
			delete(t.hosts, h)
		}
	}
}

// Sums returns the outcomes of the hosts of a zone and of all hosts. It returns false if there are none.
func (t *Tracker) Sums(z ident.Zone) (Sums, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.all.at.IsZero() {
		return Sums{}, false
	}
	now := time.Now()
	out := Sums{All: t.all.counts.After(now.Sub(t.all.at))}
	if zone := t.zones[z]; zone != nil {
		out.Zone = zone.counts.After(now.Sub(zone.at))
	}
	return out, true
}
