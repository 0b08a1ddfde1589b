// Package workpacer decides when connections are read whose bytes cost much work, so that they leave processor time for others.
//
// The bytes of all such connections together are read at a constant rate. Each one waits for its turn after every read, so that
// a crowd shares the rate, and a single one has all of it.
package workpacer

import (
	"sync"
	"time"
)

const (
	// Rate is the number of framing bytes a second that is read in all, beyond those that come with as many bytes of content. A
	// body of 1 MiB in chunks of one byte has 5 MiB of framing.
	Rate = 4 << 20
	// FreeBytes is the number of framing bytes of each body that cost no turn.
	FreeBytes = 16 << 10
)

// Pacer keeps the turns of one process. The zero Pacer is ready.
type Pacer struct {
	mu   sync.Mutex
	next time.Time
}

// Take takes a turn for n bytes that were read, and returns how long the connection must not be read.
func (p *Pacer) Take(now time.Time, n int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.next.Before(now) {
		p.next = now
	}
	p.next = p.next.Add(time.Duration(n) * time.Second / Rate)
	return p.next.Sub(now)
}

// Meter counts the framing of one body.
type Meter struct {
	content, raw, counted int
}

// Add records bytes of content and the raw bytes that they took on the connection, and returns how many framing bytes need a
// turn.
func (m *Meter) Add(content, raw int) int {
	m.content += content
	m.raw += raw
	excess := max(0, m.raw-2*m.content-FreeBytes)
	n := max(0, excess-m.counted)
	m.counted += n
	return n
}
