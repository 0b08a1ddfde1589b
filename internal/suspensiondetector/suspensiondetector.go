// Package suspensiondetector finds out for how long the host was suspended. The clock of the runtime stands still
// meanwhile, so that times in the future seem to be farther away than they are.
package suspensiondetector

import (
	"sync"
	"time"

	"github.com/apex/log"
	"golang.org/x/sys/unix"

	"github.com/nutmegdock/nutmegdock/internal/event"
)

// minSuspension is the shortest difference between the two clocks that counts as a suspension. It is more than the time
// between two reads of clocks on a busy host.
const minSuspension = 50 * time.Millisecond

// Detector compares the runtime's clock with one that also runs while the host is suspended. Set its fields before use.
type Detector struct {
	// ReadClock reads the time since the start of the host, suspensions included; nil means the clock of the system.
	ReadClock func() (time.Duration, error)
	// OnSuspension is called with the duration of each suspension that Check finds. It must not call the detector.
	OnSuspension func(d time.Duration)
	// Logger receives the log events of suspensions, and of a clock that cannot be read.
	Logger log.Interface

	mu         sync.Mutex
	startedAt  time.Time
	startClock time.Duration
	// suspended is the total of the suspensions that were found.
	suspended time.Duration
	hasFailed bool
}

func readSystemClock() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}

// Elapsed returns the time since the first call of the detector, suspensions included.
func (d *Detector) Elapsed() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.elapsed()
}

// elapsed returns the time since the first call. Without the system's clock, it is that of the runtime. The caller must
// hold d.mu.
func (d *Detector) elapsed() time.Duration {
	read := d.ReadClock
	if read == nil {
		read = readSystemClock
	}
	clock, err := read()
	if err != nil && !d.hasFailed {
		d.Logger.WithError(err).Error("read the clock that runs while the host is suspended")
	}
	d.hasFailed = err != nil
	if d.startedAt.IsZero() {
		d.startedAt, d.startClock = time.Now(), clock
	}
	steady := time.Since(d.startedAt) + d.suspended
	if d.hasFailed {
		return steady
	}
	return max(steady, clock-d.startClock)
}

// Check reports a suspension since the last call.
func (d *Detector) Check() {
	d.mu.Lock()
	defer d.mu.Unlock()
	elapsed := d.elapsed()
	suspension := elapsed - time.Since(d.startedAt) - d.suspended
	if suspension < minSuspension {
		return
	}
	d.suspended += suspension
	event.HostSuspended.Log(d.Logger, log.Fields{"duration": suspension.Milliseconds()})
	if d.OnSuspension != nil {
		d.OnSuspension(suspension)
	}
}
