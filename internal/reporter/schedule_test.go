package reporter

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/messages"
)

// TestLoadChangesDoNotDelayFullReports verifies that a load that changes at every poll does not delay the full reports.
// Their responses carry the replica counts that the host needs to switch weight sets.
func TestLoadChangesDoNotDelayFullReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var s schedule
		fullReports := 0
		r := messages.Report{GateOpen: true, ServedSet: "old", AssignedSet: "new", Slots: 8}
		for begin := time.Now(); time.Since(begin) < 10*time.Second; time.Sleep(pollInterval) {
			r.InFlight = (r.InFlight + 4) % 8
			if kind := s.next(r, Targets{}); kind == fullToNear || kind == fullToAll {
				fullReports++
			}
		}
		is.True(fullReports >= 10) // one per second
	})
}
