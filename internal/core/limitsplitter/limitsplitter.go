// Package limitsplitter divides the limit of an endpoint among the entry hosts that share it.
package limitsplitter

import (
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/ranker"
)

// Split returns self's part of the limit of endpoint h. The parts of all entry hosts differ by one at most and sum up to
// the limit; which hosts get the larger ones differs by endpoint.
func Split(h ident.Host, limit int, self ident.Host, entries []ident.Host) int {
	n := len(entries)
	if n == 0 {
		return limit
	}
	before := 0
	score := ranker.Score(string(h), string(self))
	for _, e := range entries {
		if other := ranker.Score(string(h), string(e)); other > score || other == score && e < self {
			before++
		}
	}
	part := limit / n
	if before < limit%n {
		part++
	}
	return part
}
