package suspensiondetector_test

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/suspensiondetector"
)

func TestSuspensionsAreReportedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		start := time.Now()
		var suspended time.Duration
		var clockErr error
		var reported []time.Duration
		d := &suspensiondetector.Detector{
			ReadClock:    func() (time.Duration, error) { return time.Hour + time.Since(start) + suspended, clockErr },
			OnSuspension: func(d time.Duration) { reported = append(reported, d) },
			Logger:       &log.Logger{Handler: discard.New(), Level: log.InfoLevel},
		}
		d.Check()
		time.Sleep(time.Second)
		d.Check()
		is.Equal(len(reported), 0)
		is.Equal(d.Elapsed(), time.Second)

		suspended += 3 * time.Second
		is.Equal(d.Elapsed(), 4*time.Second)
		d.Check()
		d.Check()
		is.Equal(reported, []time.Duration{3 * time.Second})

		suspended += 20 * time.Millisecond
		d.Check()
		is.Equal(len(reported), 1)
		suspended += 40 * time.Millisecond
		d.Check()
		is.Equal(reported[1], 60*time.Millisecond)

		// Without the system's clock, the time goes on with that of the runtime.
		clockErr = errors.New("not supported")
		time.Sleep(time.Second)
		d.Check()
		is.Equal(d.Elapsed(), 5*time.Second+60*time.Millisecond)
		is.Equal(len(reported), 2)
	})
}

func TestSystemClockRuns(t *testing.T) {
	is := is.New(t)
	d := &suspensiondetector.Detector{Logger: &log.Logger{Handler: discard.New(), Level: log.InfoLevel}}
	before := d.Elapsed()
	time.Sleep(time.Millisecond)
	is.True(d.Elapsed() > before)
	d.Check()
}
