package fetcher

import (
	"errors"
	"net/http"
	"sync/atomic"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/nutmegdock/nutmegdock/internal/core/chunkcache"
	"github.com/nutmegdock/nutmegdock/internal/core/fetchplanner"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/event"
	"github.com/nutmegdock/nutmegdock/internal/messages"
	"github.com/nutmegdock/nutmegdock/internal/weightclient"
)

func outcomeOf(err error) fetchplanner.Outcome {
	var corrupt *chunkcache.CorruptError
	var response *weightclient.StatusError
	switch {
	case err == nil:
		return fetchplanner.Stored
	case errors.As(err, &corrupt):
		return fetchplanner.Corrupt
	case errors.As(err, &response) && response.Status == http.StatusServiceUnavailable:
		return fetchplanner.Busy
	}
	return fetchplanner.Failed
}

func logCorrupt(l log.Interface, source string, d ident.Digest) {
	event.ChunkCorrupt.Log(l, log.Fields{"source": source, "chunk": d})
}

// byteCounts counts the chunk bytes received by kind of source, and the chunks that were dropped as corrupt.
type byteCounts struct {
	zone, region, remote, store, origin atomic.Int64
	corrupt                             atomic.Int64
}

func (c *byteCounts) add(self Peer, source fetchplanner.Source, peer Peer, n ident.Bytes) {
	switch {
	case source.Host == "" && source.ExternalIndex == 0:
		c.store.Add(int64(n))
	case source.Host == "":
		c.origin.Add(int64(n))
	case peer.Zone == self.Zone:
		c.zone.Add(int64(n))
	case peer.Region == self.Region:
		c.region.Add(int64(n))
	default:
		c.remote.Add(int64(n))
	}
}

// ReceivedBytes returns the chunk bytes received by kind of source.
func (f *Fetcher) ReceivedBytes() messages.SourceBytes {
	c := &f.received
	return messages.SourceBytes{
		SameZone: ident.Bytes(c.zone.Load()), SameRegion: ident.Bytes(c.region.Load()), OtherRegions: ident.Bytes(c.remote.Load()),
		Store: ident.Bytes(c.store.Load()), Origin: ident.Bytes(c.origin.Load()),
	}
}

// Register registers the fetcher's metrics.
func (f *Fetcher) Register(r prometheus.Registerer) {
	c := &f.received
	for name, n := range map[string]*atomic.Int64{
		"zone": &c.zone, "region": &c.region, "remote": &c.remote, "store": &c.store, "origin": &c.origin,
	} {
		r.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "nutmegdock_weights_received_bytes_total", Help: "Chunk bytes received, by source.",
			ConstLabels: prometheus.Labels{"source": name},
		}, func() float64 { return float64(n.Load()) }))
	}
	r.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "nutmegdock_weights_corrupt_total", Help: "Chunks dropped because they did not match their digest.",
	}, func() float64 { return float64(c.corrupt.Load()) }))
	r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "nutmegdock_weights_missing_chunks", Help: "Chunks of the wanted weight set that are not held.",
	}, func() float64 {
		have, total := f.Progress()
		return float64(total - have)
	}))
}
