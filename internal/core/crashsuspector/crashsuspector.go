// Package crashsuspector finds the features of requests that crash engines, from the crashes and the answers that all
// entry hosts observe.
package crashsuspector

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// Retention is how long a fact counts. A crash is kept for longer if others with the same feature followed it.
	Retention = 10 * time.Minute
	// maxAge is the greatest age of a fact that is accepted.
	maxAge = 24 * time.Hour
	// announceInterval is the least time between two announcements of a clearing by one host.
	announceInterval = 200 * time.Millisecond
	// spreadTime is how long clearings without crashes to clear, and crashes without suspects, are sent to other hosts.
	spreadTime = 30 * time.Second
)

// Verdict says how a request may be run.
type Verdict int

// Verdicts.
const (
	// Clean requests run without restrictions.
	Clean Verdict = iota
	// Suspect requests run, but are not sent to another endpoint after one that crashed.
	Suspect
	// Quarantined requests are refused.
	Quarantined
)

// Suspector holds the facts of one host. Set its fields before use. It is safe for concurrent use.
type Suspector struct {
	// OnQuarantine is called with each feature that becomes quarantined, without a lock held. It may be nil.
	OnQuarantine func(f Feature)
	// OnLift is called with each feature that is no longer quarantined, without a lock held. It may be nil.
	OnLift func(f Feature)
	// MayProbe reports whether this host is the one that tries a quarantined feature again after a time. Nil means never.
	MayProbe func() bool

	mu        sync.Mutex
	successes successTable
	facts     factSet
	probes    map[Feature]probe

	// view is nil if there are no facts. It is replaced with mu held.
	view atomic.Pointer[view]
}

// view is what the facts say at one time.
type view struct {
	findings map[Feature]finding
	// validUntil is when facts may have expired.
	validUntil time.Time
}

// RecordCrash records a crash that this host has observed, and returns the facts to announce to the other hosts.
func (s *Suspector) RecordCrash(id CrashID, suspects []Feature) Facts {
	s.mu.Lock()
	now := time.Now()
	s.initialise()
	added := s.facts.addCrash(id, now, s.limitSuspects(suspects, now))
	var out Facts
	if c := s.facts.crashes[id]; c != nil && len(added) > 0 {
		out.Clearings = s.clear(added, c.at, now)
		out.Crashes = []Crash{exportCrash(c, now)}
	}
	changes := s.update(now)
	s.mu.Unlock()
	s.notify(changes)
	return out
}

// limitSuspects returns the features without those that were answered here a moment ago. If there are too many, it
// keeps those that were answered the longest ago.
func (s *Suspector) limitSuspects(suspects []Feature, now time.Time) []Feature {
	kept := slices.Clone(suspects)
	slices.Sort(kept)
	kept = slices.DeleteFunc(slices.Compact(kept), func(f Feature) bool {
		at, ok := s.successes.last(f)
		return ok && clears(at, now)
	})
	if len(kept) <= maxSuspects {
		return kept
	}
	slices.SortStableFunc(kept, func(a, b Feature) int {
		x, _ := s.successes.last(a)
		y, _ := s.successes.last(b)
		return x.Compare(y)
	})
	return kept[:maxSuspects]
}

// RecordSuccess records that a request with the features was answered, and returns the facts to announce.
func (s *Suspector) RecordSuccess(features []Feature) Facts {
	s.mu.Lock()
	now := time.Now()
	for _, f := range features {
		s.successes.record(f, now)
	}
	if s.facts.isEmpty() {
		s.mu.Unlock()
		return Facts{}
	}
	var out Facts
	for _, f := range features {
		if len(s.facts.byFeature[f]) == 0 {
			continue
		}
		s.facts.addClearing(f, s.successes.id(f), now)
		if now.Sub(s.facts.clearings[f].announced) < announceInterval {
			continue
		}
		s.facts.markAnnounced(f, now)
		out.Clearings = append(out.Clearings, exportClearing(f, s.facts.clearings[f], now))
	}
	changes := s.update(now)
	s.mu.Unlock()
	s.notify(changes)
	return out
}

