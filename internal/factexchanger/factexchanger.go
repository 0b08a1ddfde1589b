// Package factexchanger decides when an entry host sends which facts about crashes to which other hosts. New facts go to
// all live hosts at once. While a host holds facts, it sends a digest of them to a few hosts in each round, so that hosts
// that have missed messages obtain the facts that they lack.
package factexchanger

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/boundedmap"
	"github.com/nutmegdock/nutmegdock/internal/core/crashsuspector"
)

const (
	// collectInterval is the time between two announcements; facts that are added meanwhile are announced together.
	collectInterval = 20 * time.Millisecond
	// repeatInterval is the time between two sendings of an announcement to the hosts that have not acknowledged it, and
	// maxSends the number of sendings. A host that is silent in all of them gets one sending until it is heard again.
	repeatInterval = 100 * time.Millisecond
	maxSends       = 10
	// roundInterval is the time between two rounds, and roundPeers the number of hosts that a round goes to.
	roundInterval = 500 * time.Millisecond
	roundPeers    = 3
	// maxClearingDelay is the longest random delay of a clearing that other hosts may send as well.
	maxClearingDelay = 50 * time.Millisecond
	// clearingTolerance is the time that messages take at most, as a rule.
	clearingTolerance = 10 * time.Millisecond
	// minRequestDelay and maxRequestDelay limit the time between two requests that are caused by the same two digests. It
	// doubles, as hosts may never agree on facts that expire on one of them.
	minRequestDelay, maxRequestDelay = 100 * time.Millisecond, 10 * time.Second
	maxDigestPairs                   = 64
	// maxReceived is the number of messages that wait to be merged. Those beyond it are dropped like lost ones.
	maxReceived = 1024
	// maxAnnouncements is the number of announcements that are repeated at the same time. The oldest beyond it are not, and
	// the rounds make up for them.
	maxAnnouncements = 256
)

// Exchanger exchanges the facts of one host. Set its fields before Run.
type Exchanger struct {
	// Suspector holds the facts of this host.
	Suspector *crashsuspector.Suspector
	// LivePeers returns the other hosts that are live, which receive announcements, and Peers all others in the list.
	LivePeers, Peers func() []netip.AddrPort
	// Send sends a message. It is lost if it cannot be sent.
	Send func(m Message, to ...netip.AddrPort)
	// MaxMessageBytes is the maximum size of an encoded message.
	MaxMessageBytes int
	// OnChange is called after facts have been added. It may be nil.
	OnChange func()

	wake chan struct{}

	mu       sync.Mutex // guards the fields below
	added    []timedFacts
	received []receivedMessage

	// The fields below are used by Run alone.
	collected     []timedFacts
	announcements []*announcement
	// answers holds the clearings that this host adds to crashes that it has received, and when to announce them.
	answers map[crashsuspector.Feature]answer
	// nextNumber is that of the next announcement, and lastAnnouncedAt the time of the last one.
	nextNumber      uint64
	lastAnnouncedAt time.Time
	// silent holds the hosts that have not acknowledged an announcement and were not heard since.
	silent map[netip.AddrPort]bool
	// nextRoundAt is the time of the next round, or zero if no facts are held.
	nextRoundAt time.Time
	// roundQueue holds the hosts that have not been in a round since it was filled.
	roundQueue []netip.AddrPort
	requests   boundedmap.Map[digestPair, requestPause]
}

// timedFacts are facts whose ages were right at a time.
type timedFacts struct {
	facts crashsuspector.Facts
	at    time.Time
}

// announcement is one that not all hosts have acknowledged.
type announcement struct {
	timedFacts
	number uint64
	// waiting holds the hosts that have not acknowledged it.
	waiting map[netip.AddrPort]bool
	dueAt   time.Time
	sent    int
}

type receivedMessage struct {
	message Message
	from    netip.AddrPort
	at      time.Time
}

// answer is a clearing that this host adds to crashes that it has received.
type answer struct {
	clearing crashsuspector.Clearing
	// at is when the age of the clearing was right, and dueAt when to announce it.
	at, dueAt time.Time
}

type digestPair struct {
	own, other uint64
}

// requestPause is the pause until the next request.
type requestPause struct {
	until    time.Time
	duration time.Duration
}

// Init prepares the exchanger. It must be called before any other method.
func (x *Exchanger) Init() {
	x.wake = make(chan struct{}, 1)
	x.answers, x.silent = make(map[crashsuspector.Feature]answer), make(map[netip.AddrPort]bool)
	x.requests.Limit = maxDigestPairs
	// An acknowledgement for an earlier process of this host must not be taken for one of this process.
	x.nextNumber = rand.Uint64()
}

// Announce sends facts that this host has added to all live hosts. It does not block.
func (x *Exchanger) Announce(facts crashsuspector.Facts) {
	if facts.IsEmpty() {
		return
	}
	x.mu.Lock()
	x.added = append(x.added, timedFacts{facts: facts, at: time.Now()})
	x.mu.Unlock()
	x.Notify()
}

