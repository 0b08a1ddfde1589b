// Package fleetwatcher follows the topics of the platform's store that describe the fleet.
package fleetwatcher

import (
	"cmp"
	"context"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"github.com/nutmegdock/nutmegdock/internal/core/evacuationtracker"
	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/fleettracker"
	"github.com/nutmegdock/nutmegdock/internal/event"
	"github.com/nutmegdock/nutmegdock/internal/messages"
	"github.com/nutmegdock/nutmegdock/internal/recordpacker"
	"github.com/nutmegdock/nutmegdock/internal/watcher"
)

const (
	// DefaultOperatorWait is how long a call waits for a change by the operator. A broken connection is detected
	// within this time plus the timeout of a call, which together are shorter than the time within which a change
	// must be in force.
	DefaultOperatorWait = 700 * time.Millisecond
	// operatorPause is the pause between two calls for changes by the operator; changes within it are returned by a
	// single call. It is a twentieth of the time within which a change must be in force.
	operatorPause = 100 * time.Millisecond
	// DefaultEndpointPause is the time between two calls for the endpoints. Heartbeats change the topic constantly,
	// so it is polled instead. The pause is at most half of the time within which the departure of an endpoint must be
	// known.
	DefaultEndpointPause = 600 * time.Millisecond
	// relayedEndpointPause is the time between two calls for the endpoints to another host, which wait for changes.
	relayedEndpointPause = 150 * time.Millisecond
	// peerWait and peerPause are the wait of a call for the list of entry hosts, which changes when hosts start, and
	// the pause between two calls. The pause is shorter than the time for which a reader may relay records without a
	// call to the store.
	peerWait  = 10 * time.Second
	peerPause = 900 * time.Millisecond
	// storeCallTime is the time that a call to the store takes.
	storeCallTime = 100 * time.Millisecond
)

// Topics names the topics of the store.
type Topics struct {
	Operator, Endpoints, Status string
	// ConfigKey is the key of the configuration, and ReleaseKeyPrefix the prefix of the keys of releases.
	ConfigKey, ReleaseKeyPrefix string
	// EvacuationKeyPrefix is the prefix of the keys of evacuated zones; the name of the zone follows.
	EvacuationKeyPrefix string
}

// Decoder decodes the records.
type Decoder struct {
	Config   func(data []byte) (*fleetconfig.Config, error)
	Endpoint func(id string, data []byte) (fleetconfig.Endpoint, error)
	Release  func(data []byte) (fleetconfig.ServedModel, error)
}

// Watcher follows the fleet. Set its fields before Run.
type Watcher struct {
	Topics  Topics
	Decoder Decoder
	// ReadSnapshot reads a snapshot of a topic from the store, and ReadChanges the changes from an offset on.
	ReadSnapshot func(ctx context.Context, topic string) (watcher.Snapshot, error)
	ReadChanges  func(ctx context.Context, topic string, epoch watcher.Epoch, from int64, wait time.Duration) (watcher.Batch, error)
	// OperatorWait is how long a call waits for a change by the operator, and EndpointPause the time between two calls for
	// the endpoints; zero selects the defaults.
	OperatorWait, EndpointPause time.Duration
	// CallTimeout limits a call in addition to the time for which it waits; zero selects the default of watcher.Watcher.
	CallTimeout time.Duration
	// Tracker receives endpoints and releases.
	Tracker *fleettracker.Tracker
	// Evacuations receives the evacuated zones; nil if they are not followed.
	Evacuations *evacuationtracker.Tracker
	// OnConfig, OnEndpoints, OnRelease and OnPeers are called on changes; each may be nil. OnConfig
	// reports whether the configuration is newer than the one in force.
	OnConfig    func(config *fleetconfig.Config) (isNewer bool)
	OnEndpoints func()
	OnRelease   func(s fleetconfig.ServedModel)
	OnPeers     func(values map[string][]byte)
	// OnRestore is called when the store has been restored from an older copy, so that what this host wrote may be gone.
	OnRestore func()
	// InitialStatus is a snapshot of the status topic that was read before Run, or nil.
	InitialStatus *watcher.Snapshot
	// Logger receives the log events of changes.
	Logger log.Interface

	peers map[string][]byte

	mu sync.Mutex // guards the fields below
	// newestOperatorValues holds the newest configuration and releases as they were read.
	newestOperatorValues map[string][]byte
	// packedNewest holds them packed; nil if they have changed since.
	packedNewest *recordpacker.Packer
	// operatorReadAt and endpointsReadAt are when the topics were last read.
	operatorReadAt, endpointsReadAt time.Time
}

