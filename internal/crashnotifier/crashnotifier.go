// Package crashnotifier notifies all entry hosts of the crashes of a back end. It retries until each has acknowledged
// the notice or the notice is dropped.
//
// If requests were in flight, the entry hosts are notified before the requests' connections are closed, within a short
// timeout. Otherwise a caller could retry at another entry host before that host knows of the crash. This holds for the
// first crash of a request, too: a caller whose attempts have been used up by other faults repeats at once.
package crashnotifier

import (
	"context"
	"sync"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/inflighttracker"
	"github.com/nutmegdock/nutmegdock/internal/core/quarantiner"
	"github.com/nutmegdock/nutmegdock/internal/membership"
	"github.com/nutmegdock/nutmegdock/internal/messages"
)

const (
	retryInterval = 250 * time.Millisecond
	callTimeout   = time.Second
	// ackTimeout bounds the wait for the acknowledgements of a crash with requests in flight.
	ackTimeout = 50 * time.Millisecond
	// maxNotices is the maximum number of queued notices. The oldest is dropped first.
	maxNotices = 16
)

// Notifier sends crash notices. Set its fields before Run.
type Notifier struct {
	// EntryHosts returns the entry hosts of all availability zones.
	EntryHosts func() []membership.Member
	// Send notifies one entry host of one crash and returns after the host's acknowledgement.
	Send func(ctx context.Context, control string, crash messages.BackendCrash) error

	mu      sync.Mutex
	notices []*crashNotice
	wake    chan struct{}
}

// recipient is one incarnation of an entry host.
type recipient struct {
	host      ident.Host
	startTime int64
}

// crashNotice is one crash and its acknowledgements.
type crashNotice struct {
	crash   messages.BackendCrash
	expires time.Time
	acked   map[recipient]bool
	// firstRoundDone is closed when the first send to each entry host has returned.
	firstRoundDone chan struct{}
	started        bool
}

func (n *Notifier) wakeChannel() chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.wake == nil {
		n.wake = make(chan struct{}, 1)
	}
	return n.wake
}

// Notify queues a crash notice. If requests were in flight, Notify returns when the first send to each entry host has
// returned or ackTimeout has passed; otherwise it returns immediately.
func (n *Notifier) Notify(crash inflighttracker.Crash) {
	wake := n.wakeChannel()
	notice := &crashNotice{
		crash: messages.BackendCrash{ID: crash.ID, InFlight: crash.InFlight}, expires: time.Now().Add(quarantiner.Retention),
		acked: make(map[recipient]bool), firstRoundDone: make(chan struct{}),
	}
	n.mu.Lock()
	n.notices = append(n.notices, notice)
	if len(n.notices) > maxNotices {
		n.notices = n.notices[1:]
	}
	n.mu.Unlock()
	select {
	case wake <- struct{}{}:
	default:
	}
	if len(crash.InFlight) == 0 {
		return
	}
	select {
	case <-notice.firstRoundDone:
	case <-time.After(ackTimeout):
	}
}

// Run sends the queued notices until ctx ends.
func (n *Notifier) Run(ctx context.Context) error {
	wake := n.wakeChannel()
	var sends sync.WaitGroup
	defer sends.Wait()
	for {
		sends.Go(func() { n.sendPending(ctx) })
		select {
		case <-ctx.Done():
			return nil
		case <-wake:
		case <-time.After(retryInterval):
		}
	}
}

// pending drops the expired notices and returns the others.
func (n *Notifier) pending() []*crashNotice {
	n.mu.Lock()
	defer n.mu.Unlock()
	var unexpired []*crashNotice
	for _, notice := range n.notices {
		if time.Now().Before(notice.expires) {
			unexpired = append(unexpired, notice)
		}
	}
	n.notices = unexpired
	return append([]*crashNotice(nil), unexpired...)
}

// sendPending sends each unexpired notice once to each entry host that has not acknowledged it.
func (n *Notifier) sendPending(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, notice := range n.pending() {
		wg.Go(func() { n.sendNotice(ctx, notice) })
	}
	wg.Wait()
}

func (n *Notifier) sendNotice(ctx context.Context, notice *crashNotice) {
	isFirst := n.startRound(notice)
	var wg sync.WaitGroup
	for _, entry := range n.EntryHosts() {
		to := recipient{host: entry.Host, startTime: entry.StartTime}
		if n.isAcked(notice, to) {
			continue
		}
		wg.Go(func() {
			if n.Send(ctx, entry.ControlAddress, notice.crash) == nil {
				n.recordAck(notice, to)
			}
		})
	}
	wg.Wait()
	if isFirst {
		close(notice.firstRoundDone)
	}
}

// startRound records the start of a round of sends of a notice and reports whether it is the first round.
func (n *Notifier) startRound(notice *crashNotice) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	isFirst := !notice.started
	notice.started = true
	return isFirst
}

func (n *Notifier) isAcked(notice *crashNotice, from recipient) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return notice.acked[from]
}

func (n *Notifier) recordAck(notice *crashNotice, from recipient) {
	n.mu.Lock()
	defer n.mu.Unlock()
	notice.acked[from] = true
}
