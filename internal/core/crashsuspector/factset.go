package crashsuspector

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxCrashes is the maximum number of crashes that a host holds.
	maxCrashes = 512
	// maxSuspects is the maximum number of suspects of a crash.
	maxSuspects = 256
	// maxClearings is the maximum number of clearings that a host holds.
	maxClearings = 4096
	// successWindow is how long after an answer to a request with a feature crashes are not attributed to the feature.
	successWindow = time.Second
	// expiryInterval is the least time between two searches for expired facts.
	expiryInterval = time.Second
)

// crash is the end of an endpoint. One without suspects left is kept for its time.
type crash struct {
	id CrashID
	// at is the earliest time that a host has told, as facts appear later with each transmission.
	at time.Time
	// suspects is sorted, and lacks the features that have been cleared.
	suspects []Feature
	// isConsidered and isExplained are used by findings.
	isConsidered, isExplained bool
}

func (c *crash) hasSuspect(f Feature) bool {
	_, found := slices.BinarySearch(c.suspects, f)
	return found
}

// compareCrashes orders crashes by time.
func compareCrashes(a, b *crash) int {
	return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.id, b.id))
}

// clearing is the last answer to a request with a feature.
type clearing struct {
	id ClearingID
	at time.Time
	// heardAt is the time of the last answer that another host has announced.
	heardAt time.Time
	// announced is when this host last announced the clearing.
	announced time.Time
}

// clears reports whether an answer at the time of the clearing clears a feature of a crash.
func clears(answered, crashed time.Time) bool {
	return !answered.IsZero() && crashed.Before(answered.Add(successWindow))
}

// factSet holds facts that were received in any order.
type factSet struct {
	crashes map[CrashID]*crash
	// byFeature holds the crashes of each feature, ordered by time.
	byFeature map[Feature][]*crash
	// repeated holds the features with more than one crash.
	repeated   map[Feature]bool
	clearings  map[Feature]clearing
	lastExpiry time.Time
	// changed reports whether crashes or clearings have changed.
	changed bool
}

func newFactSet() factSet {
	return factSet{
		crashes: make(map[CrashID]*crash), byFeature: make(map[Feature][]*crash), repeated: make(map[Feature]bool),
		clearings: make(map[Feature]clearing),
	}
}

// isEmpty reports whether there are neither crashes nor clearings.
func (s *factSet) isEmpty() bool {
	return len(s.crashes) == 0 && len(s.clearings) == 0
}

// addCrash merges a crash with what is known of it. It returns the suspects that were not known before.
func (s *factSet) addCrash(id CrashID, at time.Time, suspects []Feature) []Feature {
	c := s.crashes[id]
	if c == nil {
		c = &crash{id: id, at: at}
		s.crashes[id] = c
		s.changed = true
	} else if at.Before(c.at) {
		s.setTime(c, at)
	}
	var added []Feature
	for _, f := range suspects {
		if !c.hasSuspect(f) && !clears(s.clearings[f].at, c.at) {
			s.addSuspect(c, f)
			added = append(added, f)
		}
	}
	for len(c.suspects) > maxSuspects {
		// All hosts keep the same features, whatever order they come in.
		s.removeSuspect(c, c.suspects[len(c.suspects)-1])
	}
	return added
}

func (s *factSet) addSuspect(c *crash, f Feature) {
	i, _ := slices.BinarySearch(c.suspects, f)
	c.suspects = slices.Insert(c.suspects, i, f)
	list := s.byFeature[f]
	i, _ = slices.BinarySearchFunc(list, c, compareCrashes)
	list = slices.Insert(list, i, c)
	if s.byFeature[f] = list; len(list) >= 2 {
		s.repeated[f] = true
	}
	s.changed = true
}

func (s *factSet) removeSuspect(c *crash, f Feature) {
	if i, found := slices.BinarySearch(c.suspects, f); found {
		c.suspects = slices.Delete(c.suspects, i, i+1)
	}
	list := slices.DeleteFunc(s.byFeature[f], func(other *crash) bool { return other == c })
	if s.byFeature[f] = list; len(list) == 0 {
		delete(s.byFeature, f)
	}
	if len(list) < 2 {
		delete(s.repeated, f)
	}
	s.changed = true
}

