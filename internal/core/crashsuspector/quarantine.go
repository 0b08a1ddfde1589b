package crashsuspector

import (
	"cmp"
	"maps"
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
	// quarantineThreshold is the number of crashes at which a feature is quarantined, with those that explain the same ones.
	quarantineThreshold = 3
	// certaintyThreshold is the number of crashes from which a feature that was never answered is taken to crash engines.
	certaintyThreshold = 5
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

// decision is the computation of the findings from a set of facts.
type decision struct {
	facts *factSet
	found map[Feature]finding
}

// candidate is a feature that may be quarantined.
type candidate struct {
	feature Feature
	// unexplained holds the crashes that no quarantined feature explains, and count their number.
	unexplained []*crash
	count       int
}

// compareCandidates orders features by how many crashes they explain.
func compareCandidates(a, b candidate) int {
	return cmp.Or(cmp.Compare(b.count, a.count), cmp.Compare(len(b.unexplained), len(a.unexplained)), cmp.Compare(a.feature, b.feature))
}

// findings returns what the facts say about the features with several crashes against them. It depends on the facts
// only, so that hosts that hold the same facts decide the same.
//
// The features that were never answered are considered at each crash in turn: one that is quarantined stays so, even if
// others explain more of its crashes later. The features that were answered are considered last, as a feature that many
// sound requests share is a suspect of most crashes.
func (s *factSet) findings() map[Feature]finding {
	d := &decision{facts: s, found: make(map[Feature]finding)}
	for _, c := range s.crashes {
		c.isConsidered, c.isExplained = false, false
	}
	frequent := s.frequentByCrash()
	for _, c := range slices.SortedFunc(maps.Keys(frequent), compareCrashes) {
		c.isConsidered = true
		if !c.isExplained {
			d.quarantine(frequent[c], false)
		}
	}
	for _, c := range s.crashes {
		c.isConsidered = true
	}
	repeated := slices.Collect(maps.Keys(s.repeated))
	d.quarantine(repeated, true)
	for _, f := range repeated {
		if d.found[f].verdict != Quarantined && countSpaced(d.unexplained(f), s.isAnswered(f)) >= suspectThreshold {
			d.found[f] = finding{verdict: Suspect}
		}
	}
	return d.found
}

// frequentByCrash returns the features with enough crashes to be quarantined, by crash.
func (s *factSet) frequentByCrash() map[*crash][]Feature {
	frequent := make(map[*crash][]Feature)
	for f := range s.repeated {
		if crashes := s.byFeature[f]; len(crashes) >= quarantineThreshold {
			for _, c := range crashes {
				frequent[c] = append(frequent[c], f)
			}
		}
	}
	return frequent
}

// isAnswered reports whether a request with the feature was answered within the retention.
func (s *factSet) isAnswered(f Feature) bool {
	return !s.clearings[f].at.IsZero()
}

// isLikely reports whether a feature was never answered and has many crashes against it.
func (s *factSet) isLikely(f Feature) bool {
	return !s.isAnswered(f) && countSpaced(s.byFeature[f], false) >= certaintyThreshold
}

// isCertain reports whether a feature is likely to crash engines and no other one explains all its crashes.
func (s *factSet) isCertain(f Feature) bool {
	crashes := s.byFeature[f]
	return s.isLikely(f) && !slices.ContainsFunc(crashes[0].suspects, func(other Feature) bool {
		return other != f && !s.isAnswered(other) && !slices.ContainsFunc(crashes[1:], func(c *crash) bool { return !c.hasSuspect(other) })
	})
}

// quarantine quarantines those of the features for which there is enough evidence, among the ones that were answered or
// the others.
func (d *decision) quarantine(features []Feature, answered bool) {
	for {
		quarantined := d.next(d.candidates(features, answered))
		if len(quarantined) == 0 {
			return
		}
		for _, f := range quarantined {
			d.found[f] = d.facts.quarantineFinding(f)
			for _, c := range d.facts.byFeature[f] {
				c.isExplained = true
			}
		}
	}
}

// candidates returns the features with enough crashes to be quarantined, the one that explains most of them first.
func (d *decision) candidates(features []Feature, answered bool) []candidate {
	var candidates []candidate
	for _, f := range features {
		if d.facts.isAnswered(f) != answered || d.found[f].verdict == Quarantined {
			continue
		}
		c := candidate{feature: f, unexplained: d.unexplained(f)}
		if c.count = countSpaced(c.unexplained, answered); c.count >= quarantineThreshold {
			candidates = append(candidates, c)
		}
	}
	slices.SortFunc(candidates, compareCandidates)
	return candidates
}

// unexplained returns the crashes with a feature that have been considered and that no quarantined feature explains.
func (d *decision) unexplained(f Feature) []*crash {
	var crashes []*crash
	for _, c := range d.facts.byFeature[f] {
		if c.isConsidered && !c.isExplained {
			crashes = append(crashes, c)
		}
	}
	return crashes
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

// next returns the features to quarantine next: the first candidate, with those that explain the same crashes.
func (d *decision) next(candidates []candidate) []Feature {
	if len(candidates) == 0 {
		return nil
	}
	return append(d.rivals(candidates[0]), candidates[0].feature)
}

// rivals returns the features that explain the same crashes as a candidate. One that was answered is no rival of one that
// was not.
func (d *decision) rivals(c candidate) []Feature {
	var rivals []Feature
	for _, f := range c.unexplained[0].suspects {
		if f == c.feature || d.found[f].verdict == Quarantined || (d.facts.isAnswered(f) && !d.facts.isAnswered(c.feature)) {
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
