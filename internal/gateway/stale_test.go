package gateway_test

import (
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against a remaining time that was computed before the endpoint was connected: it was too long by the time that
// connecting took, so that the endpoint worked for callers that had stopped waiting.
func TestRemainingTimeIsThatOfTheWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const delay = 800 * time.Millisecond
		f := newZoneFleet(func() int { return 5 }, func() time.Duration { return delay })
		f.configure(1, nil, nil)
		is.Equal(f.send("r", "/once/"), 200)
		f.close()
		is.Equal(len(f.arrivals), 1)
		left, err := strconv.Atoi(f.arrivals[0].left)
		is.NoErr(err)
		is.True(time.Duration(left)*time.Millisecond <= 3*time.Second-delay)
	})
}
