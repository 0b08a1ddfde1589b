package bufferlimiter

import (
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/progressmeter"
)

// kind is what arrives from a caller.
type kind int

const (
	head kind = iota
	body
	kinds
)

// share returns the part of the bound of the process for a kind.
func (k kind) share() float64 {
	if k == head {
		return headShare
	}
	return bodyShare
}

// OpenHead opens the account of the head of a request. cut is called when it is cut; it must not block, nor call the limiter.
func (l *Limiter) OpenHead(cut func()) *Account {
	if l == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	a := &Account{limiter: l, isHead: true}
	a.arrive(cut)
	return a
}

// GrowHead charges n further bytes of a head, in which a number of lines end, before they are kept, and reports whether they may be.
func (a *Account) GrowHead(n, lines int) bool {
	if a == nil {
		return true
	}
	a.limiter.mu.Lock()
	a.received += n
	a.lines += lines
	charged := headCost*max(0, a.received-freeHeadBytes) + lineCost*max(0, a.lines-freeHeadLines)
	return a.grow(head, charged-a.charged)
}

// BeginBody records that the body of the request arrives from now on. size is its length, or -1 if it is unknown. cut is called
// when it is cut; it must not block, nor call the limiter.
func (a *Account) BeginBody(size int64, cut func()) {
	if a == nil {
		return
	}
	a.limiter.mu.Lock()
	defer a.limiter.mu.Unlock()
	a.progress = progressmeter.Meter{Size: int(size)}
	a.arrive(cut)
}

// GrowBody charges n bytes of a request body before they are received, and reports whether they may be. The size of a
// body is limited by the configuration. A body that is not complete is new work: nothing has run yet. A negative n releases
// what is no longer held.
func (a *Account) GrowBody(n int) bool {
	if a == nil {
		return true
	}
	a.limiter.mu.Lock()
	if n < 0 {
		a.add(body, n)
		a.limiter.release(-n)
		return true
	}
	return a.grow(body, n)
}

// Receive records that n bytes of the body have arrived.
func (a *Account) Receive(n int) {
	if a == nil {
		return
	}
	l := a.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	a.progress.Size = max(a.progress.Size, a.charged)
	if a.progress.Add(n) && a.element != nil {
		a.since = l.now
		l.arriving.MoveToBack(a.element)
	}
}

// EndArrival records that the head or the body is complete, and reports whether it was not cut. It is not cut from then on.
func (a *Account) EndArrival() bool {
	if a == nil {
		return true
	}
	a.limiter.mu.Lock()
	defer a.limiter.mu.Unlock()
	a.depart()
	return !a.isCut
}

// Advance records that the process ran for a time, and cuts what makes no progress if memory is short.
func (l *Limiter) Advance(d time.Duration) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.now += d
	l.cutStalled()
}

// grow charges n bytes of a kind if they may be held. It unlocks the limiter.
func (a *Account) grow(k kind, n int) bool {
	l := a.limiter
	if n == 0 {
		l.mu.Unlock()
		return true
	}
	isAlone := l.held[k] == a.charged
	fits := float64(l.held[k]+n) <= k.share()*float64(l.Process) && l.mayAdmit(n)
	if a.isCut || !fits && (!isAlone || !l.mayAdmit(n)) {
		l.cutStalled()
		l.refuse()
		return false
	}
	a.add(k, n)
	l.mu.Unlock()
	return true
}

func (a *Account) add(k kind, n int) {
	a.charged += n
	a.limiter.held[k] += n
	if n > 0 {
		a.charge(n)
		return
	}
	a.total += n // release subtracts from the limiter
}

// arrive puts the account on the list of those that may be cut.
func (a *Account) arrive(cut func()) {
	a.cut, a.since = cut, a.limiter.now
	a.element = a.limiter.arriving.PushBack(a)
}

func (a *Account) depart() {
	if a.element != nil {
		a.limiter.arriving.Remove(a.element)
		a.element = nil
	}
}

// cutStalled cuts accounts that make no progress until what is used, without what is already being cut, is within cutShare of
// the bound, and each kind within half of its part or down to a single account. What they hold is released when they are closed.
func (l *Limiter) cutStalled() {
	for el := l.arriving.Front(); el != nil; {
		a := el.Value.(*Account)
		if l.now-a.since < stallTime {
			return
		}
		el = el.Next()
		k := a.kind()
		ofKind := l.held[k] - l.cuttingOf[k]
		isShort := float64(l.used-l.cutting) > cutShare*float64(l.Process)
		if !isShort && (ofKind == a.charged || float64(ofKind) <= k.share()/2*float64(l.Process)) {
			continue
		}
		a.depart()
		a.isCut, a.cutTotal, a.cutCharged = true, a.total, a.charged
		l.cutting += a.cutTotal
		l.cuttingOf[k] += a.cutCharged
		l.cuts++
		a.cut()
	}
}

// endCut records that what a cut account held is released.
func (a *Account) endCut() {
	if a.isCut {
		a.limiter.cutting -= a.cutTotal
		a.limiter.cuttingOf[a.kind()] -= a.cutCharged
		a.isCut = false
	}
}

func (a *Account) kind() kind {
	if a.isHead {
		return head
	}
	return body
}
