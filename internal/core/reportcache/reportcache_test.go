package reportcache_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/reportcache"
	"github.com/nutmegdock/nutmegdock/internal/messages"
)

func TestMergesOnlyLoadsOfTheSameIncarnation(t *testing.T) {
	is := is.New(t)
	var cache reportcache.Cache
	_, ok := cache.MergeLoad(messages.LoadUpdate{Host: "h", StartTime: 2, SentMs: 5})
	is.True(!ok)
	is.True(cache.Put(messages.Report{Host: "h", StartTime: 2, SentMs: 5, MaxIntervalSeconds: 4, InFlight: 1}))
	is.True(!cache.Put(messages.Report{Host: "h", StartTime: 2, SentMs: 4, MaxIntervalSeconds: 4}))
	is.True(!cache.Put(messages.Report{Host: "h", StartTime: 1, SentMs: 9, MaxIntervalSeconds: 4}))
	_, ok = cache.MergeLoad(messages.LoadUpdate{Host: "h", StartTime: 1, SentMs: 9})
	is.True(!ok)
	_, ok = cache.MergeLoad(messages.LoadUpdate{Host: "h", StartTime: 2, SentMs: 4})
	is.True(!ok)
	r, ok := cache.MergeLoad(messages.LoadUpdate{Host: "h", StartTime: 2, SentMs: 6, InFlight: 7, Slots: 8})
	is.True(ok)
	is.Equal(r.InFlight, 7)
	is.Equal(cache.Reports()[0].Slots, 8)
}

// TestLoadDoesNotDiscardEarlierReport sends a load, as on a response, that arrives before an older full report. The
// report must still be stored, with the newer load.
func TestLoadDoesNotDiscardEarlierReport(t *testing.T) {
	is := is.New(t)
	var cache reportcache.Cache
	is.True(cache.Put(messages.Report{Host: "h", StartTime: 1, SentMs: 1, MaxIntervalSeconds: 4}))
	_, ok := cache.MergeLoad(messages.LoadUpdate{Host: "h", StartTime: 1, SentMs: 6, InFlight: 7})
	is.True(ok)
	is.True(cache.Put(messages.Report{Host: "h", StartTime: 1, SentMs: 5, MaxIntervalSeconds: 4, GateOpen: true, ServedSet: "x", InFlight: 3}))
	got := cache.Reports()[0]
	is.True(got.GateOpen)
	is.Equal(got.InFlight, 7)
	is.True(!cache.Put(messages.Report{Host: "h", StartTime: 1, SentMs: 4, MaxIntervalSeconds: 4})) // an older full report is ignored
}

func TestOmitsReportAfterThreeMissedMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var cache reportcache.Cache
		cache.Put(messages.Report{Host: "h", StartTime: 1, MaxIntervalSeconds: 4})
		time.Sleep(11 * time.Second)
		is.Equal(len(cache.Reports()), 1)
		time.Sleep(2 * time.Second)
		is.Equal(len(cache.Reports()), 0)
	})
}

func TestLoadHeaderRoundTrip(t *testing.T) {
	is := is.New(t)
	l := messages.LoadUpdate{Host: "h", StartTime: 1, SentMs: 2, Offset: 3, InFlight: 4, Slots: 5}
	got, ok := messages.ParseLoadUpdate("h", l.Header())
	is.True(ok)
	is.Equal(got, l)
	for _, invalid := range []string{"", "1 2 3", "1 2 3 4 5 6", "a b c d e"} {
		_, ok := messages.ParseLoadUpdate("h", invalid)
		is.True(!ok)
	}
}
