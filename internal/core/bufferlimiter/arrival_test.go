package bufferlimiter_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/nutmegdock/nutmegdock/internal/core/bufferlimiter"
)

// arrival is what the oracle knows of a head or a body.
type arrival struct {
	*bufferlimiter.Account
	isHead, isComplete, isCut bool
	// since is when it last made progress, and held what it is charged for the head or the body.
	since time.Duration
	held  int
}

// The largest head and body of the deployments.
const maxHeadBytes, maxBodyBytes = 16 << 10, 4 << 20

// stallTime is the time without progress after which a caller may be cut.
const stallTime = time.Second

// Guards against a complete request that is cut, against callers that are cut while others have made no progress for longer, or
// while they make progress themselves, and against heads and bodies that use up what is for small requests.
func TestStateArrivalsWithoutProgressAreCutFirst(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l := bufferlimiter.New(rapid.IntRange(32<<20, 284_000_000).Draw(rt, "memory"))
		var now time.Duration
		var all, cuts []*arrival
		held := func(isHead bool) (sum int) {
			for _, a := range all {
				if a.isHead == isHead {
					sum += a.held
				}
			}
			return sum
		}
		open := func(isHead bool, account *bufferlimiter.Account) *arrival {
			a := &arrival{Account: account, isHead: isHead, since: now}
			all = append(all, a)
			return a
		}
		cut := func(a **arrival) func() {
			return func() {
				(*a).isCut = true
				cuts = append(cuts, *a)
			}
		}
		// checkCuts checks the accounts that an action has cut.
		checkCuts := func() {
			for i, c := range cuts {
				if c.isComplete || now-c.since < stallTime {
					rt.Fatalf("cut: complete %v, %s after its last progress", c.isComplete, now-c.since)
				}
				if i > 0 && cuts[i-1].since > c.since {
					rt.Fatal("a caller was cut before one that has made no progress for longer")
				}
			}
			cuts = nil
		}
		pick := func(rt *rapid.T, isWanted func(a *arrival) bool) *arrival {
			var some []*arrival
			for _, a := range all {
				if isWanted(a) {
					some = append(some, a)
				}
			}
			if len(some) == 0 {
				rt.Skip()
			}
			return rapid.SampledFrom(some).Draw(rt, "arrival")
		}
		isArriving := func(a *arrival) bool { return !a.isComplete }
		rt.Repeat(map[string]func(*rapid.T){
			"": func(rt *rapid.T) {
				checkCuts()
				u := l.Usage()
				if u.Heads != held(true) || u.Bodies != held(false) {
					rt.Fatalf("usage %+v, want %d for heads and %d for bodies", u, held(true), held(false))
				}
				if 3*u.Bytes > 2*l.Process {
					rt.Fatalf("%d of %d bytes are used by what arrives", u.Bytes, l.Process)
				}
			},
			"head": func(*rapid.T) {
				var a *arrival
				a = open(true, l.OpenHead(cut(&a)))
			},
			"grow head": func(rt *rapid.T) {
				a, n := pick(rt, func(a *arrival) bool { return a.isHead && !a.isComplete }), rapid.IntRange(1, 4<<10).Draw(rt, "bytes")
				before := l.Usage().Heads
				if a.GrowHead(n, rapid.IntRange(0, n/4).Draw(rt, "lines")) {
					a.held += l.Usage().Heads - before
				}
			},
			"body": func(rt *rapid.T) {
				account, ok := l.Open()
				if !ok {
					if 3*(l.Usage().Bytes+bufferlimiter.RequestBytes) <= 2*l.Process {
						rt.Fatal("refused although there is room")
					}
					return
				}
				var a *arrival
				account.BeginBody(int64(rapid.IntRange(1, maxBodyBytes).Draw(rt, "size")), cut(&a))
				a = open(false, account)
			},
			"grow body": func(rt *rapid.T) {
				a, n := pick(rt, func(a *arrival) bool { return !a.isHead && !a.isComplete }), rapid.IntRange(1, maxBodyBytes).Draw(rt, "bytes")
				isAlone, wasCut, u := held(false) == a.held, a.isCut, l.Usage()
				ok := a.GrowBody(n)
				if ok {
					a.held += n
				}
				if !ok && !wasCut && isAlone && 3*(u.Bytes+n) <= 2*l.Process {
					rt.Fatal("the only body was refused although there is room")
				}
			},
			"progress": func(rt *rapid.T) {
				a := pick(rt, func(a *arrival) bool { return !a.isHead && !a.isComplete })
				a.Receive(maxBodyBytes)
				a.since = now
			},
			"trickle": func(rt *rapid.T) {
				pick(rt, func(a *arrival) bool { return !a.isHead && !a.isComplete }).Receive(0)
			},
			"complete": func(rt *rapid.T) {
				a := pick(rt, isArriving)
				if a.EndArrival() == a.isCut {
					rt.Fatalf("cut: %v", a.isCut)
				}
				a.isComplete = true
			},
			"advance": func(rt *rapid.T) {
				d := time.Duration(rapid.IntRange(1, 600).Draw(rt, "ms")) * time.Millisecond
				now += d
				l.Advance(d)
				used := 0
				for _, a := range all {
					if a.isCut {
						used -= a.held
						if !a.isHead {
							used -= bufferlimiter.RequestBytes
						}
					}
				}
				for _, a := range all {
					if isArriving(a) && !a.isCut && now-a.since >= stallTime && 5*(l.Usage().Bytes+used) > 2*l.Process {
						rt.Fatal("memory is short and a caller without progress was not cut")
					}
				}
			},
			"close": func(rt *rapid.T) {
				a := pick(rt, func(*arrival) bool { return true })
				a.Close()
				all = slices.DeleteFunc(all, func(o *arrival) bool { return o == a })
			},
		})
	})
}

