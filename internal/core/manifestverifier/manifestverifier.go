// Package manifestverifier decides which manifest of a release one host uses.
//
// Nothing vouches for a manifest that was read from outside: it can be corrupt and still have the right form. What proves
// an entry is content that was read for the place of the entry, and that matches it: content that is held for another place,
// or for another release, proves nothing. Entries are bound to their places, so that only such content matches their digests.
// A manifest is provisional until the host holds all of its chunks. Until then, entries that no content has matched can be
// replaced by those of another read; the others never are.
package manifestverifier

import (
	"slices"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/manifest"
)

const (
	// mismatchLimit is the number of reads of one chunk from the origin that do not match its digest after which the
	// manifest is read there again. A chunk that was corrupted on the way matches when it is read again; a corrupt digest
	// is matched by nothing.
	mismatchLimit = 2
	// minReadInterval and maxReadInterval bound the time between two reads of the manifest from the origin. The interval
	// grows by readIntervalGrowth with each read that changes nothing: a release must be in use some seconds after it is named,
	// also if the first reads are corrupt, and a chunk that stays corrupt must not cost a read each time.
	minReadInterval    = 200 * time.Millisecond
	maxReadInterval    = 16 * time.Second
	readIntervalGrowth = 2.25
	// minQueryInterval and maxQueryInterval bound the time without a new chunk after which other hosts are queried for
	// their manifest.
	minQueryInterval = 500 * time.Millisecond
	maxQueryInterval = time.Second
)

// Step is what a host has to do to find out whether its manifest is corrupt.
type Step int

// Steps.
const (
	// Wait means that nothing is due.
	Wait Step = iota
	// QueryHosts means that other hosts are to be queried for their manifest. A host that fetches from them sees no
	// mismatch: it waits for chunks that they do not know.
	QueryHosts
	// ReadOrigin means that the manifest is to be read from the origin again.
	ReadOrigin
)

// Verifier holds the manifest of one release on one host. It is not safe for concurrent use. Set its fields before use.
type Verifier struct {
	// IsHeld reports whether the host holds content that matches an entry.
	IsHeld func(c manifest.Chunk) bool

	current manifest.Artifact
	// mismatches counts, for each chunk, the reads that did not match since the manifest was last read from the origin.
	mismatches map[int]int
	// held is the number of chunks that were held at the last call of Next.
	held                        int
	nextRead, nextQuery         time.Time
	readInterval, queryInterval time.Duration
}

// Manifest returns the manifest that the host uses; false if there is none yet.
func (v *Verifier) Manifest() (manifest.Artifact, bool) {
	return v.current, len(v.current.Chunks) > 0
}

// Matched returns the numbers of the chunks whose digests are proven.
func (v *Verifier) Matched() []int {
	var out []int
	for i, c := range v.current.Chunks {
		if v.IsHeld(c) {
			out = append(out, i)
		}
	}
	return out
}

// RecordMismatch records that the content of a chunk that was read from the origin does not match its entry.
func (v *Verifier) RecordMismatch(number int, c manifest.Chunk) {
	if number >= len(v.current.Chunks) || v.current.Chunks[number] != c {
		return // the entry has been replaced meanwhile
	}
	if v.mismatches == nil {
		v.mismatches = make(map[int]int)
	}
	v.mismatches[number]++
}

// MayRead reports whether reading a chunk from the origin may help. After repeated mismatches the manifest has to be read
// first: chunks are much larger than it.
func (v *Verifier) MayRead(number int) bool {
	return v.mismatches[number] < mismatchLimit
}

// Next returns what is due, and takes it as begun.
func (v *Verifier) Next(now time.Time) Step {
	held := len(v.Matched())
	if held == len(v.current.Chunks) {
		return Wait
	}
	if held != v.held || v.nextQuery.IsZero() {
		v.held, v.queryInterval = held, minQueryInterval
		v.nextQuery = now.Add(v.queryInterval)
	}
	if v.isSuspect() && !now.Before(v.nextRead) {
		v.readInterval = min(max(time.Duration(readIntervalGrowth*float64(v.readInterval)), minReadInterval), maxReadInterval)
		v.nextRead = now.Add(v.readInterval)
		return ReadOrigin
	}
	if !now.Before(v.nextQuery) {
		v.queryInterval = min(2*v.queryInterval, maxQueryInterval)
		v.nextQuery = now.Add(v.queryInterval)
		return QueryHosts
	}
	return Wait
}

func (v *Verifier) isSuspect() bool {
	for _, n := range v.mismatches {
		if n >= mismatchLimit {
			return true
		}
	}
	return false
}

// RecordOrigin takes a manifest that was read from the origin and returns the number of entries that it changed: those
// that differ and that no content has matched. A chunk whose entry it repeats is read once more before the manifest is read
// again.
func (v *Verifier) RecordOrigin(a manifest.Artifact) (changed int) {
	for i := range v.mismatches {
		if i < len(a.Chunks) && i < len(v.current.Chunks) && a.Chunks[i] == v.current.Chunks[i] {
			v.mismatches[i] = min(v.mismatches[i], mismatchLimit-1)
		} else {
			delete(v.mismatches, i)
		}
	}
	changed = v.merge(a, func(int) bool { return true })
	if changed > 0 {
		v.readInterval = 0
	}
	return changed
}

// RecordHost takes the manifest of another host, which has proven the entries of the given numbers, and returns the number
// of entries that it changed. Entries that neither host has proven stay.
func (v *Verifier) RecordHost(a manifest.Artifact, matched []int) (changed int) {
	isProven := make(map[int]bool, len(matched))
	for _, i := range matched {
		isProven[i] = true
	}
	return v.merge(a, func(i int) bool { return isProven[i] })
}

// merge replaces the entries that no content has matched with those of a that replaces reports true for.
func (v *Verifier) merge(a manifest.Artifact, replaces func(number int) bool) (changed int) {
	if len(v.current.Chunks) == 0 {
		v.current = a
		return 0
	}
	if len(a.Chunks) != len(v.current.Chunks) {
		// The numbers of the two do not correspond, so that only all entries together can be replaced.
		if len(v.Matched()) == len(v.current.Chunks) || !allOf(len(a.Chunks), replaces) {
			return 0
		}
		v.current = a
		return len(a.Chunks)
	}
	merged := v.current
	merged.Chunks = slices.Clone(v.current.Chunks)
	merged.Size = 0
	for i, c := range merged.Chunks {
		if c != a.Chunks[i] && replaces(i) && !v.IsHeld(c) {
			merged.Chunks[i] = a.Chunks[i]
			changed++
		}
		merged.Size += merged.Chunks[i].Size
	}
	if changed == 0 || merged.Validate() != nil {
		return 0
	}
	v.current = merged
	return changed
}

func allOf(n int, f func(int) bool) bool {
	for i := range n {
		if !f(i) {
			return false
		}
	}
	return true
}