// Newest returns the newest state that this host has seen, for a host that starts.
func (w *Watcher) Newest(context.Context, struct{}) (messages.NewestResponse, error) {
	w.mu.Lock()
	values := maps.Clone(w.newestOperatorValues)
	if w.packedNewest == nil {
		w.packedNewest = &recordpacker.Packer{}
		for key, value := range values {
			w.packedNewest.Records = append(w.packedNewest.Records, watcher.Change{Key: key, Value: value})
		}
	}
	packed := w.packedNewest
	w.mu.Unlock()
	data, isCompressed, err := packed.Pack()
	return messages.NewestResponse{Values: values, Data: data, Compressed: isCompressed, Departures: w.Tracker.Departures()}, err
}

// AddNewest applies the state that another host has seen. It must be called before Run: the store may have been
// restored from an older copy a moment ago.
func (w *Watcher) AddNewest(resp messages.NewestResponse) {
	w.Tracker.AddDepartures(resp.Departures)
	w.applyOperatorValues(resp.Values, true, 0)
	if w.Evacuations != nil {
		w.Evacuations.AddNewest(w.evacuatedZones(resp.Values))
	}
}

func (w *Watcher) setNewestOperatorValue(key string, value []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.newestOperatorValues == nil {
		w.newestOperatorValues = make(map[string][]byte)
	}
	w.newestOperatorValues[key] = value
	w.packedNewest = nil
}

// Period returns the longest time between two answers of the store for a topic to a host that reads it.
func (w *Watcher) Period(topic string) time.Duration {
	switch topic {
	case w.Topics.Operator:
		return w.operatorWait() + operatorPause + storeCallTime
	case w.Topics.Endpoints:
		return w.endpointPause() + storeCallTime
	}
	return peerWait + peerPause + storeCallTime
}

func (w *Watcher) operatorWait() time.Duration {
	return cmp.Or(w.OperatorWait, DefaultOperatorWait)
}

func (w *Watcher) endpointPause() time.Duration {
	return cmp.Or(w.EndpointPause, DefaultEndpointPause)
}

// Run follows the topics until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	var tasks errgroup.Group
	operator := w.newWatcher(w.Topics.Operator)
	operator.Wait, operator.Pause = w.operatorWait(), operatorPause
	operator.OnResult = w.recordOperatorRead
	operator.OnNewEpoch = func(watcher.Epoch) {
		if w.Evacuations != nil {
			w.Evacuations.RecordRestore()
		}
	}
	operator.ApplySnapshot = func(values map[string][]byte) {
		w.applyOperatorValues(values, true, 0)
		w.replaceEvacuations(values)
	}
	operator.ApplyChanges = func(changes []watcher.Change) {
		values := latestValues(changes)
		w.applyOperatorValues(values, false, longestDelay(changes))
		w.applyEvacuations(values)
	}
	tasks.Go(func() error { return operator.Run(ctx) })
	endpoints := w.newWatcher(w.Topics.Endpoints)
	endpoints.Pause, endpoints.RelayedPause = w.endpointPause(), relayedEndpointPause
	endpoints.OnResult = w.recordEndpointRead
	endpoints.OnNewEpoch = func(watcher.Epoch) { w.Tracker.RecordRestore() }
	endpoints.ApplySnapshot = w.resetEndpoints
	endpoints.ApplyChanges = w.applyEndpoints
	tasks.Go(func() error { return endpoints.Run(ctx) })
	if w.OnPeers != nil {
		peers := w.newWatcher(w.Topics.Status)
		peers.Wait, peers.Pause = peerWait, peerPause
		peers.ReadSnapshot = w.readStatus
		peers.OnNewEpoch = func(watcher.Epoch) {
			if w.OnRestore != nil {
				w.OnRestore()
			}
		}
		peers.ApplySnapshot = func(values map[string][]byte) {
			w.peers = values
			w.OnPeers(maps.Clone(values))
		}
		peers.ApplyChanges = func(changes []watcher.Change) {
			maps.Copy(w.peers, latestValues(changes))
			w.OnPeers(maps.Clone(w.peers))
		}
		tasks.Go(func() error { return peers.Run(ctx) })
	}
	return tasks.Wait()
}

