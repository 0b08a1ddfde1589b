// Package bufferlimiter decides how much one process may buffer for callers that read or send slowly and for endpoints
// that do.
//
// There are bounds for one caller, for one endpoint and for the process. New work is refused, and the responses of slow
// callers are no longer read on, well before the bound of the process is reached, so that work in progress can end.
//
// Heads and bodies that are still arriving have parts of the bound. When memory becomes short, those that make no progress are
// cut, the one that has made none for longest first. A request that is complete or runs is never cut. A head or a body that is
// the only one of its kind is admitted beyond its part.
package bufferlimiter

import (
	"container/list"
	"sync"
	"time"
)

const (
	// RequestBytes is charged for each request in progress: the connections to the caller and to the endpoint with their
	// read and write buffers, in the kernel as well, their goroutines, the parsed headers, and up to Headroom of a response.
	RequestBytes = 64 << 10
	// Headroom is the part of a response that may be buffered without being charged: one read from the endpoint.
	Headroom = 16 << 10
)

// The bounds are fractions of the memory of the process. The live heap is only a part of the resident memory: the garbage
// collector lets it grow by 30%, and stacks, freed pages and the state that is not counted come on top. A quarter for
// buffers kept the whole below half of 184 MB with 900 slow callers (docs/design/slow-readers.md).
const (
	processDivisor = 4
	// callerDivisor leaves the largest response that is buffered in full, 1 MiB, on the smallest hosts (136 MB).
	callerDivisor = 128
	// endpointDivisor lets each of eight endpoints hold up bodies without taking what is for new work.
	endpointDivisor = 8 * processDivisor
	// admissionShare is the share of the process's bound above which new work is refused, and slowShare that above which
	// responses are no longer read on for slow callers. Slow callers therefore reach their limit before new work does. With
	// an admissionShare of 0.75, 900 callers took 95 MB of 184 with their queues in the kernel, more than half.
	admissionShare = 2. / 3
	slowShare      = 0.5
	// headShare and bodyShare are the parts of the process's bound for the heads and the bodies of requests together. What they
	// leave of admissionShare is for small requests.
	headShare = 0.1
	bodyShare = 0.35
	// cutShare is the share of the process's bound above which heads and bodies that make no progress are cut.
	cutShare = 0.4
)

const (
	// stallTime is how long a head may take, and a body may make no progress, when memory is short. Callers abandon a
	// connection on which nothing happens for as long.
	stallTime = time.Second
	// headCost is the number of bytes that are charged for each byte of a head beyond freeHeadBytes, and lineCost that for each line
	// beyond freeHeadLines: parsing holds the text, the lines and the fields at the same time. What is free is part of what a
	// connection is charged.
	headCost, freeHeadBytes = 5, 4 << 10
	lineCost, freeHeadLines = 160, 32
)

// Limiter decides for one process. Use New. A nil Limiter sets no bounds.
type Limiter struct {
	// Process, Caller and Endpoint are the bounds in bytes.
	Process, Caller, Endpoint int
	// OnPressure is called when the first request is refused, and when refusals have ended. Nil means that nobody is
	// told. It must be set before use.
	OnPressure func(isReached bool, used int)

	mu          sync.Mutex
	used        int
	requests    int
	slow        int
	isPressured bool
	// unsent holds the bytes that each endpoint has been sent and has not read.
	unsent map[string]int
	// now is the time in which the process ran. arriving holds the accounts of heads and bodies that are not complete, the one
	// that has made no progress for longest first.
	now      time.Duration
	arriving list.List
	// held is what heads and bodies are charged, by kind. cutting is what accounts hold that were cut and have not been closed,
	// and cuttingOf the part of it for heads and bodies.
	held, cuttingOf [kinds]int
	cutting, cuts   int
}

// Usage is what is buffered at one time.
type Usage struct {
	// Bytes counts towards the bound of the process. Unsent is the part that endpoints have not read, and MostUnsent that
	// of the endpoint with the most of it.
	Bytes, Unsent, MostUnsent int
	// Requests is the number of requests in progress, and SlowCallers that of responses that are read on into a buffer.
	Requests, SlowCallers int
	// Heads and Bodies are the parts of Bytes for heads and bodies. Cuts is the number of those that were cut so far.
	Heads, Bodies, Cuts int
}

// New returns the limiter of a process that may use the given number of bytes of memory, or nil, which sets no bounds, if
// it is zero.
func New(memory int) *Limiter {
	if memory <= 0 {
		return nil
	}
	return &Limiter{
		Process: memory / processDivisor, Caller: memory / callerDivisor, Endpoint: memory / endpointDivisor,
		unsent: make(map[string]int),
	}
}

// Open opens the account of a new request, and reports whether the request may be taken.
func (l *Limiter) Open() (*Account, bool) {
	if l == nil {
		return nil, true
	}
	l.mu.Lock()
	if !l.mayAdmit(RequestBytes) {
		l.cutStalled()
		l.refuse()
		return nil, false
	}
	l.used += RequestBytes
	l.requests++
	l.mu.Unlock()
	return &Account{limiter: l, total: RequestBytes}, true
}

// mayAdmit reports whether n bytes of new work may be taken.
func (l *Limiter) mayAdmit(n int) bool {
	return float64(l.used+n) <= admissionShare*float64(l.Process)
}

// refuse records a refusal of new work. It unlocks the limiter.
func (l *Limiter) refuse() {
	isFirst, used := !l.isPressured, l.used
	l.isPressured = true
	l.mu.Unlock()
	if isFirst && l.OnPressure != nil {
		l.OnPressure(true, used)
	}
}

// release subtracts bytes. It unlocks the limiter.
func (l *Limiter) release(n int) {
	l.used -= n
	// Refusals have ended only once there is room again, so that a load near the bound does not fill the log.
	hasEnded := l.isPressured && float64(l.used) <= slowShare*float64(l.Process)
	if hasEnded {
		l.isPressured = false
	}
	used := l.used
	l.mu.Unlock()
	if hasEnded && l.OnPressure != nil {
		l.OnPressure(false, used)
	}
}

// Usage returns what is buffered now.
func (l *Limiter) Usage() Usage {
	if l == nil {
		return Usage{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	u := Usage{Bytes: l.used, Requests: l.requests, SlowCallers: l.slow, Heads: l.held[head], Bodies: l.held[body], Cuts: l.cuts}
	for _, n := range l.unsent {
		u.Unsent += n
		u.MostUnsent = max(u.MostUnsent, n)
	}
	return u
}
