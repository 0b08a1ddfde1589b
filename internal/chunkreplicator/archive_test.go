package chunkreplicator_test

import (
	"context"
	"errors"
	"maps"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/archiver"
	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
)

// fakeStore is an in-memory store with faults.
type fakeStore struct {
	mu     sync.Mutex
	values map[int]map[string][]byte
	reads  int
	// down fails all calls, and corrupt changes the chunks that are read.
	down, corrupt bool
}

const (
	partitions = 8
	manifests  = -1
)

var errStoreDown = errors.New("store is down")

func (s *fakeStore) read(partition int) (map[string][]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, errStoreDown
	}
	if partition >= 0 {
		s.reads++
	}
	out := maps.Clone(s.values[partition])
	for key, v := range out {
		if v = append([]byte(nil), v...); s.corrupt && partition >= 0 {
			v[len(v)-1] ^= 0xff
		}
		out[key] = v
	}
	return out, nil
}

func (s *fakeStore) write(partition int, values map[string][]byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return errStoreDown
	}
	if s.values == nil {
		s.values = make(map[int]map[string][]byte)
	}
	if s.values[partition] == nil {
		s.values[partition] = make(map[string][]byte)
	}
	maps.Copy(s.values[partition], values)
	return nil
}

func (s *fakeStore) archiver() *archiver.Archiver {
	return &archiver.Archiver{
		Partitions:     partitions,
		ReadPartition:  func(_ context.Context, p int, _ func(int)) (map[string][]byte, error) { return s.read(p) },
		WritePartition: func(_ context.Context, p int, values map[string][]byte) error { return s.write(p, values) },
		ReadManifests:  func(context.Context) (map[string][]byte, error) { return s.read(manifests) },
		WriteManifest: func(_ context.Context, key string, v []byte) error {
			return s.write(manifests, map[string][]byte{key: v})
		},
	}
}

func never() bool { return false }

// archive has one host fetch a release and write it to the store.
func archive(t *testing.T, s *fakeStore, release fleetconfig.ServedModel) {
	c := hosts(t, &origin{}, 1, 0)[0]
	c.Archiver = s.archiver()
	fetch(t, release, c)
	c.Archive(t.Context(), release, func(int) bool { return true }, never)
}

// After a power failure the entire fleet restarts while the origin is down. It reads one copy of the release from the
// store.
func TestRestartedFleetReadsArchiveWhileOriginIsDown(t *testing.T) {
	is := is.New(t)
	s, release := &fakeStore{}, fleetconfig.ServedModel{Model: "m", Release: 3}
	archive(t, s, release)
	o := &origin{}
	o.isDown.Store(true)
	all := hosts(t, o, 2, 2)
	for _, c := range all[:2] {
		c.Archiver = s.archiver()
	}
	fetch(t, release, all...)
	is.Equal(s.reads, partitions)
}

// A host reads the partitions one after the other: together they would all be complete only at the end.
func TestPartitionsOfArchiveAreReadOneAfterTheOther(t *testing.T) {
	is := is.New(t)
	s, release := &fakeStore{}, fleetconfig.ServedModel{Model: "m", Release: 3}
	archive(t, s, release)
	o := &origin{}
	o.isDown.Store(true)
	c := hosts(t, o, 1, 0)[0]
	c.Archiver = s.archiver()
	var running, most atomic.Int64
	read := c.Archiver.ReadPartition
	c.Archiver.ReadPartition = func(ctx context.Context, partition int, progress func(int)) (map[string][]byte, error) {
		most.Store(max(most.Load(), running.Add(1)))
		defer running.Add(-1)
		time.Sleep(20 * time.Millisecond)
		return read(ctx, partition, progress)
	}
	fetch(t, release, c)
	is.Equal(most.Load(), int64(1))
	is.Equal(s.reads, partitions)
}

// If the archive is unavailable, corrupt or incomplete, the release is read from the origin.
func TestFaultyArchiveFallsBackToOrigin(t *testing.T) {
	for name, breakStore := range map[string]func(s *fakeStore){
		"store is down":         func(s *fakeStore) { s.down = true },
		"chunks are corrupt":    func(s *fakeStore) { s.corrupt = true },
		"chunks are missing":    func(s *fakeStore) { clear(s.values[2]) },
		"manifest is missing":   func(s *fakeStore) { clear(s.values[manifests]) },
		"manifest is malformed": func(s *fakeStore) { s.values[manifests]["m/manifest"] = []byte("x") },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, release := &fakeStore{}, fleetconfig.ServedModel{Model: "m", Release: 3}
			archive(t, s, release)
			breakStore(s)
			o := &origin{}
			c := hosts(t, o, 1, 0)[0]
			c.Archiver = s.archiver()
			fetch(t, release, c)
			is.True(o.reads.Load() > 0)
		})
	}
}

// Failed writes are retried, and a release that was read from the store is not written back.
func TestArchiveRetriesUntilWritten(t *testing.T) {
	is := is.New(t)
	s, release := &fakeStore{down: true}, fleetconfig.ServedModel{Model: "m", Release: 1}
	time.AfterFunc(300*time.Millisecond, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.down = false
	})
	archive(t, s, release)
	is.Equal(len(s.values), partitions+1)
	c := hosts(t, &origin{}, 1, 0)[0]
	c.Archiver = s.archiver()
	fetch(t, release, c)
	s.mu.Lock()
	clear(s.values)
	s.mu.Unlock()
	c.Archive(t.Context(), release, func(int) bool { return true }, never)
	is.Equal(len(s.values), 0)
}
