// Package fleetwatcher follows the topics of the platform's store that describe the fleet.
package fleetwatcher

import (
	"context"
	"maps"
	"strings"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"github.com/nutmegdock/nutmegdock/internal/core/directory"
	"github.com/nutmegdock/nutmegdock/internal/core/fleettracker"
	"github.com/nutmegdock/nutmegdock/internal/event"
	"github.com/nutmegdock/nutmegdock/internal/watcher"
)

const (
	// DefaultWait is how long a call waits for a change of the operator: a connection that died in silence is noticed
	// within this time and that of a call, which is within the time for a change to be in force.
	DefaultWait = 700 * time.Millisecond
	// operatorPause: changes that follow within it share a call. It is a twentieth of the time for a change to be in force.
	operatorPause = 100 * time.Millisecond
	// DefaultPause is the time between two calls for the endpoints. Heartbeats come all the time, so the list is asked for
	// now and then, within half of the time in which
	// an endpoint that leaves must be known.
	DefaultPause = 600 * time.Millisecond
	// peerWait and peerPause: the list of entry hosts changes when hosts start. The pause is shorter than the time for which
	// a reader speaks for the store without a call to it.
	peerWait  = 10 * time.Second
	peerPause = 900 * time.Millisecond
)

// Topics names the topics of the store.
type Topics struct {
	Operator, Endpoints, Status string
	// Directory is the key of the configuration, and Release the prefix of the keys of releases.
	Directory, Release string
}

// Decoder decodes the records.
type Decoder struct {
	Directory func(data []byte) (*directory.Directory, error)
	Endpoint  func(id string, data []byte) (directory.Endpoint, error)
	Release   func(data []byte) (directory.Serving, error)
}

// Watcher follows the fleet. Set its fields before Run.
type Watcher struct {
	Topics Topics
	Decode Decoder
	// Newest and Changes read the store.
	Newest  func(ctx context.Context, topic string) (watcher.Image, error)
	Changes func(ctx context.Context, topic string, from int64, wait time.Duration) (watcher.Batch, error)
	// Wait is how long a call waits for a change of the operator, and Pause the time between two calls for the endpoints;
	// zero means the defaults.
	Wait, Pause time.Duration
	// Tracker takes endpoints and releases.
	Tracker *fleettracker.Tracker
	// OnDirectory, OnEndpoints, OnRelease and OnPeers are told of changes; each may be nil.
	OnDirectory func(d *directory.Directory)
	OnEndpoints func()
	OnRelease   func(s directory.Serving)
	OnPeers     func(values map[string][]byte)
	// Logger receives the changes.
	Logger log.Interface

	peers map[string][]byte
}

// Run follows until ctx ends.
func (f *Watcher) Run(ctx context.Context) error {
	if f.Wait == 0 {
		f.Wait = DefaultWait
	}
	if f.Pause == 0 {
		f.Pause = DefaultPause
	}
	var tasks errgroup.Group
	operator := f.watcher(f.Topics.Operator)
	operator.Wait, operator.Pause = f.Wait, operatorPause
	operator.Reset = func(values map[string][]byte) { f.operate(values, true) }
	operator.Apply = func(changes []watcher.Change) { f.operate(newest(changes), false) }
	tasks.Go(func() error { return operator.Run(ctx) })
	endpoints := f.watcher(f.Topics.Endpoints)
	endpoints.Pause = f.Pause
	endpoints.Heard = f.Tracker.Heard
	endpoints.Reset = f.resetEndpoints
	endpoints.Apply = f.applyEndpoints
	tasks.Go(func() error { return endpoints.Run(ctx) })
	if f.OnPeers != nil {
		peers := f.watcher(f.Topics.Status)
		peers.Wait, peers.Pause = peerWait, peerPause
		peers.Reset = func(values map[string][]byte) {
			f.peers = values
			f.OnPeers(maps.Clone(values))
		}
		peers.Apply = func(changes []watcher.Change) {
			maps.Copy(f.peers, newest(changes))
			f.OnPeers(maps.Clone(f.peers))
		}
		tasks.Go(func() error { return peers.Run(ctx) })
	}
	return tasks.Wait()
}

func (f *Watcher) watcher(topic string) *watcher.Watcher {
	return &watcher.Watcher{Topic: topic, Newest: f.Newest, Changes: f.Changes, Logger: f.Logger}
}

func newest(changes []watcher.Change) map[string][]byte {
	out := make(map[string][]byte, len(changes))
	for _, c := range changes {
		out[c.Key] = c.Value
	}
	return out
}

func (f *Watcher) operate(values map[string][]byte, isFirst bool) {
	for key, v := range values {
		switch {
		case len(v) == 0:
		case key == f.Topics.Directory:
			d, err := f.Decode.Directory(v)
			if err != nil {
				event.DirectoryInvalid.Log(f.Logger.WithError(err), nil)
				continue
			}
			if f.OnDirectory != nil {
				f.OnDirectory(d)
			}
		case strings.HasPrefix(key, f.Topics.Release):
			s, err := f.Decode.Release(v)
			if err != nil {
				event.ReleaseInvalid.Log(f.Logger.WithError(err).WithField("key", key), nil)
				continue
			}
			if !f.Tracker.SetRelease(s.Model, s.Release, isFirst) {
				continue
			}
			event.ReleaseKnown.Log(f.Logger.WithFields(log.Fields{"model": string(s.Model), "release": int64(s.Release), "first": isFirst}), nil)
			if f.OnRelease != nil {
				f.OnRelease(s)
			}
		}
	}
}

func (f *Watcher) resetEndpoints(values map[string][]byte) {
	var all []directory.Endpoint
	for id, v := range values {
		if e, ok := f.endpoint(id, v); ok {
			all = append(all, e)
		}
	}
	f.Tracker.Reset(all)
	f.tell()
}

func (f *Watcher) applyEndpoints(changes []watcher.Change) {
	for _, c := range changes {
		if len(c.Value) == 0 {
			event.EntryRemoved.Log(f.Logger.WithField("endpoint", c.Key), nil)
			f.Tracker.Drop(c.Key)
			continue
		}
		if e, ok := f.endpoint(c.Key, c.Value); ok {
			f.Tracker.Put(e)
		}
	}
	f.tell()
}

func (f *Watcher) tell() {
	if f.OnEndpoints != nil {
		f.OnEndpoints()
	}
}

func (f *Watcher) endpoint(id string, v []byte) (directory.Endpoint, bool) {
	e, err := f.Decode.Endpoint(id, v)
	if err != nil {
		f.Logger.WithError(err).WithField("endpoint", id).Debug("endpoint's entry names no endpoint to use")
		return e, false
	}
	return e, true
}
