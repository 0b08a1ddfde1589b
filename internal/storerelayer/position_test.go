package storerelayer

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/nutmegdock/nutmegdock/internal/core/sourceselector"
	"github.com/nutmegdock/nutmegdock/internal/messages"
	"github.com/nutmegdock/nutmegdock/internal/rapidtest"
	"github.com/nutmegdock/nutmegdock/internal/recordpacker"
	"github.com/nutmegdock/nutmegdock/internal/watcher"
)

const testTopic = "t"

// recordLog is the log of a topic. A record without a key only takes an offset.
type recordLog struct {
	records []watcher.Change
	// isStated says that positions are stated, as the store does.
	isStated bool
	// betweenPages writes records between the pages of a snapshot; nil means that it has one page.
	betweenPages func()
}

func (l *recordLog) write(key, value string) {
	l.records = append(l.records, watcher.Change{Key: key, Value: []byte(value)})
}

func (l *recordLog) read(_ context.Context, _ string, _ watcher.Epoch, from int64, _ time.Duration) (watcher.Batch, error) {
	b := watcher.Batch{NextOffset: int64(len(l.records))}
	for i, c := range l.records[from:] {
		if c.Key == "" {
			continue
		}
		if l.isStated {
			c.Position = watcher.Position(from + int64(i) + 1)
		}
		b.Changes = append(b.Changes, c)
	}
	return b, nil
}

// at returns the newest value of each key before an offset.
func (l *recordLog) at(offset int64) watcher.Snapshot {
	s := watcher.Snapshot{Values: make(map[string][]byte), Positions: make(map[string]watcher.Position), NextOffset: offset}
	for i, c := range l.records[:offset] {
		delete(s.Values, c.Key)
		if c.Key != "" && len(c.Value) > 0 {
			s.Values[c.Key] = c.Value
		}
		if l.isStated {
			s.Positions[c.Key] = watcher.Position(i + 1)
		}
	}
	return s
}

// pages returns the newest values as the store does: the keys up to secondPage as they were before those after it.
func (l *recordLog) pages(context.Context, string) (watcher.Snapshot, error) {
	const secondPage = "key4"
	s := l.at(int64(len(l.records)))
	if l.betweenPages == nil {
		return s, nil
	}
	l.betweenPages()
	later := l.at(int64(len(l.records)))
	isLater := func(key string) bool { return key > secondPage }
	maps.DeleteFunc(s.Values, func(key string, _ []byte) bool { return isLater(key) })
	for key, value := range later.Values {
		if isLater(key) {
			s.Values[key], s.Positions[key] = value, later.Positions[key]
		}
	}
	s.EndOffset = later.NextOffset
	return s, nil
}

// follower is a host with the values that its watcher has applied.
type follower struct {
	relayer *Relayer
	offset  int64
	values  map[string][]byte
}

// newFollowers returns hosts that read the log, or each other under the names 0, 1 and so on. The last ones are of an earlier version:
// their answers state no positions.
func newFollowers(l *recordLog, n, earlier int) []*follower {
	hosts := make([]*follower, n)
	answer := func(host string, serve func(r *Relayer) (messages.RecordsResponse, error)) (messages.RecordsResponse, error) {
		var i int
		_, _ = fmt.Sscan(host, &i)
		resp, err := serve(hosts[i].relayer)
		if err != nil || i < n-earlier {
			return resp, err
		}
		records, err := recordpacker.Unpack(resp.Data, resp.Compressed)
		for j := range records {
			records[j].Position = 0
		}
		if err == nil {
			resp.Data, resp.Compressed, err = (&recordpacker.Packer{Records: records}).Pack()
		}
		return resp, err
	}
	for i := range hosts {
		hosts[i] = &follower{values: make(map[string][]byte), relayer: &Relayer{
			ReadStore: l.read, ReadStoreSnapshot: l.pages,
			QueryReader: func(ctx context.Context, host string, q messages.RecordsQuery) (messages.RecordsResponse, error) {
				return answer(host, func(r *Relayer) (messages.RecordsResponse, error) { return r.ServeRecords(ctx, q) })
			},
			QuerySnapshot: func(ctx context.Context, host string, q messages.SnapshotQuery) (messages.RecordsResponse, error) {
				return answer(host, func(r *Relayer) (messages.RecordsResponse, error) { return r.ServeSnapshot(ctx, q) })
			},
		}}
	}
	return hosts
}

