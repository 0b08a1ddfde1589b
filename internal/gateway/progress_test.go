package gateway_test

import (
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/event"
)

func TestFailedAttemptLogsProgress(t *testing.T) {
	for _, c := range []struct {
		name      string
		step      step
		hasHeader bool
		events    int
	}{
		{"no response", reset, false, 0},
		{"response header only", streamOf(3, 2, false), true, 0},
		{"some events", streamOf(3, 5, false), true, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := startFleet(t, []step{streamOf(1, 2, false), c.step}, nil)
			handler := memory.New()
			f.gateway.Logger = &log.Logger{Handler: handler, Level: log.InfoLevel}
			f.configure(1)
			_, _, _, err := f.send("/stream/", nil)
			is.True(err != nil)
			f.Close() // waits for the handlers
			var failed []log.Fields
			for _, entry := range handler.Entries {
				if entry.Fields["event"] == event.AttemptFailed.Number {
					failed = append(failed, entry.Fields)
				}
			}
			is.Equal(len(failed), 2)
			is.Equal(failed[0]["header"], true)
			is.Equal(failed[0]["events"], 2)
			is.Equal(failed[1]["header"], c.hasHeader)
			is.Equal(failed[1]["events"], c.events) // those of this attempt alone
		})
	}
}
