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

// Put stores a report. It returns false if a later report of the host is known. If a newer load
// than the report arrived first, the load's values are kept.
func (c *Cache) Put(r messages.Report) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reports == nil {
		c.reports = make(map[ident.Host]cachedReport)
	}
	old, reportTime := c.reports[r.Host], r.SentMs
	sameIncarnation := old.report.StartTime == r.StartTime
	if old.report.StartTime > r.StartTime || sameIncarnation && old.reportTime > r.SentMs {
		return false
	}
	if sameIncarnation && old.report.SentMs > r.SentMs {
		r.InFlight, r.Slots, r.SentMs = old.report.InFlight, old.report.Slots, old.report.SentMs
		r.Offset = max(r.Offset, old.report.Offset)
	}
	c.reports[r.Host] = cachedReport{report: r, reportTime: reportTime, receivedAt: time.Now()}
	return true
}

// MergeLoad merges a load into the last report of its host and returns the result. It returns false if there is no
// report of the same incarnation or the report is newer than the load.
func (c *Cache) MergeLoad(l messages.LoadUpdate) (messages.Report, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cached, ok := c.reports[l.Host]
	if !ok || cached.report.StartTime != l.StartTime || cached.report.SentMs > l.SentMs {
		return messages.Report{}, false
	}
	cached.report.InFlight = l.InFlight
	cached.report.Slots = l.Slots
	cached.report.SentMs = l.SentMs
	cached.report.Offset = max(cached.report.Offset, l.Offset)
	cached.receivedAt = time.Now()
	c.reports[l.Host] = cached
	return cached.report, true
}

// MaxAge returns the age at which a report becomes stale.
func MaxAge(r messages.Report) time.Duration {
	return maxMissedMessages * time.Duration(r.MaxIntervalSeconds) * time.Second
}

// Reports returns the reports that are not stale, in the order of their hosts.
func (c *Cache) Reports() []messages.Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	var fresh []messages.Report
	for _, cached := range c.reports {
		if time.Since(cached.receivedAt) < MaxAge(cached.report) {
			fresh = append(fresh, cached.report)
		}
	}
	sort.Slice(fresh, func(i, j int) bool { return fresh[i].Host < fresh[j].Host })
	return fresh
}
