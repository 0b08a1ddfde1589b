package outlierejector_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/outlierejector"
)

func newPool(n int) (*outlierejector.Ejector, []*outlierejector.Member) {
	members := make([]*outlierejector.Member, n)
	for i := range members {
		members[i] = &outlierejector.Member{}
	}
	j := &outlierejector.Ejector{}
	j.SetMembers(members)
	return j, members
}

// serve records some seconds of requests, ten per second at each endpoint, which fail where fails says so.
func serve(j *outlierejector.Ejector, members []*outlierejector.Member, seconds float64, fails func(i int) bool) {
	const interval = 100 * time.Millisecond
	for range int(seconds * float64(time.Second) / float64(interval)) {
		for i, m := range members {
			if m.IsEjected() && !m.AllowsTrial(0, true, time.Now()) {
				continue
			}
			j.Record(m, time.Now(), fails(i))
		}
		time.Sleep(interval)
	}
}

func ejected(members []*outlierejector.Member) int {
	n := 0
	for _, m := range members {
		if m.IsEjected() {
			n++
		}
	}
	return n
}

// Guards against the ejection of too much of a pool, and of a pool of one or two endpoints.
func TestEjectedShareIsLimited(t *testing.T) {
	for _, c := range []struct{ size, failing, want int }{
		{1, 1, 0}, {2, 1, 0}, {3, 1, 1}, {7, 1, 1}, {7, 2, 2}, {7, 3, 2}, {10, 3, 3}, {58, 7, 7}, {58, 17, 17},
	} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			j, members := newPool(c.size)
			serve(j, members, 5, func(int) bool { return false })
			serve(j, members, 20, func(i int) bool { return i < c.failing })
			is.True(ejected(members) <= c.want)
			if c.failing*10 <= 3*c.size {
				is.Equal(ejected(members), c.want)
			}
		})
	}
}

// An ejected endpoint must get single requests with pauses, and be in use again soon after it has recovered.
func TestEjectedEndpointIsReadmittedByTrials(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		j, members := newPool(10)
		var changes []bool
		j.OnChange = func(c outlierejector.Change) { changes = append(changes, c.IsEjected) }
		failures := 0
		serve(j, members, 5, func(int) bool { return false })
		serve(j, members, 10, func(i int) bool {
			if i == 0 {
				failures++
			}
			return i == 0
		})
		is.Equal(changes, []bool{true})
		is.True(!members[0].AllowsTrial(1, true, time.Now().Add(time.Hour))) // one at a time
		is.True(failures <= 20)                                              // of 100
		serve(j, members, 4.5, func(int) bool { return false })
		is.Equal(changes, []bool{true, false})
	})
}

// Requests that may run only once are tried later than those that another endpoint can run.
func TestTrialPrefersRepeatableRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		j, members := newPool(10)
		serve(j, members, 5, func(int) bool { return false })
		for !members[0].IsEjected() {
			serve(j, members, 0.1, func(i int) bool { return i == 0 })
		}
		var once, repeatable time.Duration
		for d := time.Duration(0); once == 0; d += 10 * time.Millisecond {
			at := time.Now().Add(d)
			if repeatable == 0 && members[0].AllowsTrial(0, true, at) {
				repeatable = d
			}
			if members[0].AllowsTrial(0, false, at) {
				once = d
			}
		}
		is.Equal(once-repeatable, time.Second)
	})
}