// readChanges reads changes from one source, as the watcher of a topic does. A source that does not hold them changes nothing.
func (f *follower) readChanges(ctx context.Context, d sourceselector.Decision) {
	b, err := f.relayer.readFrom(ctx, d, testTopic, 0, f.offset, 0)
	if err != nil {
		return
	}
	f.offset = b.NextOffset
	for _, c := range b.Changes {
		delete(f.values, c.Key)
		if len(c.Value) > 0 {
			f.values[c.Key] = c.Value
		}
	}
}

func (f *follower) readSnapshot(ctx context.Context, d sourceselector.Decision) {
	s, err := f.relayer.readSnapshotFrom(ctx, d, testTopic)
	if err != nil {
		return
	}
	s = f.relayer.setSnapshot(testTopic, s)
	f.offset, f.values = s.NextOffset, maps.Clone(s.Values)
}

// check returns how the values of a host differ from the log up to its offset.
func (f *follower) check(l *recordLog) string {
	want := l.at(f.offset).Values
	if maps.EqualFunc(f.values, want, bytes.Equal) {
		return ""
	}
	return fmt.Sprintf("at offset %d: has %q, log has %q", f.offset, f.values, want)
}

// Guards against hosts that miss a change for good, because another host took a merged change or one of a snapshot for a record
// at another offset of the log (review/11): after each step, each host has just what the log holds up to its offset.
func TestStatePositionsOfChanges(t *testing.T) {
	for _, earlier := range []int{0, 1} {
		t.Run(fmt.Sprint("earlier versions ", earlier), func(t *testing.T) {
			rapidtest.Check(t, func(t *testing.T, rt *rapid.T) {
				l := &recordLog{isStated: rapid.Bool().Draw(rt, "stated")}
				keys := rapid.IntRange(1, 40).Draw(rt, "keys")
				hosts := newFollowers(l, rapid.IntRange(2, 6).Draw(rt, "hosts"), earlier)
				sources := rapid.SampledFrom([][]string{{"log", "host"}, {"whole", "host"}, {"log", "whole", "host", "snapshot"}}).Draw(rt, "sources")
				steps := append([]string{"record", "record", "host"}, sources...)
				write := func() {
					key, value := fmt.Sprint("key", rapid.IntRange(0, keys).Draw(rt, "key")), ""
					if key == "key0" {
						key = "" // another writer's record
					}
					if rapid.IntRange(0, 3).Draw(rt, "removed") > 0 {
						value = fmt.Sprint(len(l.records))
					}
					l.write(key, value)
				}
				if rapid.Bool().Draw(rt, "pages") {
					l.betweenPages = func() {
						for range rapid.IntRange(0, 3).Draw(rt, "between pages") {
							write()
						}
					}
				}
				for step := range 200 {
					host := hosts[rapid.IntRange(0, len(hosts)-1).Draw(rt, "host")]
					store := sourceselector.Decision{Source: sourceselector.Store}
					switch rapid.SampledFrom(steps).Draw(rt, "step") {
					case "record":
						write()
					case "log":
						host.readChanges(t.Context(), store)
					case "whole":
						if !host.relayer.topic(testTopic).isWhole {
							host.readSnapshot(t.Context(), store)
						}
						store.IsWhole = true
						host.readChanges(t.Context(), store)
					case "host":
						host.readChanges(t.Context(), otherHost(rt, hosts))
					case "snapshot":
						host.readSnapshot(t.Context(), otherHost(rt, hosts))
					}
					for i, h := range hosts {
						if wrong := h.check(l); wrong != "" {
							rt.Fatalf("step %d: host %d %s", step, i, wrong)
						}
					}
				}
			})
		})
	}
}

func otherHost(rt *rapid.T, hosts []*follower) sourceselector.Decision {
	return sourceselector.Decision{Source: fmt.Sprint(rapid.IntRange(0, len(hosts)-1).Draw(rt, "source"))}
}

