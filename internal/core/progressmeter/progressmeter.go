// Package progressmeter decides whether a body that arrives makes progress, so that a caller that sends a byte now and then counts
// as one that sends nothing.
package progressmeter

// A body makes progress when minBytes more have arrived, or one divisor-th of its size if that is more.
const minBytes, divisor = 8 << 10, 32

// Meter measures one body. The zero Meter is ready.
type Meter struct {
	// Size is the size in bytes that the body will have at least, as far as it is known.
	Size int

	received, mark int
}

// Add records that n bytes have arrived, and reports whether the body has made progress since that was last reported.
func (m *Meter) Add(n int) bool {
	m.received += n
	if m.received-m.mark < max(minBytes, m.Size/divisor) {
		return false
	}
	m.mark = m.received
	return true
}
