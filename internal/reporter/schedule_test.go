package reporter

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/messages"
)

// Loads that change all the time must not put off the full reports, whose answers carry the counts of a wave.
func TestLoadsDoNotPutOffFullReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var s schedule
		full := 0
		r := messages.Report{Open: true, Set: "old", Want: "new", Slots: 8}
		for begin := time.Now(); time.Since(begin) < 10*time.Second; time.Sleep(pollInterval) {
			r.Running = (r.Running + 4) % 8
			if what := s.next(r, Targets{}); what == fullToNear || what == fullToAll {
				full++
			}
		}
		is.True(full >= 10) // one a second
	})
}
