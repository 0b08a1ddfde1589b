package chunkreplicator_test

import (
	"context"
	"errors"
	"maps"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/archiver"
	"github.com/nutmegdock/nutmegdock/internal/core/directory"
)

// shelf is the store of an archiver.
type shelf struct {
	mu     sync.Mutex
	values map[int]map[string][]byte
	reads  int
	// down fails all calls, and spoil changes the bytes of what is read.
	down, spoil bool
}

const (
	partitions = 8
	manifests  = -1
)

var errShelf = errors.New("store is down")

func (s *shelf) read(partition int) (map[string][]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, errShelf
	}
	if partition >= 0 {
		s.reads++
	}
	out := maps.Clone(s.values[partition])
	for key, v := range out {
		if v = append([]byte(nil), v...); s.spoil && partition >= 0 {
			v[len(v)-1] ^= 0xff
		}
		out[key] = v
	}
	return out, nil
}

func (s *shelf) write(partition int, values map[string][]byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return errShelf
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

func (s *shelf) archiver() *archiver.Archiver {
	return &archiver.Archiver{
		Partitions:    partitions,
		Read:          func(_ context.Context, p int, _ func(int)) (map[string][]byte, error) { return s.read(p) },
		Write:         func(_ context.Context, p int, values map[string][]byte) error { return s.write(p, values) },
		ReadManifests: func(context.Context) (map[string][]byte, error) { return s.read(manifests) },
		WriteManifest: func(_ context.Context, key string, v []byte) error {
			return s.write(manifests, map[string][]byte{key: v})
		},
	}
}

func never() bool { return false }

// archive brings a release into the store by one host.
func archive(t *testing.T, s *shelf, release directory.Serving) {
	c := hosts(t, &origin{}, 1, 0)[0]
	c.Archiver = s.archiver()
	fetch(t, release, c)
	c.Archive(t.Context(), release, func(int) bool { return true }, never)
}

// The whole fleet starts anew with the origin away: it has the release from the store, of which one copy is read.
func TestFleetThatLostPowerReadsTheStore(t *testing.T) {
	is := is.New(t)
	s, release := &shelf{}, directory.Serving{Model: "m", Release: 3}
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

// Whatever is wrong with the store, the origin gives the release.
func TestOriginStepsInForTheStore(t *testing.T) {
	for name, harm := range map[string]func(s *shelf){
		"store is down":                 func(s *shelf) { s.down = true },
		"chunks are spoilt":             func(s *shelf) { s.spoil = true },
		"chunks are missing":            func(s *shelf) { clear(s.values[2]) },
		"another release has its room":  func(s *shelf) { clear(s.values[manifests]) },
		"a record is not one of a host": func(s *shelf) { s.values[manifests]["m/manifest"] = []byte("x") },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, release := &shelf{}, directory.Serving{Model: "m", Release: 3}
			archive(t, s, release)
			harm(s)
			o := &origin{}
			c := hosts(t, o, 1, 0)[0]
			c.Archiver = s.archiver()
			fetch(t, release, c)
			is.True(o.reads.Load() > 0)
		})
	}
}

// Writes that fail are made again, and a release that was read from the store is not written back.
func TestKeepIsRepeatedUntilItIsWritten(t *testing.T) {
	is := is.New(t)
	s, release := &shelf{down: true}, directory.Serving{Model: "m", Release: 1}
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
