package bufferlimiter_test

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/nutmegdock/nutmegdock/internal/core/bufferlimiter"
)

const hostMemory = 136_000_000 // the smallest entry host of the deployments

// request is what the oracle knows of an account.
type request struct {
	*bufferlimiter.Account
	body, response int
	ends           []func()
	unsent         []int
	endpoints      []string
}

// Guards against bytes that are charged twice, never released or taken beyond a bound, in any order of requests, bodies,
// responses and attempts.
func TestBoundsHoldInAnyOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l := bufferlimiter.New(rapid.IntRange(1<<20, 16<<20).Draw(rt, "memory"))
		pressured := false
		l.OnPressure = func(isReached bool, _ int) {
			if isReached == pressured {
				rt.Fatal("same state reported twice")
			}
			pressured = isReached
		}
		var open []*request
		unsent := make(map[string]int)
		used := func() (sum int) {
			for _, r := range open {
				sum += bufferlimiter.RequestBytes + r.body + r.response
			}
			return sum
		}
		size := rapid.IntRange(1, 300<<10)
		rt.Repeat(map[string]func(*rapid.T){
			"": func(rt *rapid.T) {
				u, all := l.Usage(), 0
				for _, n := range unsent {
					all += n
				}
				if u.Bytes != used() || u.Requests != len(open) || u.Unsent != all {
					rt.Fatalf("usage %+v, want %d bytes, %d requests, %d unsent", u, used(), len(open), all)
				}
				if u.Bytes > l.Process {
					rt.Fatalf("%d bytes are buffered, the bound is %d", u.Bytes, l.Process)
				}
			},
			"open": func(rt *rapid.T) {
				a, ok := l.Open()
				if ok != (3*(used()+bufferlimiter.RequestBytes) <= 2*l.Process) {
					rt.Fatalf("admitted: %v", ok)
				}
				if ok {
					open = append(open, &request{Account: a})
				}
			},
			"body": func(rt *rapid.T) {
				if len(open) == 0 {
					rt.Skip()
				}
				r, n := rapid.SampledFrom(open).Draw(rt, "request"), size.Draw(rt, "bytes")
				if r.GrowBody(n) {
					r.body += n
					if 3*used() > 2*l.Process {
						rt.Fatal("a body takes what is for work in progress")
					}
				}
			},
			"response": func(rt *rapid.T) {
				if len(open) == 0 {
					rt.Skip()
				}
				r, n := rapid.SampledFrom(open).Draw(rt, "request"), size.Draw(rt, "bytes")
				if r.GrowResponse(n) {
					r.response += n
				}
				if r.response > l.Caller {
					rt.Fatal("bound of a caller exceeded")
				}
			},
			"read on": func(rt *rapid.T) {
				if len(open) == 0 {
					rt.Skip()
				}
				r := rapid.SampledFrom(open).Draw(rt, "request")
				if !r.MayReadOn() {
					return
				}
				r.AddResponse(bufferlimiter.Headroom)
				r.response += bufferlimiter.Headroom
				if 2*used() > l.Process || r.response > l.Caller {
					rt.Fatal("a response is read on beyond its bound")
				}
			},
			"take": func(rt *rapid.T) {
				if len(open) == 0 {
					rt.Skip()
				}
				r := rapid.SampledFrom(open).Draw(rt, "request")
				n := rapid.IntRange(0, r.response).Draw(rt, "bytes")
				r.AddResponse(-n)
				r.response -= n
			},
			"send": func(rt *rapid.T) {
				if len(open) == 0 {
					rt.Skip()
				}
				r, n := rapid.SampledFrom(open).Draw(rt, "request"), size.Draw(rt, "bytes")
				e := rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "endpoint")
				end, ok := r.BeginSend(e, n)
				if ok != (unsent[e] == 0 || unsent[e]+n <= l.Endpoint) {
					rt.Fatalf("sending allowed: %v", ok)
				}
				if ok {
					unsent[e] += n
					r.ends, r.unsent, r.endpoints = append(r.ends, end), append(r.unsent, n), append(r.endpoints, e)
				}
			},
			"sent": func(rt *rapid.T) {
				if len(open) == 0 {
					rt.Skip()
				}
				r := rapid.SampledFrom(open).Draw(rt, "request")
				for i, end := range r.ends {
					end()
					end() // has no effect
					unsent[r.endpoints[i]] -= r.unsent[i]
				}
				r.ends, r.unsent, r.endpoints = nil, nil, nil
			},
			"close": func(rt *rapid.T) {
				if len(open) == 0 {
					rt.Skip()
				}
				i := rapid.IntRange(0, len(open)-1).Draw(rt, "request")
				r := open[i]
				r.SetSlow(true)
				for j, end := range r.ends {
					end()
					unsent[r.endpoints[j]] -= r.unsent[j]
				}
				r.Close()
				open = append(open[:i], open[i+1:]...)
				if l.Usage().SlowCallers != 0 {
					rt.Fatal("a closed request counts as slow")
				}
			},
		})
	})
}

// Guards against slow callers whose buffers lead to refusals of new work: they stop at half of the bound of the process,
// and new requests are taken up to two thirds of it.
func TestSlowCallersLeaveRoomForNewWork(t *testing.T) {
	is := is.New(t)
	l := bufferlimiter.New(hostMemory)
	const callers = 200
	var accounts []*bufferlimiter.Account
	for range callers {
		a, ok := l.Open()
		is.True(ok)
		accounts = append(accounts, a)
	}
	for hasProgress := true; hasProgress; {
		hasProgress = false
		for _, a := range accounts {
			if a.MayReadOn() {
				a.AddResponse(bufferlimiter.Headroom)
				hasProgress = true
			}
		}
	}
	is.True(l.Usage().Bytes <= l.Process/2)
	opened := 0
	for _, ok := l.Open(); ok; _, ok = l.Open() {
		opened++
	}
	is.True(opened >= l.Process/6/bufferlimiter.RequestBytes)
}

// Guards against bounds that refuse what a host must serve: the largest response that is buffered in full fits the bound
// of one caller on the smallest host.
func TestBoundsFitSmallestHost(t *testing.T) {
	is := is.New(t)
	l := bufferlimiter.New(hostMemory)
	const largestBuffered = 1 << 20
	is.True(l.Caller >= largestBuffered)
	a, ok := l.Open()
	is.True(ok)
	is.True(a.GrowResponse(largestBuffered))
}

func TestNoMemoryLimitMeansNoBounds(t *testing.T) {
	is := is.New(t)
	l := bufferlimiter.New(0)
	a, ok := l.Open()
	is.True(ok)
	is.True(a.GrowBody(1<<40) && a.GrowResponse(1<<40) && a.MayReadOn())
	end, ok := a.BeginSend("e", 1<<40)
	is.True(ok)
	end()
	a.AddResponse(1)
	a.SetSlow(true)
	a.Close()
	is.Equal(l.Usage(), bufferlimiter.Usage{})
}
