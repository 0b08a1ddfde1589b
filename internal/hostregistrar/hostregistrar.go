// Package hostregistrar keeps the list of entry hosts, which write their own entries in the store.
package hostregistrar

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/event"
)

const (
	prefix = "entry/"
	// retryTime is the pause after a failed write.
	retryTime = 500 * time.Millisecond
	callTime  = 2 * time.Second
)

// Entry is the record of one entry host. Address is where it hears of the others' loads; its IP address names the host.
type Entry struct {
	Zone    ident.Zone     `json:"zone"`
	Address netip.AddrPort `json:"address"`
	// Link is the bandwidth of the host's link in Mbit/s.
	Link float64 `json:"link,omitempty"`
}

// Host returns the name by which the host carries chunks.
func (e Entry) Host() ident.Host {
	return ident.Host(e.Address.Addr().String())
}

// Parse returns the entries among the values of the list. Those that do not parse are logged and left out.
func Parse(values map[string][]byte, l log.Interface) []Entry {
	var out []Entry
	for k, v := range values {
		if !strings.HasPrefix(k, prefix) || len(v) == 0 {
			continue
		}
		var e Entry
		if err := json.Unmarshal(v, &e); err != nil {
			event.EntryInvalid.Log(l.WithError(err).WithField("key", k), nil)
			continue
		}
		out = append(out, e)
	}
	return out
}

// Registrar writes the entry of one host. Set its fields before Run.
type Registrar struct {
	// Self is the entry.
	Self Entry
	// Put writes a value to the store.
	Put func(ctx context.Context, key string, value []byte) error
	// Logger receives failed writes.
	Logger log.Interface
}

// Run returns when the write is acknowledged or ctx ends. A write may be made twice; that does no harm.
func (r *Registrar) Run(ctx context.Context) error {
	value, err := json.Marshal(r.Self)
	if err != nil {
		return fmt.Errorf("encode own entry: %w", err)
	}
	for ctx.Err() == nil {
		err := r.put(ctx, value)
		if err == nil {
			return nil
		}
		event.HostNotEnrolled.Log(r.Logger.WithError(err), nil)
		select {
		case <-ctx.Done():
		case <-time.After(retryTime):
		}
	}
	return nil
}

func (r *Registrar) put(ctx context.Context, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	return r.Put(ctx, prefix+string(r.Self.Host()), value)
}
