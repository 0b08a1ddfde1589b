// Package shardedmap provides a persistent map: a copy is a new reference, and an update copies one small shard only.
package shardedmap

import (
	"iter"
	"maps"

	"github.com/cespare/xxhash/v2"
)

const shards = 256

// Map is an immutable map from K to V. The zero value is empty. Updates return a new map that shares all other shards.
type Map[K ~string, V any] struct {
	table *[shards]map[K]V
	n     int
}

// Len returns the number of keys.
func (m Map[K, V]) Len() int {
	return m.n
}

// Get returns the value of a key.
func (m Map[K, V]) Get(k K) (V, bool) {
	if m.table == nil {
		var zero V
		return zero, false
	}
	v, ok := m.table[index(k)][k]
	return v, ok
}

// Set returns a map in which k has the value v.
func (m Map[K, V]) Set(k K, v V) Map[K, V] {
	return m.SetAll(map[K]V{k: v})
}

// SetAll returns a map with all the given values. Each shard is copied at most once.
func (m Map[K, V]) SetAll(values map[K]V) Map[K, V] {
	if len(values) == 0 {
		return m
	}
	next := m.copy()
	var owned [shards]bool
	for k, v := range values {
		i := index(k)
		if !owned[i] {
			next.table[i] = cloneShard(next.table[i])
			owned[i] = true
		}
		if _, ok := next.table[i][k]; !ok {
			next.n++
		}
		next.table[i][k] = v
	}
	return next
}

// Delete returns a map without k.
func (m Map[K, V]) Delete(k K) Map[K, V] {
	if _, ok := m.Get(k); !ok {
		return m
	}
	next := m.copy()
	i := index(k)
	next.table[i] = cloneShard(next.table[i])
	delete(next.table[i], k)
	next.n--
	return next
}

// All returns the pairs in no defined order.
func (m Map[K, V]) All() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		if m.table == nil {
			return
		}
		for _, shard := range m.table {
			for k, v := range shard {
				if !yield(k, v) {
					return
				}
			}
		}
	}
}

func (m Map[K, V]) copy() Map[K, V] {
	table := new([shards]map[K]V)
	if m.table != nil {
		*table = *m.table
	}
	return Map[K, V]{table: table, n: m.n}
}

func cloneShard[K comparable, V any](shard map[K]V) map[K]V {
	if shard == nil {
		return make(map[K]V)
	}
	return maps.Clone(shard)
}

func index[K ~string](k K) int {
	return int(xxhash.Sum64String(string(k)) % shards)
}
