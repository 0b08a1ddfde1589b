package releasescheduler

import "time"

// Meter measures the progress of the fetch of one release.
type Meter struct {
	heldShare            func() float64
	startedAt, changedAt time.Time
	startShare, share    float64
}

// NewMeter starts a measurement. heldShare returns the share of the chunks that the host holds now.
func NewMeter(heldShare func() float64) *Meter {
	now, share := time.Now(), heldShare()
	return &Meter{heldShare: heldShare, startedAt: now, changedAt: now, startShare: share, share: share}
}

// Measure returns the progress until now.
func (m *Meter) Measure() Progress {
	now := time.Now()
	if share := m.heldShare(); share != m.share {
		m.share, m.changedAt = share, now
	}
	return Progress{HeldShare: m.share, StartShare: m.startShare, Elapsed: now.Sub(m.startedAt), Idle: now.Sub(m.changedAt)}
}
