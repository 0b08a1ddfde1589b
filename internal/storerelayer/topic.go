package storerelayer

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/sourceselector"
	"github.com/nutmegdock/nutmegdock/internal/recordpacker"
	"github.com/nutmegdock/nutmegdock/internal/watcher"
)

// maxTombstones limits the keys without a value that are held, so that hosts behind this one learn that they have been removed.
const maxTombstones = 1024

// maxGaps limits the gaps that are held.
const maxGaps = 64

// gap is a range of offsets, without its ends, that was read as the difference of two states: a host at such an offset may hold a key
// that was added and removed within the gap, of which nothing is known.
type gap struct {
	from, to int64
}

// wholeOffset stands for the start of the log in packed.
const wholeOffset = -1

// topic holds the newest value of each key of a topic.
type topic struct {
	selector sourceselector.Selector
	// epoch is the epoch of the store that the offsets belong to, and latestEpoch the latest one that a source has stated.
	epoch, latestEpoch watcher.Epoch
	// entries holds the newest change of each key that has changed from firstOffset to nextOffset, and all keys if isWhole is set. Each
	// has a position.
	firstOffset, nextOffset int64
	entries                 map[string]watcher.Change
	isWhole                 bool
	tombstones              int
	// gaps lists, in ascending order, the offsets from which changes cannot be served although they are not before firstOffset.
	gaps []gap
	// readAt is when the last call succeeded, as Elapsed gives it, and hasFailed is set if it was not current, or a call has failed since. The
	// records were complete at completeAt, which is earlier if another host gave them. hasRead is set after the first call. drift is
	// the drift of the clocks at readAt.
	readAt, completeAt, drift time.Duration
	hasRead, hasFailed        bool
	// fetchedAt is when bytes of the topic last arrived, and hasFetched is set once some have.
	fetchedAt  time.Duration
	hasFetched bool
	// askedAt is when this host last called a source outside its zone, and isAsking is set during the call.
	askedAt  time.Duration
	isAsking bool
	// source is where the last records came from.
	source string
	// refreshes counts the calls that have shown the state to be newer than before; changed is closed at each.
	refreshes int
	changed   chan struct{}
	// packed holds the packed records from the offsets that other hosts have asked for, up to nextOffset, so that many
	// hosts that wait for one change cost no more than one.
	packed map[int64]*recordpacker.Packer
}

func newTopic(period time.Duration) *topic {
	return &topic{selector: sourceselector.Selector{Period: period}, changed: make(chan struct{}), entries: make(map[string]watcher.Change)}
}

// reset drops all records. The next one has the given offset.
func (t *topic) reset(offset int64) {
	t.firstOffset, t.nextOffset, t.entries, t.isWhole, t.tombstones = offset, offset, make(map[string]watcher.Change), false, 0
	t.packed, t.gaps = nil, nil
}

// isHeld reports whether the changes from an offset on are held.
func (t *topic) isHeld(offset int64) bool {
	if offset < t.firstOffset {
		return false
	}
	return !slices.ContainsFunc(t.gaps, func(g gap) bool { return g.from < offset && offset < g.to })
}

// since returns the offset from which on there are no gaps, for changes from an offset on.
func (t *topic) since(offset int64) int64 {
	if n := len(t.gaps); n > 0 {
		return max(offset, t.gaps[n-1].to)
	}
	return offset
}

// addGap records that the changes between two offsets are held for a host at one of them alone.
func (t *topic) addGap(from, to int64) {
	if to <= from+1 {
		return
	}
	if t.gaps = append(t.gaps, gap{from: from, to: to}); len(t.gaps) > maxGaps {
		t.firstOffset, t.gaps = max(t.firstOffset, t.gaps[0].to), slices.Clone(t.gaps[1:])
	}
}

// notify wakes the hosts that wait for news.
func (t *topic) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// recordBytes records that bytes of the topic have arrived from outside the zone.
func (t *topic) recordBytes(now time.Duration) {
	t.fetchedAt, t.hasFetched = now, true
}

func (t *topic) isFetching(now time.Duration) bool {
	return t.hasFetched && now-t.fetchedAt <= fetchingTime
}

// isPending reports whether a newer state may arrive in a moment.
func (t *topic) isPending(now time.Duration) bool {
	return t.isFetching(now) || t.isAsking && now-t.askedAt <= answerTime
}

// addDelay adds to the delay of changes the time since the records were last known to be complete, if a call has failed since, the source
// has known them for some time, or this host or the source may have stood still. held is how long the source has waited for news.
func (t *topic) addDelay(b watcher.Batch, calledAt, now, drift, held time.Duration, isCurrent bool) {
	isLate := t.hasFailed || now-t.readAt > held+maxCallDelay || b.Age > maxCallDelay || drift-t.drift > maxDrift
	if t.hasRead && isLate {
		for i := range b.Changes {
			b.Changes[i].Delay += now - t.completeAt
		}
	}
	readAt := now
	if now-calledAt > held+maxCallDelay {
		// The source may have given its answer at any time since the call.
		readAt = calledAt
	}
	t.setComplete(readAt, readAt-b.Age, drift, isCurrent)
}

// setComplete records that the records were complete at a time.
func (t *topic) setComplete(readAt, completeAt, drift time.Duration, isCurrent bool) {
	t.readAt, t.drift, t.hasFailed = readAt, drift, !isCurrent
	if !t.hasRead || completeAt > t.completeAt {
		t.completeAt = completeAt
		t.refreshes++
	}
	t.hasRead = true
}

