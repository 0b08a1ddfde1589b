package engineagent

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/directory"
	"github.com/nutmegdock/nutmegdock/internal/event"
	"github.com/nutmegdock/nutmegdock/internal/hostregistrar"
	"github.com/nutmegdock/nutmegdock/internal/messages"
	"github.com/nutmegdock/nutmegdock/internal/rpc"
)

const (
	// lookEvery is how often an entry host is asked for the fleet, and lookTime bounds one question.
	lookEvery = 300 * time.Millisecond
	lookTime  = 500 * time.Millisecond
	// firstEvery and firstTime are those until the first answer: after a loss of power an entry host that is still down
	// does not answer at all, and the next one may be up.
	firstEvery = 50 * time.Millisecond
	firstTime  = 100 * time.Millisecond
	// firstStore and laterStore are the times without an answer of an entry host after which the store is asked: at the
	// start, when all hosts may start together, and later.
	firstStore = 700 * time.Millisecond
	laterStore = 2 * time.Second
	// storeEvery is the time between two questions to the store, and storeTime bounds one.
	storeEvery = time.Second
	storeTime  = 2 * time.Second
)

var errNoSeed = errors.New("no entry host answers")

// scout keeps the picture of the fleet. It asks entry hosts of the zone, which read the store anyway, and the store
// itself only while none of them answers.
func (h *Host) scout(ctx context.Context) error {
	begun := time.Now()
	var answered, listed, asked time.Time
	for {
		if time.Since(answered) > laterStore && time.Since(listed) > storeEvery {
			h.list(ctx)
			listed = time.Now()
		}
		limit := lookTime
		if answered.IsZero() {
			limit = firstTime
		}
		a, err := h.look(ctx, limit)
		patience, since := laterStore, answered
		if answered.IsZero() {
			patience, since = firstStore, begun
		}
		if err != nil && time.Since(since) > patience && time.Since(asked) > storeEvery {
			asked = time.Now()
			a, err = h.lookStore(ctx)
			if err != nil && ctx.Err() == nil {
				event.FleetUnknown.Log(h.Logger.WithError(err), nil)
			}
		}
		if err == nil {
			h.take(a, answered.IsZero())
			answered = time.Now()
		}
		pause := lookEvery
		if answered.IsZero() {
			pause = firstEvery
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(pause):
		}
	}
}

// list reads the list of entry hosts.
func (h *Host) list(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, lookTime)
	defer cancel()
	img, err := h.Fleet.Newest(ctx, h.Fleet.Topics.Status)
	if err != nil {
		event.StoreLost.Log(h.Logger.WithError(err), nil)
		return
	}
	seeds := hostregistrar.Parse(img.Values, h.Logger)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.seeds = seeds
}

// look asks one entry host, of this zone if there is one, and waits for limit.
func (h *Host) look(ctx context.Context, limit time.Duration) (messages.FleetAnswer, error) {
	h.mu.Lock()
	seeds := slices.Clone(h.seeds)
	h.mu.Unlock()
	near := slices.DeleteFunc(slices.Clone(seeds), func(e hostregistrar.Entry) bool { return e.Zone != h.Zone })
	if len(near) > 0 {
		seeds = near
	}
	if len(seeds) == 0 {
		return messages.FleetAnswer{}, errNoSeed
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	client := h.Replicator.Client(seeds[rand.IntN(len(seeds))].Host())
	a, err := rpc.Call[messages.FleetAnswer](ctx, client, messages.FleetMethod, messages.FleetQuery{Pool: h.Pool})
	if err == nil && !a.Known {
		err = errNoSeed
	}
	return a, err
}

func (h *Host) lookStore(ctx context.Context) (messages.FleetAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTime)
	defer cancel()
	a, err := h.Fleet.Snapshot(ctx, h.Pool, h.Regions)
	if err == nil && !a.Known {
		err = errNoSeed
	}
	return a, err
}

func (h *Host) take(a messages.FleetAnswer, isFirst bool) {
	h.mu.Lock()
	h.fleet = a
	if len(a.Seeds) > 0 {
		h.seeds = a.Seeds
	}
	h.mu.Unlock()
	if h.tracker.SetRelease(directory.Model(a.Model), directory.Release(a.Release), isFirst) || isFirst {
		h.notify()
	}
}