// Guards against bounds that refuse a single request inside the limits on the smallest host: a head and a body of the largest
// size, whose length is stated or whose buffer grows to it.
func TestSingleRequestInsideLimitsIsServed(t *testing.T) {
	for _, steps := range [][]int{{maxBodyBytes + 1}, {2 << 20, maxBodyBytes + 1, -(2 << 20)}} {
		is := is.New(t)
		l := bufferlimiter.New(hostMemory)
		head := l.OpenHead(func() { t.Error("cut") })
		is.True(head.GrowHead(maxHeadBytes, maxHeadBytes/5)) // fields of a byte
		is.True(head.EndArrival())
		a, ok := l.Open()
		is.True(ok)
		a.BeginBody(maxBodyBytes, func() { t.Error("cut") })
		for _, n := range steps {
			is.True(a.GrowBody(n))
			l.Advance(5 * time.Second)
		}
		is.True(a.EndArrival())
		is.True(a.GrowResponse(1 << 20))
		a.Close()
		head.Close()
		is.Equal(l.Usage(), bufferlimiter.Usage{})
	}
}

// Guards against callers that stop short of the end of large bodies, in waves, until ordinary requests are refused.
func TestStalledBodiesLeaveRoomForSmallRequests(t *testing.T) {
	is := is.New(t)
	l := bufferlimiter.New(hostMemory)
	ended := make(map[*bufferlimiter.Account]bool)
	for range 40 {
		for range 20 {
			a, ok := l.Open()
			is.True(ok) // an ordinary request is admitted at any time
			var isCut bool
			a.BeginBody(maxBodyBytes, func() { isCut = true; ended[a] = true })
			if !a.GrowBody(maxBodyBytes) {
				a.Close()
			}
			is.True(!isCut)
		}
		l.Advance(250 * time.Millisecond)
		for a := range ended { // their readers notice
			a.Close()
		}
		clear(ended)
	}
	is.True(l.Usage().Cuts > 0)
}
