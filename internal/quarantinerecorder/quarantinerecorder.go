// Package quarantinerecorder keeps a record of each quarantined feature in the store, so that the quarantine survives a
// loss of power of all entry hosts. One entry host writes the records.
package quarantinerecorder

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/nutmegdock/nutmegdock/internal/core/crashsuspector"
	"github.com/nutmegdock/nutmegdock/internal/event"
)

const (
	// maxRecords is the maximum number of records.
	maxRecords = 64
	// checkInterval is the time between two checks while there are quarantined features or records.
	checkInterval = time.Second
	// callInterval is the least time between two calls to the store. It doubles with each failure up to maxCallInterval.
	callInterval, maxCallInterval = time.Second, 8 * time.Second
	callTimeout                   = 2 * time.Second
	// deleteDelay is how long a feature must not be quarantined before its record is deleted. A host that was cut off
	// learns the facts within this time.
	deleteDelay = 3 * time.Second
	// maxRewriteDelay spreads the writes of all hosts after the store has been restored.
	maxRewriteDelay = time.Second
)

// Recorder writes the records if this host is the one to do so. Set its fields before Run.
type Recorder struct {
	// Suspector decides which features are quarantined.
	Suspector *crashsuspector.Suspector
	// IsWriter reports whether this host writes the records.
	IsWriter func() bool
	// Put writes values to the store in one call. An empty value deletes its key.
	Put func(ctx context.Context, values map[string][]byte) error
	// Logger receives the log events of invalid records and failed writes.
	Logger log.Interface

	wake chan struct{}

	mu sync.Mutex // guards the fields below
	// values holds the values of the records in the store, and parsed the features of those that parse. Both are nil until
	// the store has been read.
	values map[string]string
	parsed map[crashsuspector.Feature]bool
	// isRestored is set if the store was restored from an older copy since it was last read.
	isRestored bool
	nextCallAt time.Time

	// The fields below are used by Run alone.
	absentSince map[crashsuspector.Feature]time.Time
	failures    int
}

// Init prepares the recorder. It must be called before any other method.
func (r *Recorder) Init() {
	r.wake = make(chan struct{}, 1)
	r.absentSince = make(map[crashsuspector.Feature]time.Time)
}

// Notify makes Run check whether there is something to write. It does not block.
func (r *Recorder) Notify() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// HandleRestore notes that the store has been restored from an older copy, so that records may be missing and deleted
// ones may be back.
func (r *Recorder) HandleRestore() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isRestored = true
	r.nextCallAt = time.Now().Add(rand.N(maxRewriteDelay))
}

// SetRecords replaces what is known of the records in the store with those among all values of their topic. It returns
// the facts of the records that are new. Those that a restored store has are not: this host knows better.
func (r *Recorder) SetRecords(all map[string][]byte) crashsuspector.Facts {
	defer r.Notify()
	r.mu.Lock()
	defer r.mu.Unlock()
	values := make(map[string]string)
	parsed := make(map[crashsuspector.Feature]bool)
	var added crashsuspector.Facts
	for key, value := range all {
		if !strings.HasPrefix(key, keyPrefix) || len(value) == 0 {
			continue
		}
		values[key] = string(value)
		isKnown := r.values[key] == string(value)
		f, err := parseKey(key)
		var facts crashsuspector.Facts
		if err == nil {
			facts, err = parseRecord(f, value)
		}
		if err != nil {
			if !isKnown {
				event.QuarantineUnreadable.Log(r.Logger.WithError(err).WithField("key", key), nil)
			}
			continue
		}
		parsed[f] = true
		if !isKnown && !r.isRestored {
			added.Crashes = append(added.Crashes, facts.Crashes...)
		}
	}
	r.values, r.parsed, r.isRestored = values, parsed, false
	return added
}

// Run writes and deletes records until ctx ends.
func (r *Recorder) Run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.wake:
		case <-timer.C:
		}
		if pause := r.check(ctx); pause > 0 {
			timer.Reset(pause)
		} else {
			timer.Stop()
		}
	}
}

// check writes what has to be written and returns the time until the next check, or zero if there is nothing to check.
func (r *Recorder) check(ctx context.Context) time.Duration {
	features := r.Suspector.QuarantinedFeatures()
	features = features[:min(maxRecords, len(features))]
	r.mu.Lock()
	isIdle := r.parsed == nil || len(features)+len(r.parsed) == 0
	r.mu.Unlock()
	if isIdle {
		return 0
	}
	if !r.IsWriter() {
		clear(r.absentSince)
		return checkInterval
	}
	now := time.Now()
	r.mu.Lock()
	values, wait := r.differences(features, now), r.nextCallAt.Sub(now)
	r.mu.Unlock()
	switch {
	case len(values) == 0:
		return checkInterval
	case wait > 0:
		return wait
	}
	return r.write(ctx, values)
}

// differences returns the values to write so that the store has the records of the features. The caller must hold r.mu.
func (r *Recorder) differences(features []crashsuspector.Feature, now time.Time) map[string][]byte {
	values := make(map[string][]byte)
	for _, f := range features {
		delete(r.absentSince, f)
		if r.parsed[f] {
			continue
		}
		evidence := r.Suspector.Evidence(f)
		if evidence.IsEmpty() {
			continue // the quarantine was lifted a moment ago
		}
		value, err := encodeRecord(evidence)
		if err != nil {
			event.QuarantineWriteFailed.Log(r.Logger.WithError(err), nil)
			continue
		}
		values[recordKey(f)] = value
	}
	maps.DeleteFunc(r.absentSince, func(f crashsuspector.Feature, _ time.Time) bool {
		return !r.parsed[f]
	})
	for f := range r.parsed {
		if slices.Contains(features, f) {
			continue
		}
		if _, ok := r.absentSince[f]; !ok {
			r.absentSince[f] = now
		}
		if now.Sub(r.absentSince[f]) >= deleteDelay {
			values[recordKey(f)] = nil
		}
	}
	return values
}

// write writes values in one call, and returns the time until the next check.
func (r *Recorder) write(ctx context.Context, values map[string][]byte) time.Duration {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := r.Put(callCtx, values)
	if ctx.Err() != nil {
		return checkInterval
	}
	pause := callInterval
	if err != nil {
		event.QuarantineWriteFailed.Log(r.Logger.WithError(err), nil)
		r.failures++
		pause = min(maxCallInterval, callInterval<<min(r.failures, 4))
	} else {
		r.failures = 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nextCallAt = time.Now().Add(pause)
	if err == nil && !r.isRestored {
		r.addWritten(values)
	}
	return pause
}

// addWritten adds the values that were written to the records in the store, before they are read back. The caller must
// hold r.mu.
func (r *Recorder) addWritten(values map[string][]byte) {
	for key, value := range values {
		f, err := parseKey(key)
		if err != nil {
			continue // not a key that this recorder writes
		}
		if len(value) == 0 {
			delete(r.values, key)
			delete(r.parsed, f)
			continue
		}
		r.values[key], r.parsed[f] = string(value), true
	}
}