// Merge adds the facts of another host. It returns the clearings that this host knows of the suspects among them, and the
// crashes that are older than the sender holds them to be, without suspects.
func (s *Suspector) Merge(facts Facts) Facts {
	s.mu.Lock()
	now := time.Now()
	s.initialise()
	for _, c := range facts.Clearings {
		if at, ok := timeOf(c.AgeMs, now); ok && now.Sub(at) < Retention {
			s.facts.addHeardClearing(c.Feature, c.ID, at)
		}
	}
	var out Facts
	for _, c := range facts.Crashes {
		at, ok := timeOf(c.AgeMs, now)
		if !ok {
			continue
		}
		if held := s.facts.crashes[c.ID]; held != nil && at.Sub(held.at) >= successWindow {
			at = held.at
			out.Crashes = append(out.Crashes, Crash{ID: c.ID, AgeMs: now.Sub(at).Milliseconds()})
		}
		out.Clearings = append(out.Clearings, s.repeatClearings(c.Suspects, at, now)...)
		if added := s.facts.addCrash(c.ID, at, c.Suspects); len(added) > 0 {
			if held := s.facts.crashes[c.ID]; held != nil {
				out.Clearings = append(out.Clearings, s.clear(added, held.at, now)...)
			}
		}
	}
	changes := s.update(now)
	s.mu.Unlock()
	s.notify(changes)
	return out
}

// clear adds the clearings that this host's successes give for new suspects of a crash, and returns them. A success
// that is too old to clear this crash is returned as well if it is the first one known of the feature.
func (s *Suspector) clear(suspects []Feature, crashed, now time.Time) []Clearing {
	var out []Clearing
	for _, f := range suspects {
		at, ok := s.successes.last(f)
		known := s.facts.clearings[f].at
		if !ok || now.Sub(at) >= Retention || (!known.IsZero() && !clears(at, crashed)) {
			continue
		}
		s.facts.addClearing(f, s.successes.id(f), at)
		s.facts.markAnnounced(f, now)
		out = append(out, exportClearing(f, s.facts.clearings[f], now))
	}
	return out
}

// repeatClearings returns the clearings that the sender of a crash has missed.
func (s *Suspector) repeatClearings(suspects []Feature, crashed, now time.Time) []Clearing {
	var out []Clearing
	for _, f := range suspects {
		held := s.facts.clearings[f]
		if !clears(held.at, crashed) || now.Sub(held.at) < spreadTime || now.Sub(held.announced) < spreadTime {
			continue
		}
		s.facts.markAnnounced(f, now)
		out = append(out, exportClearing(f, held, now))
	}
	return out
}

// Remaining returns those of the clearings that Merge has returned that no other host has announced since then, with
// their present ages.
func (s *Suspector) Remaining(clearings []Clearing) []Clearing {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var out []Clearing
	for _, c := range clearings {
		held := s.facts.clearings[c.Feature]
		if held.at.IsZero() || !held.heardAt.Before(held.at.Add(-announceInterval)) {
			continue
		}
		out = append(out, exportClearing(c.Feature, held, now))
	}
	return out
}

// Facts returns the facts that still matter, for a host that may lack them. The newest crashes come first.
func (s *Suspector) Facts() Facts {
	s.mu.Lock()
	now := time.Now()
	changes := s.update(now)
	var out Facts
	for _, c := range s.facts.crashes {
		if len(c.suspects) > 0 || now.Sub(c.at) < spreadTime {
			out.Crashes = append(out.Crashes, exportCrash(c, now))
		}
	}
	for f, c := range s.facts.clearings {
		if len(s.facts.byFeature[f]) > 0 || now.Sub(c.at) < spreadTime {
			out.Clearings = append(out.Clearings, exportClearing(f, c, now))
		}
	}
	s.mu.Unlock()
	s.notify(changes)
	slices.SortFunc(out.Crashes, func(a, b Crash) int {
		return cmp.Or(cmp.Compare(a.AgeMs, b.AgeMs), cmp.Compare(a.ID, b.ID))
	})
	slices.SortFunc(out.Clearings, func(a, b Clearing) int { return cmp.Compare(a.Feature, b.Feature) })
	return out
}

