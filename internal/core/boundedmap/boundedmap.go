// Package boundedmap provides a map that drops the entry that was set the longest ago when it holds too many.
package boundedmap

import (
	"iter"
	"time"
)

type entry[V any] struct {
	value V
	setAt time.Time
}

// Map is a map from K to V. Set its field before use. It is not safe for concurrent use.
type Map[K comparable, V any] struct {
	// Limit is the maximum number of entries.
	Limit int

	entries map[K]entry[V]
}

// Get returns the value of a key, or the zero value if there is none.
func (m *Map[K, V]) Get(k K) V {
	return m.entries[k].value
}

// Set sets the value of a key.
func (m *Map[K, V]) Set(k K, v V) {
	if m.entries == nil {
		m.entries = make(map[K]entry[V])
	}
	m.entries[k] = entry[V]{value: v, setAt: time.Now()}
	if len(m.entries) <= m.Limit {
		return
	}
	var oldest K
	var oldestAt time.Time
	for key, e := range m.entries {
		if oldestAt.IsZero() || e.setAt.Before(oldestAt) {
			oldest, oldestAt = key, e.setAt
		}
	}
	delete(m.entries, oldest)
}

// Delete removes a key.
func (m *Map[K, V]) Delete(k K) {
	delete(m.entries, k)
}

// Len returns the number of entries.
func (m *Map[K, V]) Len() int {
	return len(m.entries)
}

// All returns the entries in no particular order.
func (m *Map[K, V]) All() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for k, e := range m.entries {
			if !yield(k, e.value) {
				return
			}
		}
	}
}
