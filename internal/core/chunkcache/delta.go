package chunkcache

import "github.com/nutmegdock/nutmegdock/internal/core/ident"

// Cursor is a reader's position in a cache's sequence of arrivals.
type Cursor struct {
	Epoch int64
	// Count is the number of arrivals in the epoch that the reader has received.
	Count int
}

// Delta lists the chunks that arrived between two cursors.
type Delta struct {
	// Next is the cursor from which to request the following delta.
	Next Cursor
	// Full is true if Added lists all chunks that are held. It then replaces the reader's copy of the inventory.
	Full bool
	// Added holds the indexes of the added chunks for each requested artifact; nil if there are none.
	Added [][]int
}

// IsEmpty reports whether the delta changes nothing for its reader.
func (d Delta) IsEmpty() bool {
	return !d.Full && d.Added == nil
}

// Delta returns the chunks of the artifacts that arrived after the cursor, or all of them if the cursor is from another
// epoch. If the response is lost, the reader repeats the request with its old cursor and loses nothing.
func (c *Cache) Delta(artifacts []ident.Digest, since Cursor) Delta {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	out := Delta{Next: Cursor{Epoch: c.currentEpoch, Count: len(c.arrivals)}}
	if since.Epoch != c.currentEpoch || since.Count < 0 || since.Count > len(c.arrivals) {
		out.Full = true
		since.Count = 0
	}
	for _, d := range c.arrivals[since.Count:] {
		for k, a := range artifacts {
			for _, i := range c.artifacts[a].indexes[d] {
				if out.Added == nil {
					out.Added = make([][]int, len(artifacts))
				}
				out.Added[k] = append(out.Added[k], i)
			}
		}
	}
	return out
}
