// Package reportcache holds the reports of endpoint hosts for status and for the exchange of loads.
package reportcache

import (
	"sort"
	"sync"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/messages"
)

// missed is the number of messages that a host may be behind before its report is stale.
const missed = 3

// Cache holds the last report of each endpoint host. The zero value is empty.
type Cache struct {
	mu      sync.Mutex
	reports map[ident.Host]seen
}

type seen struct {
	report messages.Report
	// state is when the full report was made. The report's own time may be that of a later load.
	state int64
	time  time.Time
}

// Put stores a report. It returns false if a later one of the host is known. A load that was made later and came first
// is kept.
func (c *Cache) Put(r messages.Report) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reports == nil {
		c.reports = make(map[ident.Host]seen)
	}
	old, state := c.reports[r.Host], r.Time
	same := old.report.Birth == r.Birth
	if old.report.Birth > r.Birth || same && old.state > r.Time {
		return false
	}
	if same && old.report.Time > r.Time {
		r.Running, r.Slots, r.Time = old.report.Running, old.report.Slots, old.report.Time
		r.Offset = max(r.Offset, old.report.Offset)
	}
	c.reports[r.Host] = seen{report: r, state: state, time: time.Now()}
	return true
}

// Merge brings the last report of a host up to date and returns it. It returns false if no report of the same birth is
// known, or a later one.
func (c *Cache) Merge(l messages.Load) (messages.Report, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.reports[l.Host]
	if !ok || s.report.Birth != l.Birth || s.report.Time > l.Time {
		return messages.Report{}, false
	}
	s.report.Running = l.Running
	s.report.Slots = l.Slots
	s.report.Time = l.Time
	s.report.Offset = max(s.report.Offset, l.Offset)
	s.time = time.Now()
	c.reports[l.Host] = s
	return s.report, true
}

// Stale returns the age at which a report counts for nothing any more.
func Stale(r messages.Report) time.Duration {
	return missed * time.Duration(r.Every) * time.Second
}

// Reports returns the fresh reports in the order of their hosts.
func (c *Cache) Reports() []messages.Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []messages.Report
	for _, s := range c.reports {
		if time.Since(s.time) < Stale(s.report) {
			out = append(out, s.report)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Host < out[j].Host })
	return out
}
