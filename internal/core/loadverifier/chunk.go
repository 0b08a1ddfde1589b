package loadverifier

import (
	"math"
	"time"
)

// never is a time before all others.
const never = time.Duration(math.MinInt64 / 2)

// chunk is what is known about a staged chunk.
type chunk struct {
	// isStaged says that the right bytes have been written or read, and nothing says that they are gone.
	isStaged bool
	// read is the newest read that found the chunk intact.
	read Call
	// written is the end of the newest write, and repaired that of the newest one with the right bytes.
	written, repaired time.Duration
	// mayRepair and maySpoil say that a write without an answer may put the right bytes or others there; openSent is when the
	// newest such write was sent.
	mayRepair, maySpoil bool
	openSent            time.Duration
}

func newChunk() chunk {
	return chunk{read: Call{Sent: never, Ended: never}, written: never, repaired: never, openSent: never}
}

// inherit takes over the writes of a former release.
func (c *chunk) inherit(former chunk) {
	c.written, c.repaired, c.openSent = former.written, former.repaired, former.openSent
	isOpen := former.mayRepair || former.maySpoil
	c.mayRepair, c.maySpoil = isOpen, isOpen
}

func (c *chunk) recordWrite(w Call, current bool) {
	if w.Result == Refused {
		return
	}
	c.written = max(c.written, w.Ended)
	c.isStaged = w.Result == Done && current
	if current {
		c.repaired = max(c.repaired, w.Ended)
	}
	if w.Result == Open {
		c.openSent = max(c.openSent, w.Sent)
		c.mayRepair = c.mayRepair || current
		c.maySpoil = c.maySpoil || !current
	}
}

func (c *chunk) recordRead(r Call, intact bool) {
	if r.Sent < c.read.Sent {
		return
	}
	c.isStaged = intact
	c.read = Call{Sent: never, Ended: never}
	if intact {
		c.read = r
	}
}

// isFresh reports whether a read that found the chunk intact is good for a command that is accepted at the given time, and
// the chunk has not been written since.
func (c *chunk) isFresh(at time.Duration) bool {
	return c.isReadSince(at - maxAge)
}

// isReadSince reports whether a read that was sent at the given time or later, and after the last write, found the chunk intact.
func (c *chunk) isReadSince(t time.Duration) bool {
	return c.read.Sent >= t && c.read.Sent >= c.written
}

// mayBeRepaired reports whether a write may have put the right bytes there after the given time, or may still do so.
func (c *chunk) mayBeRepaired(since time.Duration) bool {
	return c.mayRepair || c.repaired > since
}

// forgetOpen forgets writes without an answer that were sent to an incarnation of the engine that has ended. Writes since
// the given time may have reached the next one.
func (c *chunk) forgetOpen(since time.Duration) {
	if c.openSent < since {
		c.mayRepair, c.maySpoil = false, false
	}
}

// forgetStaged forgets what is staged: with the engine, its host may have lost power.
func (c *chunk) forgetStaged() {
	c.isStaged, c.read = false, Call{Sent: never, Ended: never}
}