// apply adds the changes that follow an offset.
func (t *topic) apply(from int64, b watcher.Batch) {
	defer t.notify()
	t.latestEpoch = max(t.latestEpoch, b.Epoch)
	if b.Epoch < t.epoch {
		return
	}
	if b.Epoch > t.epoch {
		// Offsets of the older epoch have been given out again.
		t.epoch = b.Epoch
		t.reset(b.NextOffset)
		return
	}
	if t.nextOffset != from {
		t.reset(from)
	}
	for _, c := range b.Changes {
		// A change from before the batch is one that this host had missed: hosts that read from this one may have missed it as well.
		c.Position = max(cmp.Or(c.Position, watcher.Position(b.NextOffset)), watcher.Position(from+1))
		t.put(c)
	}
	t.nextOffset = b.NextOffset
	t.addGap(from, b.Since)
	if len(b.Changes) > 0 {
		t.packed = nil
	}
	if t.tombstones > maxTombstones {
		t.dropTombstones()
	}
}

func (t *topic) put(c watcher.Change) {
	if old, ok := t.entries[c.Key]; ok && len(old.Value) == 0 {
		t.tombstones--
	}
	if len(c.Value) == 0 {
		t.tombstones++
	}
	t.entries[c.Key] = c
}

// dropTombstones forgets which keys have been removed. Hosts that are behind then get all values.
func (t *topic) dropTombstones() {
	for key, c := range t.entries {
		if len(c.Value) == 0 && c.Position <= watcher.Position(t.nextOffset) {
			delete(t.entries, key)
			t.tombstones--
		}
	}
	t.firstOffset, t.packed, t.gaps = t.nextOffset, nil, nil
}

// setSnapshot replaces the state, unless it is newer, and returns the state that is held then, without positions.
func (t *topic) setSnapshot(s watcher.Snapshot, now, drift time.Duration) watcher.Snapshot {
	defer t.notify()
	t.latestEpoch = max(t.latestEpoch, s.Epoch)
	positions := s.Positions
	s.Positions = nil
	if s.Epoch < t.epoch {
		return s
	}
	if s.Epoch == t.epoch && t.isWhole && s.NextOffset < t.nextOffset {
		return t.snapshot()
	}
	t.epoch = s.Epoch
	t.reset(s.NextOffset)
	t.isWhole = true
	for key, value := range s.Values {
		t.entries[key] = watcher.Change{Key: key, Value: value, Position: cmp.Or(positions[key], watcher.Position(s.NextOffset))}
	}
	t.setComplete(now, now-s.Age, drift, true)
	return s
}

// snapshot returns the state.
func (t *topic) snapshot() watcher.Snapshot {
	s := watcher.Snapshot{Values: make(map[string][]byte, len(t.entries)), NextOffset: t.nextOffset, Epoch: t.epoch}
	for key, c := range t.entries {
		if len(c.Value) > 0 {
			s.Values[key] = c.Value
		}
	}
	return s
}

// difference returns the changes that make the state equal to a snapshot.
func (t *topic) difference(s watcher.Snapshot) []watcher.Change {
	var out []watcher.Change
	for key, value := range s.Values {
		if old, ok := t.entries[key]; !ok || !bytes.Equal(old.Value, value) {
			out = append(out, watcher.Change{Key: key, Value: value, Position: s.Positions[key]})
		}
	}
	for key, old := range t.entries {
		if _, ok := s.Values[key]; !ok && len(old.Value) > 0 {
			out = append(out, watcher.Change{Key: key})
		}
	}
	slices.SortFunc(out, func(a, b watcher.Change) int { return cmp.Compare(a.Key, b.Key) })
	return out
}

// missed returns those of the changes of a snapshot of the store that stand before nextOffset by what the source states, so that this host
// should have had them.
func (t *topic) missed(changes []watcher.Change) []watcher.Change {
	next := watcher.Position(t.nextOffset)
	var out []watcher.Change
	for _, c := range changes {
		if c.Position > 0 && c.Position <= next && t.entries[c.Key].Position <= next {
			out = append(out, c)
		}
	}
	return out
}

// changesFrom returns the newest change of each key that may have changed since an offset, or all values if isAll is set.
func (t *topic) changesFrom(offset int64, isAll bool) []watcher.Change {
	out := make([]watcher.Change, 0, len(t.entries))
	for _, c := range t.entries {
		if isAll && len(c.Value) > 0 || !isAll && c.Position > watcher.Position(offset) {
			if isAll {
				// The values stand before nextOffset, and no host serves changes from before the offset of a snapshot.
				c.Delay, c.Position = 0, 0
			}
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b watcher.Change) int {
		return cmp.Or(cmp.Compare(a.Position, b.Position), cmp.Compare(a.Key, b.Key))
	})
	if !isAll {
		out = t.repeatIfAmbiguous(offset, out)
	}
	return out
}

// repeatIfAmbiguous repeats the last change if there are as many changes as offsets but not one for each. Hosts of earlier versions, which
// do not read positions, would take such a list for the records of the log.
func (t *topic) repeatIfAmbiguous(offset int64, changes []watcher.Change) []watcher.Change {
	if int64(len(changes)) != t.nextOffset-offset {
		return changes
	}
	for i, c := range changes {
		if c.Position != watcher.Position(offset+int64(i)+1) {
			return append(changes, changes[len(changes)-1])
		}
	}
	return changes
}

// packedFrom returns the changes from an offset on, or all values.
func (t *topic) packedFrom(offset int64, isAll bool) *recordpacker.Packer {
	if isAll {
		offset = wholeOffset
	}
	if t.packed == nil {
		t.packed = make(map[int64]*recordpacker.Packer)
	}
	p := t.packed[offset]
	if p == nil {
		p = &recordpacker.Packer{Records: t.changesFrom(offset, isAll)}
		t.packed[offset] = p
	}
	return p
}