// Receive handles a message of another host. It does not block.
func (x *Exchanger) Receive(m Message, from netip.AddrPort) {
	x.mu.Lock()
	if len(x.received) < maxReceived {
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		x.received = append(x.received, receivedMessage{message: m, from: from, at: time.Now()})
	}
	x.mu.Unlock()
	x.Notify()
}

// Notify begins the rounds if this host holds facts that it has neither announced nor received. It does not block.
func (x *Exchanger) Notify() {
	select {
	case x.wake <- struct{}{}:
	default:
	}
}

// Run sends and receives until ctx ends.
func (x *Exchanger) Run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-x.wake:
		case <-timer.C:
		}
		x.handleWake()
		if due, ok := x.nextDue(); ok {
			timer.Reset(time.Until(due))
		} else {
			timer.Stop()
		}
	}
}

func (x *Exchanger) handleWake() {
	x.mu.Lock()
	added, messages := x.added, x.received
	x.added, x.received = nil, nil
	x.mu.Unlock()
	x.collected = append(x.collected, added...)
	for _, r := range messages {
		x.handleMessage(r)
	}
	now := time.Now()
	x.collectDueAnswers(now)
	x.announce(now)
	x.sendDue(now)
	x.sendRound(now)
	hasFacts := func(r receivedMessage) bool { return !r.message.Facts.IsEmpty() }
	if x.OnChange != nil && (len(added) > 0 || slices.ContainsFunc(messages, hasFacts)) {
		x.OnChange()
	}
}

// nextDue returns the time of the next thing to do, if there is any.
func (x *Exchanger) nextDue() (time.Time, bool) {
	due := x.nextRoundAt
	update := func(t time.Time) {
		if due.IsZero() || t.Before(due) {
			due = t
		}
	}
	if len(x.collected) > 0 {
		update(x.lastAnnouncedAt.Add(collectInterval))
	}
	for _, a := range x.announcements {
		update(a.dueAt)
	}
	for _, a := range x.answers {
		update(a.dueAt)
	}
	return due, !due.IsZero()
}

func (x *Exchanger) handleMessage(r receivedMessage) {
	delete(x.silent, r.from)
	m := r.message
	if m.Kind == Acknowledgement {
		for _, a := range x.announcements {
			if a.number == m.Number {
				delete(a.waiting, r.from)
			}
		}
		return
	}
	if !m.Facts.IsEmpty() {
		x.dropAnswers(r)
		answers := x.Suspector.Merge(m.Facts)
		if len(answers.Crashes) > 0 {
			for _, part := range split(crashsuspector.Facts{Crashes: answers.Crashes}, x.MaxMessageBytes) {
				x.Send(Message{Kind: Response, Facts: part}, r.from)
			}
		}
		for _, c := range answers.Clearings {
			a := x.answers[c.Feature]
			a.clearing, a.at = c, time.Now()
			if a.dueAt.IsZero() {
				a.dueAt = a.at.Add(rand.N(maxClearingDelay))
			}
			x.answers[c.Feature] = a
		}
	}
	switch m.Kind {
	case Announcement:
		x.Send(Message{Kind: Acknowledgement, Number: m.Number}, r.from)
	case Round:
		own := digest(x.Suspector.Facts())
		if own != m.Number && x.mayRequest(digestPair{own, m.Number}, r.at) {
			x.sendFacts(Request, r.from)
		}
	case Request:
		if digest(x.Suspector.Facts()) != m.Number {
			x.sendFacts(Response, r.from)
		}
	case Acknowledgement, Response:
	}
}

// mayRequest reports whether a request for facts may be sent because of two digests that differ.
func (x *Exchanger) mayRequest(pair digestPair, now time.Time) bool {
	p := x.requests.Get(pair)
	if now.Before(p.until) {
		return false
	}
	p.duration = min(maxRequestDelay, max(minRequestDelay, 2*p.duration))
	p.until = now.Add(p.duration)
	x.requests.Set(pair, p)
	return true
}

// dropAnswers drops the answers that are not needed because of a clearing in a received message, which has the same time
// or a later one apart from the time that messages take.
func (x *Exchanger) dropAnswers(r receivedMessage) {
	for _, c := range r.message.Facts.Clearings {
		a, ok := x.answers[c.Feature]
		if ok && !r.at.Add(-milliseconds(c.AgeMs)).Before(a.at.Add(-milliseconds(a.clearing.AgeMs)-clearingTolerance)) {
			delete(x.answers, c.Feature)
		}
	}
}