// readStatus returns the snapshot that was read before Run, once, and then reads the store.
func (w *Watcher) readStatus(ctx context.Context, topic string) (watcher.Snapshot, error) {
	if initial := w.InitialStatus; initial != nil {
		w.InitialStatus = nil
		return *initial, nil
	}
	return w.ReadSnapshot(ctx, topic)
}

func (w *Watcher) newWatcher(topic string) *watcher.Watcher {
	return &watcher.Watcher{Topic: topic, ReadSnapshot: w.ReadSnapshot, ReadChanges: w.ReadChanges, CallTimeout: w.CallTimeout, Logger: w.Logger}
}

func latestValues(changes []watcher.Change) map[string][]byte {
	out := make(map[string][]byte, len(changes))
	for _, c := range changes {
		out[c.Key] = c.Value
	}
	return out
}

// longestDelay returns the longest delay of the changes.
func longestDelay(changes []watcher.Change) (longest time.Duration) {
	for _, c := range changes {
		longest = max(longest, c.Delay)
	}
	return longest
}

// applyOperatorValues applies configurations and releases. delay is how long ago they may have been written, unless they
// are of a snapshot.
func (w *Watcher) applyOperatorValues(values map[string][]byte, isSnapshot bool, delay time.Duration) {
	for key, value := range values {
		switch {
		case len(value) == 0:
		case key == w.Topics.ConfigKey:
			config, err := w.Decoder.Config(value)
			if err != nil {
				event.ConfigInvalid.Log(w.Logger.WithError(err), nil)
				continue
			}
			if w.OnConfig != nil && w.OnConfig(config) {
				w.setNewestOperatorValue(key, value)
			}
		case strings.HasPrefix(key, w.Topics.ReleaseKeyPrefix):
			serving, err := w.Decoder.Release(value)
			if err != nil {
				event.ReleaseInvalid.Log(w.Logger.WithError(err).WithField("key", key), nil)
				continue
			}
			if !w.Tracker.AddRelease(serving.Model, serving.Release, isSnapshot, delay) {
				continue
			}
			w.setNewestOperatorValue(key, value)
			event.ReleaseFound.Log(w.Logger.WithFields(log.Fields{"model": string(serving.Model), "release": int64(serving.Release), "first": isSnapshot, "delay": delay.Milliseconds()}), nil)
			if w.OnRelease != nil {
				w.OnRelease(serving)
			}
		}
	}
}

func (w *Watcher) resetEndpoints(values map[string][]byte) {
	var all []fleetconfig.Endpoint
	for id, v := range values {
		if e, ok := w.decodeEndpoint(id, v); ok {
			all = append(all, e)
		}
	}
	w.Tracker.Replace(all)
	w.notifyEndpoints()
}

func (w *Watcher) applyEndpoints(changes []watcher.Change) {
	for _, c := range changes {
		if len(c.Value) == 0 {
			event.EndpointRemoved.Log(w.Logger.WithField("endpoint", c.Key), nil)
			w.Tracker.Remove(c.Key)
			continue
		}
		if e, ok := w.decodeEndpoint(c.Key, c.Value); ok {
			w.Tracker.Put(e)
		}
	}
	w.notifyEndpoints()
}

func (w *Watcher) notifyEndpoints() {
	if w.OnEndpoints != nil {
		w.OnEndpoints()
	}
}

func (w *Watcher) decodeEndpoint(id string, value []byte) (fleetconfig.Endpoint, bool) {
	e, err := w.Decoder.Endpoint(id, value)
	if err != nil {
		w.Logger.WithError(err).WithField("endpoint", id).Debug("skipping endpoint: entry is invalid or incomplete")
		return e, false
	}
	e.ReadAt = time.Now()
	return e, true
}