// Evidence returns the crashes for which a feature is quarantined, without their other suspects. A host that merges
// them quarantines the feature as well.
func (s *Suspector) Evidence(f Feature) Facts {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out Facts
	now := time.Now()
	for _, c := range slices.Backward(s.facts.byFeature[f]) {
		out.Crashes = append(out.Crashes, Crash{ID: c.id, AgeMs: now.Sub(c.at).Milliseconds(), Suspects: []Feature{f}})
	}
	return out
}

// QuarantinedFeatures returns the features that are quarantined, in order.
func (s *Suspector) QuarantinedFeatures() []Feature {
	var out []Feature
	if v := s.currentView(); v != nil {
		for f, found := range v.findings {
			if found.verdict == Quarantined {
				out = append(out, f)
			}
		}
	}
	slices.Sort(out)
	return out
}

// Verdict returns how a request with the features may be run. A request that is chosen to try a quarantined feature again
// is Suspect: Verdict may be called once more for it, right before it is sent.
func (s *Suspector) Verdict(features []Feature) Verdict {
	v := s.currentView()
	if v == nil {
		return Clean
	}
	worst := Clean
	for _, f := range features {
		worst = max(worst, v.findings[f].verdict)
	}
	if worst == Quarantined && s.startProbe(features) {
		return Suspect
	}
	return worst
}

// currentView returns the view of the facts that have not expired.
func (s *Suspector) currentView() *view {
	v := s.view.Load()
	if v == nil || time.Now().Before(v.validUntil) {
		return v
	}
	s.mu.Lock()
	changes := s.update(time.Now())
	v = s.view.Load()
	s.mu.Unlock()
	s.notify(changes)
	return v
}

// initialise prepares the set of facts for the first one.
func (s *Suspector) initialise() {
	if s.facts.crashes == nil {
		s.facts = newFactSet()
	}
}

// changes are the features whose verdict has changed.
type changes struct{ quarantined, lifted []Feature }

// update removes expired facts and decides again if the facts have changed.
func (s *Suspector) update(now time.Time) changes {
	s.facts.expire(now)
	old := s.view.Load()
	if !s.facts.changed {
		if old != nil && !now.Before(old.validUntil) {
			s.view.Store(&view{findings: old.findings, validUntil: now.Add(expiryInterval)})
		}
		return changes{}
	}
	var before map[Feature]finding
	if old != nil {
		before = old.findings
	}
	s.facts.limit(s.facts.evidence(before))
	s.facts.changed = false
	if s.facts.isEmpty() {
		s.view.Store(nil)
		s.probes = nil
		return diff(before, nil)
	}
	found := s.facts.findings()
	s.view.Store(&view{findings: found, validUntil: now.Add(expiryInterval)})
	maps.DeleteFunc(s.probes, func(f Feature, _ probe) bool { return found[f].verdict != Quarantined })
	return diff(before, found)
}

func diff(before, after map[Feature]finding) changes {
	var out changes
	for f, found := range after {
		if found.verdict == Quarantined && before[f].verdict != Quarantined {
			out.quarantined = append(out.quarantined, f)
		}
	}
	for f, found := range before {
		if found.verdict == Quarantined && after[f].verdict != Quarantined {
			out.lifted = append(out.lifted, f)
		}
	}
	slices.Sort(out.quarantined)
	slices.Sort(out.lifted)
	return out
}

func (s *Suspector) notify(c changes) {
	if s.OnQuarantine != nil {
		for _, f := range c.quarantined {
			s.OnQuarantine(f)
		}
	}
	if s.OnLift != nil {
		for _, f := range c.lifted {
			s.OnLift(f)
		}
	}
}

// timeOf returns the time of a fact of the given age, if the age is plausible.
func timeOf(ageMs int64, now time.Time) (time.Time, bool) {
	if ageMs > maxAge.Milliseconds() {
		return time.Time{}, false
	}
	return now.Add(-time.Duration(max(0, ageMs)) * time.Millisecond), true
}

func exportCrash(c *crash, now time.Time) Crash {
	return Crash{ID: c.id, AgeMs: now.Sub(c.at).Milliseconds(), Suspects: append([]Feature(nil), c.suspects...)}
}

func exportClearing(f Feature, c clearing, now time.Time) Clearing {
	return Clearing{Feature: f, ID: c.id, AgeMs: now.Sub(c.at).Milliseconds()}
}
