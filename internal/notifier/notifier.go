// Package notifier tells all entry hosts of the deaths of a back end, and goes on until each has acknowledged.
package notifier

import (
	"context"
	"sync"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/monitor"
	"github.com/nutmegdock/nutmegdock/internal/core/suspector"
	"github.com/nutmegdock/nutmegdock/internal/membership"
	"github.com/nutmegdock/nutmegdock/internal/messages"
)

const (
	interval = 250 * time.Millisecond
	callTime = time.Second
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
}

func (n *Notifier) channel() chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.kick == nil {
		n.kick = make(chan struct{}, 1)
	}
	return n.kick
}

// Add begins to tell of a death.
func (n *Notifier) Add(d monitor.Death) {
	kick := n.channel()
	n.mu.Lock()
	n.deaths = append(n.deaths, &told{
		death: messages.Death{ID: d.ID, Running: d.Running}, until: time.Now().Add(suspector.Memory), acks: make(map[receiver]bool),
	})
	if len(n.deaths) > maxDeaths {
		n.deaths = n.deaths[1:]
	}
	n.mu.Unlock()
	select {
	case kick <- struct{}{}:
	default:
	}
}

// Run sends until ctx ends.
func (n *Notifier) Run(ctx context.Context) error {
	kick := n.channel()
	for {
		n.send(ctx)
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

func (n *Notifier) send(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	var wg sync.WaitGroup
	for _, t := range n.pending() {
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
	}
	wg.Wait()
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
