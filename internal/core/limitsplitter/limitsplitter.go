// Package limitsplitter divides the in-flight limit of an endpoint among the entry hosts that share it.
package limitsplitter

import (
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/ranker"
)

// Split returns the share of an endpoint's limit that the entry host self may use. The shares of all entry hosts sum up
// to the limit and differ by at most one. Which hosts receive the larger shares depends on the endpoint.
func Split(endpoint ident.Host, limit int, self ident.Host, entryHosts []ident.Host) int {
	n := len(entryHosts)
	if n == 0 {
		return limit
	}
	rank := 0
	score := ranker.Score(string(endpoint), string(self))
	for _, e := range entryHosts {
		if other := ranker.Score(string(endpoint), string(e)); other > score || other == score && e < self {
			rank++
		}
	}
	share := limit / n
	if rank < limit%n {
		share++
	}
	return share
}
