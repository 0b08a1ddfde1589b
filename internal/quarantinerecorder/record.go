package quarantinerecorder

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/nutmegdock/nutmegdock/internal/core/crashsuspector"
)

const (
	keyPrefix = "quarantine/"
	// maxRecordCrashes is the number of crashes in a record. It is more than the suspector needs for a quarantine.
	maxRecordCrashes = 16
)

// record is the value of a quarantined feature. It holds the crashes for which the feature is quarantined, so that a
// host that holds some of these facts already does not count them twice.
type record struct {
	Crashes []recordCrash `json:"crashes"`
}

// recordCrash is a crash. The age is relative to the latest one, since the times of day of two hosts cannot be compared:
// the latest one counts as having happened when the record is read.
type recordCrash struct {
	ID    crashsuspector.CrashID `json:"id"`
	AgeMs int64                  `json:"age"`
}

func recordKey(f crashsuspector.Feature) string {
	return fmt.Sprintf("%s%016x", keyPrefix, uint64(f))
}

// encodeRecord returns the record of a feature with the latest of the crashes.
func encodeRecord(evidence crashsuspector.Facts) ([]byte, error) {
	crashes := slices.SortedFunc(slices.Values(evidence.Crashes), func(a, b crashsuspector.Crash) int { return int(a.AgeMs - b.AgeMs) })
	var r record
	for _, c := range crashes[:min(maxRecordCrashes, len(crashes))] {
		r.Crashes = append(r.Crashes, recordCrash{ID: c.ID, AgeMs: c.AgeMs - crashes[0].AgeMs})
	}
	value, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode record of a quarantined feature: %w", err)
	}
	return value, nil
}

func parseKey(key string) (crashsuspector.Feature, error) {
	n, err := strconv.ParseUint(strings.TrimPrefix(key, keyPrefix), 16, 64)
	f := crashsuspector.Feature(n)
	if err == nil && recordKey(f) != key {
		err = errors.New("not a feature in 16 hexadecimal digits")
	}
	if err != nil {
		return 0, fmt.Errorf("parse key of a quarantined feature: %w", err)
	}
	return f, nil
}

// parseRecord returns the facts for which a feature is quarantined.
func parseRecord(f crashsuspector.Feature, value []byte) (crashsuspector.Facts, error) {
	var r record
	if err := json.Unmarshal(value, &r); err != nil {
		return crashsuspector.Facts{}, fmt.Errorf("parse record of a quarantined feature: %w", err)
	}
	if len(r.Crashes) == 0 || len(r.Crashes) > maxRecordCrashes {
		return crashsuspector.Facts{}, fmt.Errorf("record of a quarantined feature has %d crashes", len(r.Crashes))
	}
	var facts crashsuspector.Facts
	for _, c := range r.Crashes {
		if c.AgeMs < 0 {
			return crashsuspector.Facts{}, errors.New("record of a quarantined feature has a negative age")
		}
		facts.Crashes = append(facts.Crashes, crashsuspector.Crash{ID: c.ID, AgeMs: c.AgeMs, Suspects: []crashsuspector.Feature{f}})
	}
	return facts, nil
}