// collectDueAnswers collects the clearings whose delay is over.
func (x *Exchanger) collectDueAnswers(now time.Time) {
	for f, a := range x.answers {
		if !a.dueAt.After(now) {
			delete(x.answers, f)
			x.collected = append(x.collected, timedFacts{facts: crashsuspector.Facts{Clearings: []crashsuspector.Clearing{a.clearing}}, at: a.at})
		}
	}
}

// announce makes announcements of the collected facts, unless the last one was a moment ago.
func (x *Exchanger) announce(now time.Time) {
	if len(x.collected) == 0 || now.Sub(x.lastAnnouncedAt) < collectInterval {
		return
	}
	x.lastAnnouncedAt = now
	var facts crashsuspector.Facts
	for _, t := range x.collected {
		f := t.agedAt(now)
		facts.Crashes, facts.Clearings = append(facts.Crashes, f.Crashes...), append(facts.Clearings, f.Clearings...)
	}
	x.collected = nil
	peers := x.LivePeers()
	for _, part := range split(facts, x.MaxMessageBytes) {
		a := &announcement{timedFacts: timedFacts{part, now}, number: x.nextNumber, waiting: make(map[netip.AddrPort]bool), dueAt: now}
		x.nextNumber++
		for _, p := range peers {
			a.waiting[p] = true
		}
		x.announcements = append(x.announcements, a)
	}
	x.announcements = x.announcements[max(0, len(x.announcements)-maxAnnouncements):]
}

// sendDue sends and repeats the announcements that are due.
func (x *Exchanger) sendDue(now time.Time) {
	for _, a := range x.announcements {
		if a.dueAt.After(now) {
			continue
		}
		for p := range a.waiting {
			if a.sent >= maxSends {
				x.silent[p] = true
			}
			if a.sent > 0 && x.silent[p] {
				delete(a.waiting, p)
			}
		}
		if len(a.waiting) > 0 {
			x.Send(Message{Kind: Announcement, Number: a.number, Facts: a.agedAt(now)}, slices.Collect(maps.Keys(a.waiting))...)
		}
		a.sent++
		a.dueAt = now.Add(repeatInterval)
	}
	x.announcements = slices.DeleteFunc(x.announcements, func(a *announcement) bool {
		return len(a.waiting) == 0
	})
}

// sendRound sends the digest to the next few hosts if a round is due.
func (x *Exchanger) sendRound(now time.Time) {
	if !x.nextRoundAt.IsZero() && now.Before(x.nextRoundAt) {
		return
	}
	facts := x.Suspector.Facts()
	if facts.IsEmpty() {
		x.nextRoundAt = time.Time{}
		return
	}
	if x.nextRoundAt.IsZero() {
		// The rounds of the hosts are spread over time.
		x.nextRoundAt = now.Add(rand.N(roundInterval))
		return
	}
	x.nextRoundAt = now.Add(roundInterval)
	if to := x.nextPeers(); len(to) > 0 {
		x.Send(Message{Kind: Round, Number: digest(facts)}, to...)
	}
}

// nextPeers returns the hosts for a round. All hosts have their turn in a random order before one of them has it again.
func (x *Exchanger) nextPeers() []netip.AddrPort {
	peers := slices.Compact(slices.SortedFunc(slices.Values(x.Peers()), netip.AddrPort.Compare))
	var to []netip.AddrPort
	for len(to) < min(roundPeers, len(peers)) {
		if len(x.roundQueue) == 0 {
			x.roundQueue = slices.Clone(peers)
			rand.Shuffle(len(x.roundQueue), func(i, j int) { x.roundQueue[i], x.roundQueue[j] = x.roundQueue[j], x.roundQueue[i] })
		}
		next := x.roundQueue[0]
		x.roundQueue = x.roundQueue[1:]
		if slices.Contains(peers, next) && !slices.Contains(to, next) {
			to = append(to, next)
		}
	}
	return to
}

// sendFacts sends all facts to one host. Only the last part of a request is one, so that it gets one response.
func (x *Exchanger) sendFacts(k Kind, to netip.AddrPort) {
	facts := x.Suspector.Facts()
	d := digest(facts)
	parts := split(facts, x.MaxMessageBytes)
	for i, part := range parts {
		m := Message{Kind: Response, Number: d, Facts: part}
		if i == len(parts)-1 {
			m.Kind = k
		}
		x.Send(m, to)
	}
}

// agedAt returns the facts with their ages at a later time.
func (t timedFacts) agedAt(now time.Time) crashsuspector.Facts {
	d := now.Sub(t.at).Round(time.Millisecond).Milliseconds()
	out := crashsuspector.Facts{Crashes: slices.Clone(t.facts.Crashes), Clearings: slices.Clone(t.facts.Clearings)}
	for i := range out.Crashes {
		out.Crashes[i].AgeMs += d
	}
	for i := range out.Clearings {
		out.Clearings[i].AgeMs += d
	}
	return out
}

func milliseconds(ms int64) time.Duration {
	return time.Duration(ms) * time.Millisecond
}
