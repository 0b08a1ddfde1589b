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
func (w *Watcher) Run(ctx context.Context) error {
	if w.Wait == 0 {
		w.Wait = DefaultWait
	}
	if w.Pause == 0 {
		w.Pause = DefaultPause
	}
	var tasks errgroup.Group
	operator := w.watcher(w.Topics.Operator)
	operator.Wait, operator.Pause = w.Wait, operatorPause
	operator.Reset = func(values map[string][]byte) { w.operate(values, true) }
	operator.Apply = func(changes []watcher.Change) { w.operate(newest(changes), false) }
	tasks.Go(func() error { return operator.Run(ctx) })
	endpoints := w.watcher(w.Topics.Endpoints)
	endpoints.Pause = w.Pause
	endpoints.Heard = w.Tracker.Heard
	endpoints.Reset = w.resetEndpoints
	endpoints.Apply = w.applyEndpoints
	tasks.Go(func() error { return endpoints.Run(ctx) })
	if w.OnPeers != nil {
		peers := w.watcher(w.Topics.Status)
		peers.Wait, peers.Pause = peerWait, peerPause
		peers.Reset = func(values map[string][]byte) {
			w.peers = values
			w.OnPeers(maps.Clone(values))
		}
		peers.Apply = func(changes []watcher.Change) {
			maps.Copy(w.peers, newest(changes))
			w.OnPeers(maps.Clone(w.peers))
		}
		tasks.Go(func() error { return peers.Run(ctx) })
	}
	return tasks.Wait()
}

func (w *Watcher) watcher(topic string) *watcher.Watcher {
	return &watcher.Watcher{Topic: topic, Newest: w.Newest, Changes: w.Changes, Logger: w.Logger}
}

func newest(changes []watcher.Change) map[string][]byte {
	out := make(map[string][]byte, len(changes))
	for _, c := range changes {
		out[c.Key] = c.Value
	}
	return out
}

func (w *Watcher) operate(values map[string][]byte, isFirst bool) {
	for key, v := range values {
		switch {
		case len(v) == 0:
		case key == w.Topics.Directory:
			d, err := w.Decode.Directory(v)
			if err != nil {
				event.DirectoryInvalid.Log(w.Logger.WithError(err), nil)
				continue
			}
			if w.OnDirectory != nil {
				w.OnDirectory(d)
			}
		case strings.HasPrefix(key, w.Topics.Release):
			s, err := w.Decode.Release(v)
			if err != nil {
				event.ReleaseInvalid.Log(w.Logger.WithError(err).WithField("key", key), nil)
				continue
			}
			if !w.Tracker.SetRelease(s.Model, s.Release, isFirst) {
				continue
			}
			event.ReleaseKnown.Log(w.Logger.WithFields(log.Fields{"model": string(s.Model), "release": int64(s.Release), "first": isFirst}), nil)
			if w.OnRelease != nil {
				w.OnRelease(s)
			}
		}
	}
}

func (w *Watcher) resetEndpoints(values map[string][]byte) {
	var all []directory.Endpoint
	for id, v := range values {
		if e, ok := w.endpoint(id, v); ok {
			all = append(all, e)
		}
	}
	w.Tracker.Reset(all)
	w.tell()
}

func (w *Watcher) applyEndpoints(changes []watcher.Change) {
	for _, c := range changes {
		if len(c.Value) == 0 {
			event.EntryRemoved.Log(w.Logger.WithField("endpoint", c.Key), nil)
			w.Tracker.Drop(c.Key)
			continue
		}
		if e, ok := w.endpoint(c.Key, c.Value); ok {
			w.Tracker.Put(e)
		}
	}
	w.tell()
}

func (w *Watcher) tell() {
	if w.OnEndpoints != nil {
		w.OnEndpoints()
	}
}

func (w *Watcher) endpoint(id string, v []byte) (directory.Endpoint, bool) {
	e, err := w.Decode.Endpoint(id, v)
	if err != nil {
		w.Logger.WithError(err).WithField("endpoint", id).Debug("endpoint's entry names no endpoint to use")
		return e, false
	}
	return e, true
}
