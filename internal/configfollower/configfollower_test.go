package configfollower

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/reducer"
	"github.com/nutmegdock/nutmegdock/internal/event"
	"github.com/nutmegdock/nutmegdock/internal/logclient"
)

func record(id string) []byte {
	return []byte(`{"id":"` + id + `","object":"organisation/` + id + `","organisation":{"key":"` + id + `"}}`)
}

func newFollower(page logclient.Page) (*Follower, *memory.Handler) {
	events := memory.New()
	return &Follower{
		Logger: &log.Logger{Handler: events, Level: log.InfoLevel},
		Read: func(context.Context, ident.Offset, int, time.Duration) (logclient.Page, error) {
			return page, nil
		},
	}, events
}

func TestPollFailsIfRecordsAreMissingOrTheLogIsBehind(t *testing.T) {
	is := is.New(t)
	f, _ := newFollower(logclient.Page{FirstOffset: 5, NextOffset: 5})
	_, err := f.Poll(t.Context(), 0)
	var gap *GapError
	is.True(errors.As(err, &gap))
	is.True(!f.Ready())
	f.Apply(0, [][]byte{record("a"), record("b"), record("c"), record("d"), record("e"), record("f")})
	_, err = f.Poll(t.Context(), 0)
	var behind *LogBehindError
	is.True(errors.As(err, &behind)) // a log that ends before the state is the wrong log
}

func TestDifferentStateAtTheSameOffsetRaisesAnEventAndIsNotUsed(t *testing.T) {
	is := is.New(t)
	f, events := newFollower(logclient.Page{})
	f.Apply(0, [][]byte{record("a")})
	other := reducer.New()
	other.Apply(record("b"))
	is.True(!f.ReplaceState(other))
	is.Equal(events.Entries[len(events.Entries)-1].Fields.Get("event"), event.StateDiffers.Number)
	_, ok := f.Snapshot().Object("organisation/a")
	is.True(ok)
	older := reducer.New()
	is.True(!f.ReplaceState(older)) // a state of a lower offset is never used
	other.Apply(record("c"))
	is.True(f.ReplaceState(other))
}

func TestRecentRecordsReturnsConsecutiveRecords(t *testing.T) {
	is := is.New(t)
	f, _ := newFollower(logclient.Page{})
	f.Apply(0, [][]byte{record("a"), record("b"), record("c")})
	f.Apply(1, [][]byte{record("x"), record("c"), record("d")}) // records that are already applied are skipped
	is.Equal(f.Offset(), ident.Offset(4))
	f.Apply(9, [][]byte{record("e")}) // a record that does not follow the state is skipped
	is.Equal(f.Offset(), ident.Offset(4))
	records, ok := f.RecentRecords(1, 1<<20)
	is.True(ok)
	is.Equal(len(records), 3)
	records, ok = f.RecentRecords(1, 1)
	is.True(ok)
	is.Equal(len(records), 1) // at least one record, whatever the limit
	_, ok = f.RecentRecords(7, 1)
	is.True(!ok)
}

func TestReadAfterAFailureUsesASmallerPage(t *testing.T) {
	is := is.New(t)
	var limits []int
	f, _ := newFollower(logclient.Page{})
	f.Read = func(_ context.Context, _ ident.Offset, limit int, _ time.Duration) (logclient.Page, error) {
		limits = append(limits, limit)
		if limit > smallPageRecords {
			return logclient.Page{}, errors.New("page is too long")
		}
		return logclient.Page{NextOffset: 1, Records: []logclient.Record{{Data: record("a")}}}, nil
	}
	_, err := f.Poll(t.Context(), 0)
	is.True(err != nil)
	_, err = f.Poll(t.Context(), 0)
	is.NoErr(err)
	is.Equal(limits, []int{pageRecords, smallPageRecords})
	is.Equal(f.Offset(), ident.Offset(1))
}
