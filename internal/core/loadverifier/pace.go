package loadverifier

import (
	"slices"
	"time"
)

// maxSequential is the time within which chunks are read or written one after the other. If they take longer, parallel
// calls are made side by side.
const (
	maxSequential = time.Second
	parallel      = 8
)

// pace measures how long calls to the engine take.
type pace struct {
	recent [9]time.Duration
	calls  int
}

func (p *pace) record(d time.Duration) {
	p.recent[p.calls%len(p.recent)] = d
	p.calls++
}

// callTime returns the median duration of recent calls. A median is not misled by a single call that stalls.
func (p *pace) callTime() time.Duration {
	n := min(p.calls, len(p.recent))
	if n == 0 {
		return 0
	}
	sorted := p.recent
	slices.Sort(sorted[:n])
	return sorted[n/2]
}

// sideBySide returns how many of the calls for chunks to make at once.
func (p *pace) sideBySide(chunks int) int {
	if time.Duration(chunks)*p.callTime() <= maxSequential {
		return 1
	}
	return parallel
}

// timeFor returns how long the calls for chunks take.
func (p *pace) timeFor(chunks int) time.Duration {
	n := p.sideBySide(chunks)
	return time.Duration((chunks+n-1)/n) * p.callTime()
}
