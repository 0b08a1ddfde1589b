// Package reportcache caches the reports of endpoint hosts for status requests and for the exchange of loads.
package reportcache

import (
	"sort"
	"sync"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/messages"
)

// maxMissedMessages is the number of consecutive messages of a host that may be missing before its report is stale.
const maxMissedMessages = 3

// Cache holds the last report of each endpoint host. The zero value is empty.
type Cache struct {
	mu      sync.Mutex
	reports map[ident.Host]cachedReport
}

// cachedReport is the last report of a host, with the values of later loads merged in.
type cachedReport struct {
	report messages.Report
	// reportTime is when the full report was made. The time in report may be that of a later load.
	reportTime int64
	receivedAt time.Time
}

// Put stores a report. It returns false if a later report of the host is known. A load that is newer than the report and
// arrived first stays in effect.
func (c *Cache) Put(r messages.Report) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reports == nil {
		c.reports = make(map[ident.Host]cachedReport)
	}
	old, reportTime := c.reports[r.Host], r.Time
	sameIncarnation := old.report.Birth == r.Birth
	if old.report.Birth > r.Birth || sameIncarnation && old.reportTime > r.Time {
		return false
	}
	if sameIncarnation && old.report.Time > r.Time {
		r.Running, r.Slots, r.Time = old.report.Running, old.report.Slots, old.report.Time
		r.Offset = max(r.Offset, old.report.Offset)
	}
	c.reports[r.Host] = cachedReport{report: r, reportTime: reportTime, receivedAt: time.Now()}
	return true
}

// Merge merges a load into the last report of its host and returns the result. It returns false if there is no report of
// the same incarnation or the report is newer than the load.
func (c *Cache) Merge(l messages.Load) (messages.Report, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cached, ok := c.reports[l.Host]
	if !ok || cached.report.Birth != l.Birth || cached.report.Time > l.Time {
		return messages.Report{}, false
	}
	cached.report.Running = l.Running
	cached.report.Slots = l.Slots
	cached.report.Time = l.Time
	cached.report.Offset = max(cached.report.Offset, l.Offset)
	cached.receivedAt = time.Now()
	c.reports[l.Host] = cached
	return cached.report, true
}

// Stale returns the age at which a report becomes stale.
func Stale(r messages.Report) time.Duration {
	return maxMissedMessages * time.Duration(r.Every) * time.Second
}

// Reports returns the reports that are not stale, in the order of their hosts.
func (c *Cache) Reports() []messages.Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	var fresh []messages.Report
	for _, cached := range c.reports {
		if time.Since(cached.receivedAt) < Stale(cached.report) {
			fresh = append(fresh, cached.report)
		}
	}
	sort.Slice(fresh, func(i, j int) bool { return fresh[i].Host < fresh[j].Host })
	return fresh
}
