package stalldetector_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/stalldetector"
)

const ms = time.Millisecond

// An endpoint was taken to stand still though it or its host had shown that it runs, or was not although neither had.
func TestVerdictDoesNotFollowFromSilence(t *testing.T) {
	for _, c := range []struct {
		name          string
		repliesUntil  time.Duration // of the process beside the endpoint
		heardUntil    time.Duration // of the endpoint, which sends every 50 ms
		canHold       bool
		from          time.Duration // the first verdict; zero for none within 3 s
		isForgetting  bool
		isEverDoubted bool
	}{
		{name: "host stands still", repliesUntil: 1000 * ms, heardUntil: 1000 * ms, from: 1200 * ms, isEverDoubted: true},
		{name: "process beside it is gone", repliesUntil: 1000 * ms, heardUntil: 3000 * ms},
		{name: "endpoint is silent for a second", repliesUntil: 3000 * ms, heardUntil: 2000 * ms},
		{name: "endpoint alone stands still", repliesUntil: 3000 * ms, heardUntil: 1000 * ms, from: 2500 * ms},
		{name: "endpoint loads weights", repliesUntil: 3000 * ms, heardUntil: 1000 * ms, canHold: true},
		{name: "this host stood still", repliesUntil: 1000 * ms, heardUntil: 1000 * ms, isForgetting: true, isEverDoubted: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var d stalldetector.Detector
			start := time.Unix(1000, 0)
			var first time.Duration
			isEverDoubted := false
			for at := time.Duration(0); at < 3000*ms; at += stalldetector.QuestionInterval {
				now := start.Add(at)
				if at <= c.heardUntil && at%(50*ms) == 0 {
					d.RecordHeard(now)
				}
				if c.isForgetting && at%(150*ms) == 0 {
					d.Forget(now)
				}
				if d.NeedsQuestion(now, start) {
					d.RecordQuestion(now)
					if at <= c.repliesUntil {
						d.RecordReply(now)
					}
				}
				isEverDoubted = isEverDoubted || d.IsDoubtful(now)
				if d.Check(now, start.Add(50*ms), c.canHold) && first == 0 {
					first = at
				}
			}
			is.True(c.from == 0 && first == 0 || c.from > 0 && first >= c.from && first <= c.from+75*ms)
			is.Equal(isEverDoubted, c.isEverDoubted)
		})
	}
}
