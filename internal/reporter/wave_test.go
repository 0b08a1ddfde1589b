package reporter

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/messages"
)

// TestWaitingHostReportsUnderLoad has the load change all the time while the host waits to switch.
func TestWaitingHostReportsUnderLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var s schedule
		r := messages.Report{Birth: 1, Open: true, Set: "a", Want: "b", Slots: 8}
		full := 0
		for i := range 100 {
			r.Running = i % 8
			if what := s.next(r, Targets{}); what == fullToAll || what == fullToNear {
				full++
			}
			time.Sleep(pollInterval)
		}
		is.True(full >= 10)
	})
}
