package crashsuspector

import "time"

const (
	// minProbeInterval is the time after the last crash at which a quarantined feature is tried again for the first time.
	minProbeInterval = time.Minute
	// maxProbeInterval is shorter than Retention, so that a feature that still crashes engines stays quarantined.
	maxProbeInterval = 8 * time.Minute
	// probeValidity is how long the request that was chosen as a probe may be verified again.
	probeValidity = 2 * time.Second
)

// probe is a request that this host has chosen to try a quarantined feature again.
type probe struct {
	// request is a hash of the request's features.
	request uint64
	at      time.Time
}

// quarantineFinding returns the finding for a quarantined feature. Each crash that followed the one before it only after
// about the time of a probe doubles the time to the next.
func (s *factSet) quarantineFinding(f Feature) finding {
	interval := minProbeInterval
	crashes := s.byFeature[f]
	for i, c := range crashes[1:] {
		if c.at.Sub(crashes[i].at) >= minProbeInterval/2 {
			interval = min(2*interval, maxProbeInterval)
		}
	}
	return finding{verdict: Quarantined, probeAt: crashes[len(crashes)-1].at.Add(interval), probeInterval: interval}
}

// startProbe reports whether a request with quarantined features may run as a probe. The same request may ask again
// for a short time.
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
	now, request := time.Now(), hashFeatures(features)
	for _, f := range features {
		found := v.findings[f]
		if found.verdict != Quarantined {
			continue
		}
		if now.Before(found.probeAt) {
			return false
		}
		last, ok := s.probes[f]
		if ok && now.Before(last.at.Add(found.probeInterval)) && (last.request != request || now.Sub(last.at) >= probeValidity) {
			return false
		}
	}
	for _, f := range features {
		if v.findings[f].verdict != Quarantined {
			continue
		}
		if last, ok := s.probes[f]; ok && last.request == request && now.Sub(last.at) < probeValidity {
			continue
		}
		if s.probes == nil {
			s.probes = make(map[Feature]probe)
		}
		s.probes[f] = probe{request: request, at: now}
	}
	return true
}

func hashFeatures(features []Feature) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	h := uint64(offset)
	for _, f := range features {
		h = (h ^ uint64(f)) * prime
	}
	return h
}
