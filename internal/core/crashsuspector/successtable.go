package crashsuspector

import "time"

const (
	successBuckets    = 2048
	successBucketSize = 4
)

// success is the last answer to a request with a feature. An empty entry has no feature.
type success struct {
	feature Feature
	// at is the time since the table's start time.
	at time.Duration
}

// successTable holds the times of the last successes by feature. It has a fixed size: a new feature replaces the one of
// its bucket that was answered the longest ago.
type successTable struct {
	startTime time.Time
	buckets   [][successBucketSize]success
}

func (t *successTable) bucket(f Feature) *[successBucketSize]success {
	const multiplier = 0x9e3779b97f4a7c15 // spreads features that are not evenly distributed
	return &t.buckets[uint64(f)*multiplier>>32%successBuckets]
}

func (t *successTable) record(f Feature, now time.Time) {
	if t.buckets == nil {
		t.startTime = now
		t.buckets = make([][successBucketSize]success, successBuckets)
	}
	bucket := t.bucket(f)
	oldest := &bucket[0]
	for i := range bucket {
		e := &bucket[i]
		if e.feature == f {
			e.at = now.Sub(t.startTime)
			return
		}
		if e.feature == 0 || e.at < oldest.at {
			oldest = e
		}
	}
	*oldest = success{feature: f, at: now.Sub(t.startTime)}
}

// last returns the time of the last success of a feature, if it is known.
func (t *successTable) last(f Feature) (time.Time, bool) {
	if t.buckets == nil || f == 0 {
		return time.Time{}, false
	}
	for _, e := range t.bucket(f) {
		if e.feature == f {
			return t.startTime.Add(e.at), true
		}
	}
	return time.Time{}, false
}

// id returns the id of the last success of a feature. It differs from those of other hosts, as their start times do.
func (t *successTable) id(f Feature) ClearingID {
	at, _ := t.last(f)
	const multiplier = 0xff51afd7ed558ccd
	return ClearingID((uint64(f) ^ uint64(t.startTime.UnixNano()+int64(at.Sub(t.startTime)))*multiplier) >> 32)
}
