package permitsharer_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/permitsharer"
)

const excess = 1.2

var (
	whole = permitsharer.View{IsResponder: true, Live: 40, All: 40, IsCurrent: true}
	half  = permitsharer.View{IsResponder: true, Live: 20, All: 40, IsCurrent: true}
	other = permitsharer.View{Live: 41, All: 41, IsCurrent: true}
)

// observe tells a sharer a view for a time.
func observe(s *permitsharer.Sharer, v permitsharer.View, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(permitsharer.Interval) {
		s.Observe("e", excess, v)
	}
}

// Guards against a host that gives permits before all others have noticed that it is the responder.
func TestNewResponderGivesNothingAtFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var s permitsharer.Sharer
		is.Equal(s.Share("e"), 0.0)
		observe(&s, whole, permitsharer.SettleTime-permitsharer.Interval)
		is.Equal(s.Share("e"), 0.0)
		observe(&s, whole, 2*permitsharer.Interval)
		is.Equal(s.Share("e"), 1.0)
		s.Retain(nil)
		is.Equal(s.Share("e"), 0.0)
	})
}

// Guards against halves that together give more than the whole allows, also when they are connected again.
func TestPartFollowsTheLiveHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var s permitsharer.Sharer
		observe(&s, whole, 5*time.Second)
		observe(&s, half, permitsharer.Interval)
		is.Equal(s.Share("e"), 0.6)
		observe(&s, whole, permitsharer.SettleTime-permitsharer.Interval)
		is.Equal(s.Share("e"), 0.6)
		observe(&s, whole, 2*permitsharer.Interval)
		is.Equal(s.Share("e"), 1.0)
		stale := whole
		stale.IsCurrent = false
		observe(&s, stale, permitsharer.Interval)
		is.Equal(s.Share("e"), 0.5)
	})
}

// Guards against a former responder and its successor that both give the same permits, and against a time in which none
// of them does.
func TestPermitsPassToTheSuccessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var former, successor permitsharer.Sharer
		observe(&former, whole, 5*time.Second)
		is.Equal(former.Cede("e"), 0.0) // it has no successor
		successor.Observe("e", excess, whole)
		former.Observe("e", excess, other)
		is.Equal(former.Share("e"), 1.0) // until it has ceded them
		is.Equal(successor.Share("e"), 0.0)
		successor.Accept("e", former.Cede("e"))
		is.Equal(former.Share("e"), 0.0)
		is.Equal(successor.Share("e"), 1.0)
		is.Equal(former.Cede("e"), 0.0)
		successor.Observe("e", excess, half)
		is.Equal(successor.Share("e"), 0.6)
	})
}

// Guards against a former responder that still gives permits when its successor has settled without a handover.
func TestFormerResponderStopsBeforeItsSuccessorSettles(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var former, successor permitsharer.Sharer
		observe(&former, whole, 5*time.Second)
		// The former one notices its successor as late as a host may.
		const noticeTime = 1750 * time.Millisecond
		for elapsed := time.Duration(0); elapsed < 5*time.Second; elapsed += permitsharer.Interval / 2 {
			successor.Observe("e", excess, whole)
			if elapsed >= noticeTime {
				former.Observe("e", excess, other)
			} else {
				former.Observe("e", excess, whole)
			}
			is.True(former.Share("e")+successor.Share("e") <= 1)
			time.Sleep(permitsharer.Interval / 2)
		}
		is.Equal(successor.Share("e"), 1.0)
		is.Equal(former.Cede("e"), 0.0) // too late
	})
}

// Guards against parts that are accepted by a host that is not the responder any more.
func TestPartIsNotAcceptedByAnotherHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var s permitsharer.Sharer
		s.Accept("e", 1)
		is.Equal(s.Share("e"), 0.0)
		observe(&s, other, time.Second)
		s.Accept("e", 1)
		is.Equal(s.Share("e"), 0.0)
	})
}
