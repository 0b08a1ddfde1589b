package crashsuspector

import "time"

const (
	// earlyProbeDelay is the time after the last crash at which a feature that may be sound is tried once. Requests with
	// other suspects wait longer: one that shows whether a single feature is sound is better.
	earlyProbeDelay       = 1500 * time.Millisecond
	earlySharedProbeDelay = 2500 * time.Millisecond
	// earlyProbePeriod is the time after the last crash from which there is no early probe.
	earlyProbePeriod = 30 * time.Second
	// earlyRetryDelay is the time after which an early probe without result is repeated.
	earlyRetryDelay = 5 * time.Second
	// minProbeInterval is the time after the last crash at which a quarantined feature is tried again regularly.
	minProbeInterval = time.Minute
	// maxProbeInterval is shorter than Retention, so that a feature that still crashes engines stays quarantined.
	maxProbeInterval = 8 * time.Minute
	// probeValidity is how long the request that was chosen as a probe may be verified again, once.
	probeValidity = 2 * time.Second
)

// probe is the last request that this host has chosen to try a quarantined feature again.
type probe struct {
	// request is a hash of the request's features.
	request uint64
	at      time.Time
	// isVerified means that the request was verified again before it was sent.
	isVerified bool
	// early and earlyShared report whether there has been an early probe of the feature alone, and with others.
	early, earlyShared bool
}

// quarantineFinding returns the finding for a quarantined feature. Each crash that followed the one before it only after
// about the time of a regular probe doubles the time to the next.
func (s *factSet) quarantineFinding(f Feature) finding {
	interval := minProbeInterval
	crashes := s.byFeature[f]
	for i, c := range crashes[1:] {
		if c.at.Sub(crashes[i].at) >= minProbeInterval/2 {
			interval = min(2*interval, maxProbeInterval)
		}
	}
	return finding{verdict: Quarantined, isCertain: s.isCertain(f), lastCrash: crashes[len(crashes)-1].at, probeInterval: interval}
}

// startProbe reports whether a request with quarantined features may run as a probe. The same request may be verified
// once more, right before it is sent. Callers may repeat it, so that others with the same features are refused.
func (s *Suspector) startProbe(features []Feature) bool {
	if s.MayProbe == nil || !s.MayProbe() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.view.Load()
	if v == nil {
		return true
	}
	var quarantined []Feature
	for _, f := range features {
		if v.findings[f].verdict == Quarantined {
			quarantined = append(quarantined, f)
		}
	}
	now, request := time.Now(), hashFeatures(features)
	isShared, mayBeEarly := s.facts.countRepeated(features) > 1, s.facts.countLikely(features) <= 1
	for _, f := range quarantined {
		p, found := s.probes[f], v.findings[f]
		if !p.isCurrent(request, found, now) && !p.isFollowedBy(found, now) && !(mayBeEarly && p.isFollowedEarlyBy(found, isShared, now)) {
			return false
		}
	}
	if s.probes == nil {
		s.probes = make(map[Feature]probe)
	}
	for _, f := range quarantined {
		last := s.probes[f]
		if last.isCurrent(request, v.findings[f], now) {
			last.isVerified = true
			s.probes[f] = last
			continue
		}
		s.probes[f] = probe{request: request, at: now, early: last.early || !isShared, earlyShared: last.earlyShared || isShared}
	}
	return true
}

// isCurrent reports whether a request is the probe that has been chosen but not been sent yet.
func (p probe) isCurrent(request uint64, found finding, now time.Time) bool {
	return p.request == request && !p.isVerified && now.Sub(p.at) < probeValidity && !p.at.Before(found.lastCrash)
}

// isFollowedBy reports whether another regular probe may follow.
func (p probe) isFollowedBy(found finding, now time.Time) bool {
	return now.Sub(found.lastCrash) >= found.probeInterval && now.Sub(p.at) >= found.probeInterval
}

// isFollowedEarlyBy reports whether an early probe may follow.
func (p probe) isFollowedEarlyBy(found finding, isShared bool, now time.Time) bool {
	sinceCrash := now.Sub(found.lastCrash)
	if found.isCertain || sinceCrash >= earlyProbePeriod {
		return false
	}
	if !p.at.Before(found.lastCrash) {
		return now.Sub(p.at) >= earlyRetryDelay
	}
	if isShared {
		return !p.earlyShared && sinceCrash >= earlySharedProbeDelay
	}
	return !p.early && sinceCrash >= earlyProbeDelay
}

// countRepeated counts the features with more than one crash.
func (s *factSet) countRepeated(features []Feature) int {
	n := 0
	for _, f := range features {
		if s.repeated[f] {
			n++
		}
	}
	return n
}

// countLikely counts the features that were never answered and have many crashes against them. A request with several
// is no early probe, as one of them crashes engines.
func (s *factSet) countLikely(features []Feature) int {
	n := 0
	for _, f := range features {
		if s.isLikely(f) {
			n++
		}
	}
	return n
}

func hashFeatures(features []Feature) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	h := uint64(offset)
	for _, f := range features {
		h = (h ^ uint64(f)) * prime
	}
	return h
}
