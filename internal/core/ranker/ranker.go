// Package ranker ranks nodes by rendezvous hashing: all processes with the same list of nodes get the same order.
package ranker

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the nodes ordered by their rendezvous score for key, highest first.
func Rank[T ~string](key string, nodes []T) []T {
	scores := make(map[T]uint64, len(nodes))
	for _, n := range nodes {
		scores[n] = Score(key, string(n))
	}
	out := append([]T(nil), nodes...)
	sort.Slice(out, func(i, j int) bool {
		a, b := scores[out[i]], scores[out[j]]
		if a == b {
			return out[i] < out[j]
		}
		return a > b
	})
	return out
}

// Score returns the rendezvous score of one node for key.
func Score(key, node string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(node)
	return d.Sum64()
}
