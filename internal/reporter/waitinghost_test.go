package reporter

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/messages"
)

// TestWaitingHostReportsUnderLoad verifies that load messages do not replace the full reports when the load changes at
// every poll while the host waits to switch weight sets.
func TestWaitingHostReportsUnderLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var s schedule
		r := messages.Report{StartTime: 1, GateOpen: true, ServedSet: "a", AssignedSet: "b", Slots: 8}
		fullReports := 0
		for i := range 100 {
			r.InFlight = i % 8
			if kind := s.next(r, Targets{}); kind == fullToAll || kind == fullToNear {
				fullReports++
			}
			time.Sleep(pollInterval)
		}
		is.True(fullReports >= 10)
	})
}
