// Package hostpicker decides which entry host a host beside an engine asks for the state of the fleet, and when it reads that from the
// store. All hosts beside engines of an availability zone lose its entry hosts at the same time. They then ask those of other zones, and
// if no entry host answers, they read the store one after the other: the state of a large fleet takes the link to the store
// for a tenth of a second each time.
package hostpicker

import (
	"math/rand/v2"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

const (
	// remoteDelay is the time without an answer after which entry hosts of other zones are asked as well.
	remoteDelay = 600 * time.Millisecond
	// failurePause is how long an entry host that has not answered is not asked, if there are others.
	failurePause = 2 * time.Second
	// firstStoreDelay and storeDelay are the times without an answer of an entry host after which the store may be read:
	// firstStoreDelay until the first answer, when all hosts may be starting together, and storeDelay later.
	firstStoreDelay = 700 * time.Millisecond
	storeDelay      = 2 * time.Second
	// storeInterval is the shortest time between two reads of the store.
	storeInterval = time.Second
	// spreadPerHost is the time between two reads of the store by the hosts beside engines of a zone, if there are as many as entry
	// hosts. They are spread at random.
	spreadPerHost = 400 * time.Millisecond
)

// Host is an entry host.
type Host struct {
	Name    ident.Host
	IsLocal bool
}

// Picker decides for one host. The zero value is ready for use. It is not safe for concurrent use.
type Picker struct {
	startedAt, answeredAt time.Time
	failedAt              map[ident.Host]time.Time
	// storeAt is when the store may be read next; zero if it is not due.
	storeAt time.Time
	// wasRemote says that the last host was of another zone.
	wasRemote bool
}

// Next returns the entry host to ask, or whether to read the store instead. Without either, nothing can be asked now.
func (p *Picker) Next(now time.Time, hosts []Host) (host ident.Host, isStore bool) {
	if p.startedAt.IsZero() {
		p.startedAt, p.failedAt = now, make(map[ident.Host]time.Time)
	}
	silence, delay := now.Sub(p.answeredAt), storeDelay
	if p.answeredAt.IsZero() {
		silence, delay = now.Sub(p.startedAt), firstStoreDelay
	}
	if silence > delay && p.isStoreDue(now, hosts) {
		p.storeAt = now.Add(max(storeInterval, spread(hosts)))
		return "", true
	}
	return p.pick(now, hosts, silence > remoteDelay), false
}

func (p *Picker) isStoreDue(now time.Time, hosts []Host) bool {
	if p.storeAt.IsZero() {
		p.storeAt = now
		if s := spread(hosts); s > 0 {
			p.storeAt = now.Add(rand.N(s))
		}
	}
	return !now.Before(p.storeAt)
}

// spread returns the time over which the hosts beside the engines of a zone spread their reads of the store.
func spread(hosts []Host) time.Duration {
	n := 0
	for _, h := range hosts {
		if h.IsLocal {
			n++
		}
	}
	return time.Duration(n) * spreadPerHost
}

// pick returns a random entry host of the zone, and once remote ones may be asked, of another zone and of the own one by turns. Hosts that
// have failed a moment ago are left out; if all have, it returns the one that failed first.
func (p *Picker) pick(now time.Time, hosts []Host, isRemoteAllowed bool) ident.Host {
	wantsLocal := !isRemoteAllowed || p.wasRemote
	isLocalOnly := !isRemoteAllowed && spread(hosts) > 0
	var preferred, usable []ident.Host
	var oldest ident.Host
	for _, h := range hosts {
		if !h.IsLocal && isLocalOnly {
			continue
		}
		failedAt, hasFailed := p.failedAt[h.Name]
		if !hasFailed || now.Sub(failedAt) > failurePause {
			usable = append(usable, h.Name)
			if h.IsLocal == wantsLocal {
				preferred = append(preferred, h.Name)
			}
		}
		if oldest == "" || failedAt.Before(p.failedAt[oldest]) {
			oldest = h.Name
		}
	}
	p.wasRemote = !wantsLocal
	switch {
	case len(preferred) > 0:
		return preferred[rand.IntN(len(preferred))]
	case len(usable) > 0:
		return usable[rand.IntN(len(usable))]
	}
	return oldest
}

// RecordAnswer records an answer of a host or of the store.
func (p *Picker) RecordAnswer(now time.Time, host ident.Host) {
	p.answeredAt, p.storeAt = now, time.Time{}
	delete(p.failedAt, host)
}

// RecordFailure records that a host did not answer, or does not know the state.
func (p *Picker) RecordFailure(now time.Time, host ident.Host) {
	p.failedAt[host] = now
}