func (s *factSet) removeCrash(c *crash) {
	for _, f := range slices.Clone(c.suspects) {
		s.removeSuspect(c, f)
	}
	delete(s.crashes, c.id)
	s.changed = true
}

// setTime moves a crash to an earlier time. Suspects may have been answered less than successWindow before that time.
func (s *factSet) setTime(c *crash, at time.Time) {
	c.at = at
	s.changed = true
	for _, f := range slices.Clone(c.suspects) {
		if clears(s.clearings[f].at, at) {
			s.removeSuspect(c, f)
			continue
		}
		slices.SortFunc(s.byFeature[f], compareCrashes)
	}
}

// addClearing merges a clearing with what is known of the feature. The latest answer counts, at the earliest time that a
// host has told: otherwise it would get later each time that it is passed on.
func (s *factSet) addClearing(f Feature, id ClearingID, at time.Time) {
	held := s.clearings[f]
	isNew := at.After(held.at) || (at.Equal(held.at) && id > held.id)
	if id == held.id && !held.at.IsZero() {
		isNew = at.Before(held.at)
	}
	if !isNew {
		return
	}
	held.id, held.at = id, at
	s.clearings[f] = held
	s.changed = true
	for _, c := range slices.Clone(s.byFeature[f]) {
		if clears(at, c.at) {
			s.removeSuspect(c, f)
		}
	}
}

// addHeardClearing merges a clearing that another host has announced.
func (s *factSet) addHeardClearing(f Feature, id ClearingID, at time.Time) {
	s.addClearing(f, id, at)
	held := s.clearings[f]
	if at.After(held.heardAt) {
		held.heardAt = at
	}
	s.clearings[f] = held
}

// markAnnounced notes that this host announces the clearing of a feature.
func (s *factSet) markAnnounced(f Feature, now time.Time) {
	held := s.clearings[f]
	held.announced = now
	s.clearings[f] = held
}

// expire removes the facts that are too old, if some time has passed since the last call.
func (s *factSet) expire(now time.Time) {
	if now.Sub(s.lastExpiry) < expiryInterval {
		return
	}
	s.lastExpiry = now
	for f, c := range s.clearings {
		if now.Sub(c.at) >= Retention {
			delete(s.clearings, f)
			s.changed = true
		}
	}
	newestFirst := slices.SortedFunc(maps.Values(s.crashes), func(a, b *crash) int { return compareCrashes(b, a) })
	for _, c := range newestFirst {
		if now.Sub(c.at) >= Retention && !s.isContinued(c) {
			s.removeCrash(c)
		}
	}
}

// isContinued reports whether a later crash with one of the suspects followed within the retention.
func (s *factSet) isContinued(c *crash) bool {
	return slices.ContainsFunc(c.suspects, func(f Feature) bool {
		list := s.byFeature[f]
		i, _ := slices.BinarySearchFunc(list, c, compareCrashes)
		return i+1 < len(list) && list[i+1].at.Sub(c.at) < Retention
	})
}

// limit removes the oldest facts beyond the bounds. The crashes in evidence are removed last.
func (s *factSet) limit(evidence map[*crash]bool) {
	for len(s.crashes) > maxCrashes {
		var oldest *crash
		for _, c := range s.crashes {
			if oldest == nil || (evidence[oldest] && !evidence[c]) || (evidence[oldest] == evidence[c] && compareCrashes(c, oldest) < 0) {
				oldest = c
			}
		}
		s.removeCrash(oldest)
	}
	for len(s.clearings) > maxClearings {
		var oldest Feature
		var oldestAt time.Time
		for f, c := range s.clearings {
			if oldestAt.IsZero() || c.at.Before(oldestAt) || (c.at.Equal(oldestAt) && f < oldest) {
				oldest, oldestAt = f, c.at
			}
		}
		delete(s.clearings, oldest)
		s.changed = true
	}
}
