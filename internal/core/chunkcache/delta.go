package chunkcache

import "github.com/nutmegdock/nutmegdock/internal/core/ident"

// Cursor is a reader's place in a cache's sequence of arrivals.
type Cursor struct {
	Epoch int64
	Count int
}

// Delta lists what arrived between two cursors.
type Delta struct {
	// Next is where the following delta starts.
	Next Cursor
	// Full tells that Added lists all that is held, in place of what the reader knew.
	Full bool
	// Added holds, for each artifact asked for, the indices of its chunks; it is nil if no chunk is to be added.
	Added [][]int
}

// IsEmpty tells whether the delta changes nothing for its reader.
func (d Delta) IsEmpty() bool {
	return !d.Full && d.Added == nil
}

// Delta returns the chunks of the artifacts that arrived since the cursor, or all of them if the cursor is of another
// epoch. A lost answer does no harm: the reader asks again from its old cursor.
func (c *Cache) Delta(artifacts []ident.Digest, since Cursor) Delta {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	out := Delta{Next: Cursor{Epoch: c.epoch, Count: len(c.arrivals)}}
	if since.Epoch != c.epoch || since.Count < 0 || since.Count > len(c.arrivals) {
		out.Full = true
		since.Count = 0
	}
	for _, d := range c.arrivals[since.Count:] {
		for k, a := range artifacts {
			for _, i := range c.artifacts[a].index[d] {
				if out.Added == nil {
					out.Added = make([][]int, len(artifacts))
				}
				out.Added[k] = append(out.Added[k], i)
			}
		}
	}
	return out
}
