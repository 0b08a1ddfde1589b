package bufferlimiter

import (
	"container/list"
	"sync"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/progressmeter"
)

// Account holds what is buffered for one request, and so for one caller: a connection has one request at a time. The
// methods of a nil account allow everything. They may be called concurrently.
type Account struct {
	limiter *Limiter
	// total is everything that the account has charged, and response the part that counts towards the bound of the caller.
	// They are guarded by the mutex of the limiter.
	total, response int
	isSlow          bool
	// charged is the part of total for the head or the body, and received and lines are what has arrived of the head. The body last
	// made progress at since.
	charged, received, lines int
	progress                 progressmeter.Meter
	since                    time.Duration
	// element is set while the account may be cut, and cut cuts it.
	element       *list.Element
	cut           func()
	isHead, isCut bool
	// cutTotal and cutCharged are total and charged when it was cut.
	cutTotal, cutCharged int
}

// GrowResponse charges n bytes of a response before they are buffered, and reports whether they may be.
func (a *Account) GrowResponse(n int) bool {
	if a == nil {
		return true
	}
	a.limiter.mu.Lock()
	defer a.limiter.mu.Unlock()
	if a.response+n > a.limiter.Caller || a.limiter.used+n > a.limiter.Process {
		return false
	}
	a.charge(n)
	a.response += n
	return true
}

// AddResponse changes the charge for a response by n bytes that have been buffered already, or by -n bytes that no longer
// are.
func (a *Account) AddResponse(n int) {
	if a == nil || n == 0 {
		return
	}
	a.limiter.mu.Lock()
	a.response += n
	if n < 0 {
		a.total += n
		a.limiter.release(-n)
		return
	}
	a.charge(n)
	a.limiter.mu.Unlock()
}

func (a *Account) charge(n int) {
	a.total += n
	a.limiter.used += n
}

// MayReadOn reports whether the response may be read on although its caller does not read.
func (a *Account) MayReadOn() bool {
	if a == nil {
		return true
	}
	a.limiter.mu.Lock()
	defer a.limiter.mu.Unlock()
	return a.response+Headroom <= a.limiter.Caller && float64(a.limiter.used+Headroom) <= slowShare*float64(a.limiter.Process)
}

// SetSlow records whether the response is being read on for a caller that does not read.
func (a *Account) SetSlow(isSlow bool) {
	if a == nil {
		return
	}
	a.limiter.mu.Lock()
	defer a.limiter.mu.Unlock()
	a.setSlow(isSlow)
}

func (a *Account) setSlow(isSlow bool) {
	if isSlow != a.isSlow {
		a.isSlow = isSlow
		if isSlow {
			a.limiter.slow++
		} else {
			a.limiter.slow--
		}
	}
}

// BeginSend records that n bytes are being written to an endpoint, and reports whether they may be: not while the
// endpoint has too many bytes of other requests to read. A single request is always allowed. end must be called when the
// endpoint has taken all bytes or the attempt has ended; further calls have no effect.
func (a *Account) BeginSend(endpoint string, n int) (end func(), ok bool) {
	if a == nil {
		return func() {}, true
	}
	l := a.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if unsent := l.unsent[endpoint]; unsent > 0 && unsent+n > l.Endpoint {
		return nil, false
	}
	l.unsent[endpoint] += n
	return sync.OnceFunc(func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.unsent[endpoint] -= n; l.unsent[endpoint] <= 0 {
			delete(l.unsent, endpoint)
		}
	}), true
}

// Close ends the request.
func (a *Account) Close() {
	if a == nil {
		return
	}
	a.limiter.mu.Lock()
	a.setSlow(false)
	a.depart()
	a.endCut()
	if !a.isHead {
		a.limiter.requests--
	}
	a.limiter.held[a.kind()] -= a.charged
	total := a.total
	a.total, a.response, a.charged = 0, 0, 0
	a.limiter.release(total)
}