// Guards against the same, one case for each way in which a host came to know a change without its position. In the steps, "a=1" is a record,
// "a=" a removal, "2<log" a read of the log by host 2, "2<whole" one of all values, and "2<1" a read from host 1.
func TestChangesReachHostsBehind(t *testing.T) {
	for name, steps := range map[string]string{
		"values of a snapshot, sorted by key":             "version=1 1<log config=2 0<whole 1<0",
		"changes that another host has merged":            "a=1 2<log b=2 3<log a=3 0<log 1<0 2<1 3<2",
		"removal that another host has merged":            "b=1 a=1 2<log b=2 3<log a= 0<log 1<0 2<1 3<2",
		"removal of a key that the snapshots never had":   "a=1 1<log a= 0<whole 1<0",
		"removal of such a key, through a host between":   "a=1 1<log a= 0<whole 2<0 1<2",
		"removal of such a key, and a record after it":    "a=1 1<log a= 0<whole b=1 0<log 2<0 1<2",
		"record of another writer between two of the log": "a=1 2<log =1 b=2 0<log 1<0 2<1",
		"record of another writer before two of the log":  "=1 0<log b= 2<log a=2 1<log 0<1 2<0",
	} {
		for _, earlier := range []int{0, 2, 4} {
			t.Run(fmt.Sprint(name, ", earlier versions ", earlier), func(t *testing.T) {
				l := &recordLog{isStated: earlier < 4}
				hosts := newFollowers(l, 4, earlier)
				for _, h := range hosts {
					h.readSnapshot(t.Context(), sourceselector.Decision{Source: sourceselector.Store})
				}
				for _, step := range strings.Fields(steps) {
					if key, value, ok := strings.Cut(step, "="); ok {
						l.write(key, value)
						continue
					}
					host, source, _ := strings.Cut(step, "<")
					d := sourceselector.Decision{Source: source, IsWhole: source == "whole"}
					if d.IsWhole || source == "log" {
						d.Source = sourceselector.Store
					}
					i, err := strconv.Atoi(host)
					if err != nil {
						t.Fatal(err)
					}
					hosts[i].readChanges(t.Context(), d)
					if wrong := hosts[i].check(l); wrong != "" {
						t.Errorf("after %s: host %d %s", step, i, wrong)
					}
				}
			})
		}
	}
}

// Guards against a host that keeps a removed key for good, because a later page of a snapshot showed it to that host alone.
func TestPagesOfSnapshotAreOneState(t *testing.T) {
	is := is.New(t)
	l := &recordLog{isStated: true}
	hosts := newFollowers(l, 2, 0)
	store := sourceselector.Decision{Source: sourceselector.Store, IsWhole: true}
	hosts[1].readSnapshot(t.Context(), store)
	l.betweenPages = func() { l.write("key5", "1") }
	hosts[0].readSnapshot(t.Context(), store)
	l.betweenPages = nil
	l.write("key5", "")
	hosts[1].readChanges(t.Context(), store)
	hosts[0].readChanges(t.Context(), sourceselector.Decision{Source: "1"})
	is.Equal(hosts[0].offset, int64(2))
	is.Equal(hosts[0].check(l), "")
}

// Guards against a host of an earlier version that takes merged changes for the log's records, because there are as many as offsets.
func TestMergedChangesAreNotAsManyAsOffsets(t *testing.T) {
	is := is.New(t)
	for _, records := range [][]string{{"a", "a", "b", "b"}, {"a", "b", "", "b"}, {"a", "b", "a", "b"}, {"b", "a", "a", "b", "c"}} {
		l := &recordLog{isStated: true}
		for i, key := range records {
			l.write(key, fmt.Sprint(i))
		}
		host := newFollowers(l, 1, 0)[0]
		host.readChanges(t.Context(), sourceselector.Decision{Source: sourceselector.Store})
		for from := range int64(len(records)) {
			resp, err := host.relayer.ServeRecords(t.Context(), messages.RecordsQuery{Topic: testTopic, FromOffset: from})
			is.NoErr(err)
			changes, err := recordpacker.Unpack(resp.Data, resp.Compressed)
			is.NoErr(err)
			isLog := slices.EqualFunc(changes, records[from:], func(c watcher.Change, key string) bool { return c.Key == key })
			is.True(isLog || int64(len(changes)) != resp.NextOffset-from)
		}
	}
}
