// Package view joins the reports of endpoint hosts into the picture that an entry host routes by.
package view

import (
	"sort"
	"sync"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/router"
	"github.com/nutmegdock/nutmegdock/internal/messages"
)

const staleAfter = 5 * time.Second

// View holds the last report of each endpoint host. The zero value is empty.
type View struct {
	mu      sync.Mutex
	reports map[ident.Host]seen
	running map[ident.Host]int
}

type seen struct {
	report messages.Report
	time   time.Time
}

// Put stores a report, unless one from a later incarnation of the host is known.
func (v *View) Put(r messages.Report) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.reports == nil {
		v.reports = make(map[ident.Host]seen)
		v.running = make(map[ident.Host]int)
	}
	if old, ok := v.reports[r.Host]; ok && old.report.Birth > r.Birth {
		return
	}
	v.reports[r.Host] = seen{report: r, time: time.Now()}
}

// Close marks an endpoint as refusing new work until its next report.
func (v *View) Close(h ident.Host) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if s, ok := v.reports[h]; ok {
		s.report.Open = false
		v.reports[h] = s
	}
}

// Serve notes that an endpoint serves another weight set than its last report says.
func (v *View) Serve(h ident.Host, set ident.WeightSet) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if s, ok := v.reports[h]; ok {
		s.report.Set = set
		s.report.Open = true
		v.reports[h] = s
	}
}

// Start counts a request handed to an endpoint. The returned function ends it.
func (v *View) Start(h ident.Host) func() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.running[h]++
	return func() {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.running[h]--
	}
}

// Reports returns the fresh reports in the order of their hosts.
func (v *View) Reports() []messages.Report {
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []messages.Report
	for _, s := range v.reports {
		if time.Since(s.time) < staleAfter {
			out = append(out, s.report)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Host < out[j].Host })
	return out
}

// Candidates returns the endpoints of a pool that serve the weight set.
func (v *View) Candidates(pool ident.Pool, set ident.WeightSet) []router.Candidate {
	var out []router.Candidate
	for _, r := range v.Reports() {
		if r.Pool != pool || r.Set != set || !r.Open || r.Leaving {
			continue
		}
		v.mu.Lock()
		running := max(r.Running, v.running[r.Host])
		v.mu.Unlock()
		out = append(out, router.Candidate{
			Host: r.Host, Zone: r.Zone, Address: r.Data, Set: r.Set, Open: true, Running: running, Slots: r.Slots,
		})
	}
	return out
}
