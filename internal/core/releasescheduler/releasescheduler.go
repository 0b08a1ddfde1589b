// Package releasescheduler decides which release of a model is fetched and loaded while releases follow each other faster
// than they can be rolled out.
//
// Load pattern: a release is published while the one before it is still being fetched, and the origin of weights becomes
// unavailable shortly after. If the older one is given up, the fleet has neither of them when the release that it serves
// ends.
package releasescheduler

import "time"

const (
	// minFinishShare is the share of the chunks from which the fetch of a release is finished although a newer one is
	// known. The rest delays the newer one by less than half of a copy.
	minFinishShare = 0.5
	// stallTime is the time without a new chunk after which a fetch counts as stalled. A chunk takes 40 ms on the link of an
	// engine's host.
	stallTime = 700 * time.Millisecond
	// loadTime is the time that an engine needs to finish its requests and to load a release.
	loadTime = 1200 * time.Millisecond
	// maxLateness is how much too late a newer release may arrive for an engine to wait for it. Without any lateness, 12 of
	// 16 engines loaded a release in the middle 1.5 s before the newest one arrived, and each lost loadTime twice.
	maxLateness = 600 * time.Millisecond
)

// Progress is the progress of the fetch of one release on one host.
type Progress struct {
	// HeldShare is the share of the chunks that the host holds.
	HeldShare float64
	// Elapsed is the time since the fetch began, and StartShare the share that was held then.
	Elapsed    time.Duration
	StartShare float64
	// Idle is the time since the last chunk arrived, or since the fetch began.
	Idle time.Duration
}

// IsStalled reports whether the release does not arrive at present.
func (p Progress) IsStalled() bool {
	return p.HeldShare < 1 && p.Idle >= stallTime
}

// remaining returns the expected time until the release is held, at the rate so far. It returns false if the rate is not
// known.
func (p Progress) remaining() (time.Duration, bool) {
	if p.HeldShare >= 1 {
		return 0, true
	}
	arrived := p.HeldShare - p.StartShare
	if arrived <= 0 {
		return 0, false
	}
	return time.Duration((1 - p.HeldShare) / arrived * float64(p.Elapsed)), true
}

// Abandons reports whether the fetch of a release is given up for a newer one. isFallback says that the newer one has
// stalled, so that the older one is fetched instead.
func Abandons(older Progress, isFallback bool) bool {
	if isFallback {
		return older.IsStalled()
	}
	return older.HeldShare < minFinishShare || older.IsStalled()
}

// AwaitsNewer reports whether an engine whose turn it is to load a release waits for a newer one instead, which saves one
// load. timeLeft is the time for which it may serve its present release. After that it is idle until the newer one arrives,
// which costs less than a load if it is short.
func AwaitsNewer(newer Progress, timeLeft time.Duration) bool {
	if newer.IsStalled() {
		return false
	}
	remaining, ok := newer.remaining()
	if !ok {
		return timeLeft >= loadTime
	}
	return remaining <= timeLeft+maxLateness
}
