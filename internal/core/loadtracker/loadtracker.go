// Package loadtracker tracks the load that each entry host has at one endpoint. It runs beside the endpoint, so that an
// entry host learns the exact load of all others from one process, whatever their number.
package loadtracker

import (
	"sync"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/assigner"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

// TTL is how long a reported load counts without a new report. Hosts repeat the report of a load that is not zero
// several times in this period.
const TTL = 2 * time.Second

type report struct {
	load assigner.Load
	// process identifies the start of the reporting process, and serial orders its reports, which may overtake each other.
	process, serial uint64
	at              time.Time
}

// Tracker holds the loads at one endpoint. The zero value is ready to use. It is safe for concurrent use.
type Tracker struct {
	mu      sync.Mutex
	reports map[ident.Host]report
}

// Record stores the load of one host, unless a later report of the same process is known.
func (t *Tracker) Record(h ident.Host, load assigner.Load, process, serial uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.reports == nil {
		t.reports = make(map[ident.Host]report)
	}
	if last := t.reports[h]; last.process == process && last.serial > serial {
		return
	}
	t.reports[h] = report{load: load, process: process, serial: serial, at: time.Now()}
}

// Others returns the total load of all hosts but one.
func (t *Tracker) Others(h ident.Host) assigner.Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	var total assigner.Load
	now := time.Now()
	for other, r := range t.reports {
		if now.Sub(r.at) > TTL {
			delete(t.reports, other)
			continue
		}
		if other != h {
			load := r.load
			load.Response = load.Response.After(now.Sub(r.at))
			total = total.Plus(load)
		}
	}
	return total
}
