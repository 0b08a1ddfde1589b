// Package notifier tells all entry hosts of the deaths of a back end, and goes on until each has acknowledged.
//
// A death that condemns a request is told before the request's connection is broken, within a short bound, so that its
// caller cannot outrun it to another entry host.
package notifier

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
	interval = 250 * time.Millisecond
	callTime = time.Second
	// firstTime bounds the wait for the acknowledgements of a death that condemns a request.
	firstTime = 50 * time.Millisecond
	// maxDeaths bounds the deaths that are still told.
	maxDeaths = 16
)

// Notifier sends deaths. Set its fields before Run.
type Notifier struct {
	// Entries returns the entry hosts of all availability zones.
	Entries func() []membership.Member
	// Send tells one entry host of one death and returns after its acknowledgement.
	Send func(ctx context.Context, control string, d messages.Death) error

	mu     sync.Mutex
	deaths []*told
	kick   chan struct{}
}

// receiver is one incarnation of an entry host.
type receiver struct {
	host  ident.Host
	birth int64
}

type told struct {
	death messages.Death
	until time.Time
	acks  map[receiver]bool
	// first is closed when all entry hosts of the first round have answered.
	first chan struct{}
	begun bool
}

func (n *Notifier) channel() chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.kick == nil {
		n.kick = make(chan struct{}, 1)
	}
	return n.kick
}

// Add begins to tell of a death. If a suspect was running, it returns after all entry hosts have acknowledged or a short
// time has passed; otherwise at once.
func (n *Notifier) Add(d inflighttracker.Death) {
	kick := n.channel()
	t := &told{
		death: messages.Death{ID: d.ID, Running: d.Running}, until: time.Now().Add(quarantiner.Memory),
		acks: make(map[receiver]bool), first: make(chan struct{}),
	}
	n.mu.Lock()
	n.deaths = append(n.deaths, t)
	if len(n.deaths) > maxDeaths {
		n.deaths = n.deaths[1:]
	}
	n.mu.Unlock()
	select {
	case kick <- struct{}{}:
	default:
	}
	if !d.Suspect {
		return
	}
	select {
	case <-t.first:
	case <-time.After(firstTime):
	}
}

// Run sends until ctx ends.
func (n *Notifier) Run(ctx context.Context) error {
	kick := n.channel()
	var sends sync.WaitGroup
	defer sends.Wait()
	for {
		sends.Go(func() { n.send(ctx) })
		select {
		case <-ctx.Done():
			return nil
		case <-kick:
		case <-time.After(interval):
		}
	}
}

func (n *Notifier) pending() []*told {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []*told
	for _, t := range n.deaths {
		if time.Now().Before(t.until) {
			out = append(out, t)
		}
	}
	n.deaths = out
	return append([]*told(nil), out...)
}

// send tells of each death once to each entry host that has not acknowledged it.
func (n *Notifier) send(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	var wg sync.WaitGroup
	for _, t := range n.pending() {
		wg.Go(func() { n.tell(ctx, t) })
	}
	wg.Wait()
}

func (n *Notifier) tell(ctx context.Context, t *told) {
	isFirst := n.begin(t)
	var wg sync.WaitGroup
	for _, m := range n.Entries() {
		to := receiver{host: m.Host, birth: m.Birth}
		if n.acked(t, to) {
			continue
		}
		wg.Go(func() {
			if n.Send(ctx, m.Control, t.death) == nil {
				n.ack(t, to)
			}
		})
	}
	wg.Wait()
	if isFirst {
		close(t.first)
	}
}

// begin tells whether this is the first round of a death.
func (n *Notifier) begin(t *told) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	isFirst := !t.begun
	t.begun = true
	return isFirst
}

func (n *Notifier) acked(t *told, to receiver) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return t.acks[to]
}

func (n *Notifier) ack(t *told, to receiver) {
	n.mu.Lock()
	defer n.mu.Unlock()
	t.acks[to] = true
}
