package workpacer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/workpacer"
)

// Guards against bodies in tiny chunks that take all processor time, and against pauses for those that are framed as usual.
func TestFramingIsReadAtItsRate(t *testing.T) {
	is := is.New(t)
	const callers, read, seconds = 120, 4 << 10, 3
	now := time.Now()
	var p workpacer.Pacer
	meters, due, framing := make([]workpacer.Meter, callers), make([]time.Time, callers), make([]int, callers)
	for end := now.Add(seconds * time.Second); now.Before(end); now = now.Add(time.Millisecond) {
		for i := range meters {
			if due[i].After(now) {
				continue
			}
			framing[i] += read
			if n := meters[i].Add(read/6, read); n > 0 {
				due[i] = now.Add(p.Take(now, n))
			}
		}
	}
	total, least := 0, framing[0]
	for _, n := range framing {
		total += n
		least = min(least, n)
	}
	const excess = 2. / 3 // of the bytes, as two for each of content are free
	is.True(float64(total)*excess <= seconds*workpacer.Rate+callers*(workpacer.FreeBytes+2*read))
	is.True(least*callers*2 >= total) // they share the rate

	var usual workpacer.Meter
	for range 1000 {
		is.Equal(usual.Add(100, 107), 0) // chunks of 100 bytes
	}
	var small workpacer.Meter
	is.Equal(small.Add(2000, 12000), 0) // a short body in chunks of one byte
}
