// Package shardedmap provides an immutable map with cheap updates: an update copies the affected shard and shares all
// others with the original map.
package shardedmap

import (
	"iter"
	"maps"

	"github.com/cespare/xxhash/v2"
)

const shardCount = 256

// Map is an immutable map from K to V. The zero value is an empty map.
type Map[K ~string, V any] struct {
	shards *[shardCount]map[K]V
	size   int
}

// Len returns the number of keys.
func (m Map[K, V]) Len() int {
	return m.size
}

// Get returns the value of a key and whether the key exists.
func (m Map[K, V]) Get(k K) (V, bool) {
	if m.shards == nil {
		var zero V
		return zero, false
	}
	v, ok := m.shards[shardOf(k)][k]
	return v, ok
}

// Set returns a copy of the map in which k has the value v.
func (m Map[K, V]) Set(k K, v V) Map[K, V] {
	return m.SetAll(map[K]V{k: v})
}

// SetAll returns a copy of the map with all the given values set. It copies each shard at most once.
func (m Map[K, V]) SetAll(values map[K]V) Map[K, V] {
	if len(values) == 0 {
		return m
	}
	next := m.copy()
	var copied [shardCount]bool
	for k, v := range values {
		i := shardOf(k)
		if !copied[i] {
			next.shards[i] = cloneShard(next.shards[i])
			copied[i] = true
		}
		if _, ok := next.shards[i][k]; !ok {
			next.size++
		}
		next.shards[i][k] = v
	}
	return next
}

// Delete returns a copy of the map without k.
func (m Map[K, V]) Delete(k K) Map[K, V] {
	if _, ok := m.Get(k); !ok {
		return m
	}
	next := m.copy()
	i := shardOf(k)
	next.shards[i] = cloneShard(next.shards[i])
	delete(next.shards[i], k)
	next.size--
	return next
}

// All returns the pairs of keys and values in no particular order.
func (m Map[K, V]) All() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		if m.shards == nil {
			return
		}
		for _, shard := range m.shards {
			for k, v := range shard {
				if !yield(k, v) {
					return
				}
			}
		}
	}
}

// copy returns a map with its own table of the same shards.
func (m Map[K, V]) copy() Map[K, V] {
	table := new([shardCount]map[K]V)
	if m.shards != nil {
		*table = *m.shards
	}
	return Map[K, V]{shards: table, size: m.size}
}

func cloneShard[K comparable, V any](shard map[K]V) map[K]V {
	if shard == nil {
		return make(map[K]V)
	}
	return maps.Clone(shard)
}

// shardOf returns the index of the shard that holds k.
func shardOf[K ~string](k K) int {
	return int(xxhash.Sum64String(string(k)) % shardCount)
}
