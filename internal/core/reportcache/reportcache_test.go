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
	_, ok := cache.Merge(messages.Load{Host: "h", Birth: 2, Time: 5})
	is.True(!ok)
	is.True(cache.Put(messages.Report{Host: "h", Birth: 2, Time: 5, Every: 4, Running: 1}))
	is.True(!cache.Put(messages.Report{Host: "h", Birth: 2, Time: 4, Every: 4}))
	is.True(!cache.Put(messages.Report{Host: "h", Birth: 1, Time: 9, Every: 4}))
	_, ok = cache.Merge(messages.Load{Host: "h", Birth: 1, Time: 9})
	is.True(!ok)
	_, ok = cache.Merge(messages.Load{Host: "h", Birth: 2, Time: 4})
	is.True(!ok)
	r, ok := cache.Merge(messages.Load{Host: "h", Birth: 2, Time: 6, Running: 7, Slots: 8})
	is.True(ok)
	is.Equal(r.Running, 7)
	is.Equal(cache.Reports()[0].Slots, 8)
}

// A load on a response may arrive before a full report that is older. The report must still be stored, with the newer load.
func TestLoadDoesNotDiscardEarlierReport(t *testing.T) {
	is := is.New(t)
	var cache reportcache.Cache
	is.True(cache.Put(messages.Report{Host: "h", Birth: 1, Time: 1, Every: 4}))
	_, ok := cache.Merge(messages.Load{Host: "h", Birth: 1, Time: 6, Running: 7})
	is.True(ok)
	is.True(cache.Put(messages.Report{Host: "h", Birth: 1, Time: 5, Every: 4, Open: true, Set: "x", Running: 3}))
	got := cache.Reports()[0]
	is.True(got.Open)
	is.Equal(got.Running, 7)
	is.True(!cache.Put(messages.Report{Host: "h", Birth: 1, Time: 4, Every: 4})) // an older full report is ignored
}

func TestOmitsReportAfterThreeMissedMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var cache reportcache.Cache
		cache.Put(messages.Report{Host: "h", Birth: 1, Every: 4})
		time.Sleep(11 * time.Second)
		is.Equal(len(cache.Reports()), 1)
		time.Sleep(2 * time.Second)
		is.Equal(len(cache.Reports()), 0)
	})
}

func TestLoadHeaderRoundTrip(t *testing.T) {
	is := is.New(t)
	l := messages.Load{Host: "h", Birth: 1, Time: 2, Offset: 3, Running: 4, Slots: 5}
	got, ok := messages.ParseLoad("h", l.Header())
	is.True(ok)
	is.Equal(got, l)
	for _, invalid := range []string{"", "1 2 3", "1 2 3 4 5 6", "a b c d e"} {
		_, ok := messages.ParseLoad("h", invalid)
		is.True(!ok)
	}
}
