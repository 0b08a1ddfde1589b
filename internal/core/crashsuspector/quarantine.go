package crashsuspector

import (
	"cmp"
	"slices"
	"time"
)

const (
	// crashSpacing is the time within which crashes count as maxSimultaneous at most, or once if the feature was answered
	// before: engines may end together for a reason of their own, such as a loss of power.
	crashSpacing    = 100 * time.Millisecond
	maxSimultaneous = 2
	// suspectThreshold is the number of crashes from which requests are not retried after another one.
	suspectThreshold = 2
	// soleSuspectThreshold is the number of crashes at which a feature is quarantined that alone explains them.
	soleSuspectThreshold = 3
	// quarantineThreshold is the number of crashes at which a feature is quarantined although others explain them as well.
	quarantineThreshold = 5
)

// finding is what the facts say about a feature that has several crashes against it.
type finding struct {
	verdict Verdict
	// isCertain means that a quarantined feature was never answered and alone explains many crashes.
	isCertain bool
	// lastCrash is the time of the last crash with a quarantined feature, and probeInterval the time after it, and after
	// a probe without result, at which the feature is tried again.
	lastCrash     time.Time
	probeInterval time.Duration
}

// candidate is a feature that may be quarantined.
type candidate struct {
	feature Feature
	// answered reports whether a request with the feature was answered within the retention.
	answered bool
	// unexplained holds the crashes that no quarantined feature explains, and count their number.
	unexplained []*crash
	count       int
}

// compareCandidates orders features by how likely they are the cause. One that was never answered comes first: a feature
// that most requests of a route share is also a suspect of most crashes.
func compareCandidates(a, b candidate) int {
	if a.answered != b.answered {
		if b.answered {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(b.count, a.count), cmp.Compare(len(b.unexplained), len(a.unexplained)), cmp.Compare(a.feature, b.feature))
}

// findings returns what the facts say about the features with several crashes against them. It depends on the facts
// only, so that hosts that hold the same facts decide the same.
func (s *factSet) findings() map[Feature]finding {
	found := make(map[Feature]finding)
	for _, c := range s.crashes {
		c.explained = false
	}
	var candidates []candidate
	for f := range s.repeated {
		candidates = append(candidates, candidate{feature: f, answered: !s.clearings[f].at.IsZero()})
	}
	for {
		candidates = s.updateCandidates(candidates, found)
		slices.SortFunc(candidates, compareCandidates)
		quarantined, isCertain := s.nextQuarantined(candidates, found)
		if len(quarantined) == 0 {
			break
		}
		for _, f := range quarantined {
			found[f] = s.quarantineFinding(f, isCertain)
			for _, c := range s.byFeature[f] {
				c.explained = true
			}
		}
	}
	for _, c := range candidates {
		found[c.feature] = finding{verdict: Suspect}
	}
	return found
}

// updateCandidates counts the unexplained crashes again, and returns the features that still have several.
func (s *factSet) updateCandidates(candidates []candidate, found map[Feature]finding) []candidate {
	kept := candidates[:0]
	for _, c := range candidates {
		if found[c.feature].verdict == Quarantined {
			continue
		}
		c.unexplained = c.unexplained[:0]
		for _, crash := range s.byFeature[c.feature] {
			if !crash.explained {
				c.unexplained = append(c.unexplained, crash)
			}
		}
		if c.count = countSpaced(c.unexplained, c.answered); c.count >= suspectThreshold {
			kept = append(kept, c)
		}
	}
	return kept
}

// countSpaced counts crashes that are ordered by time, but only some of those within crashSpacing.
func countSpaced(crashes []*crash, answered bool) int {
	limit := maxSimultaneous
	if answered {
		limit = 1
	}
	total, n := 0, 0
	var first time.Time
	for _, c := range crashes {
		if total == 0 || c.at.Sub(first) >= crashSpacing {
			first, n = c.at, 0
		}
		if n < limit {
			n++
			total++
		}
	}
	return total
}

// nextQuarantined returns the features to quarantine next: the first candidate that is the sole suspect of enough
// crashes, or the first with so many crashes that it is quarantined together with its rivals.
func (s *factSet) nextQuarantined(candidates []candidate, found map[Feature]finding) (features []Feature, isCertain bool) {
	for _, c := range candidates {
		if c.count < soleSuspectThreshold {
			continue
		}
		rivals := s.rivals(c, found)
		switch {
		case len(rivals) == 0:
			return []Feature{c.feature}, !c.answered && countSpaced(s.byFeature[c.feature], false) >= quarantineThreshold
		case c.count >= quarantineThreshold:
			return append(rivals, c.feature), false
		}
	}
	return nil, false
}

// rivals returns the features that explain the same crashes as a candidate, and are as likely the cause.
func (s *factSet) rivals(c candidate, found map[Feature]finding) []Feature {
	var rivals []Feature
	for _, f := range c.unexplained[0].suspects {
		if f == c.feature || found[f].verdict == Quarantined || (!c.answered && !s.clearings[f].at.IsZero()) {
			continue
		}
		if !slices.ContainsFunc(c.unexplained[1:], func(other *crash) bool { return !other.hasSuspect(f) }) {
			rivals = append(rivals, f)
		}
	}
	return rivals
}

// evidence returns the crashes of quarantined features.
func (s *factSet) evidence(found map[Feature]finding) map[*crash]bool {
	crashes := make(map[*crash]bool)
	for f, finding := range found {
		if finding.verdict != Quarantined {
			continue
		}
		for _, c := range s.byFeature[f] {
			crashes[c] = true
		}
	}
	return crashes
}
