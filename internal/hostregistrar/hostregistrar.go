// Package hostregistrar maintains the list of entry hosts. Each host writes its own entry to the store.
package hostregistrar

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/event"
)

const (
	keyPrefix = "entry/"
	// retryDelay is the pause after a failed write.
	retryDelay   = 500 * time.Millisecond
	writeTimeout = 2 * time.Second
	// maxRewriteDelay spreads the writes of all hosts after the store has been restored.
	maxRewriteDelay = time.Second
)

// Entry is the record of one entry host. Address receives the load messages of the other hosts; its IP address names
// the host.
type Entry struct {
	Zone    ident.Zone     `json:"zone"`
	Address netip.AddrPort `json:"address"`
	// LinkMbps is the bandwidth of the host's network link in Mbit/s.
	LinkMbps float64 `json:"link,omitempty"`
}

// Host returns the name under which the host serves chunks.
func (e Entry) Host() ident.Host {
	return ident.Host(e.Address.Addr().String())
}

// ParseEntries returns the entries among values. It logs and skips those that cannot be parsed.
func ParseEntries(values map[string][]byte, l log.Interface) []Entry {
	var out []Entry
	for k, v := range values {
		if !strings.HasPrefix(k, keyPrefix) || len(v) == 0 {
			continue
		}
		var e Entry
		err := json.Unmarshal(v, &e)
		if a := e.Address.Addr(); err == nil && (!a.IsValid() || a.IsUnspecified() || a.IsMulticast() || e.Address.Port() == 0) {
			err = fmt.Errorf("address %s cannot be connected to", e.Address)
		}
		if err != nil {
			event.EntryHostInvalid.Log(l.WithError(err).WithField("key", k), nil)
			continue
		}
		out = append(out, e)
	}
	return out
}

// Registrar writes the entry of one host. Set its fields before Run.
type Registrar struct {
	// Entry is the entry of this host.
	Entry Entry
	// Put writes a value to the store.
	Put func(ctx context.Context, key string, value []byte) error
	// Restored signals that the store has been restored from an older copy, which may lack the entry. Nil means never.
	Restored <-chan struct{}
	// Logger receives the log events of failed writes.
	Logger log.Interface
}

// Run writes the entry, with retries, until the write is acknowledged, and again each time the store has been restored,
// until ctx ends. Writing it twice is harmless.
func (r *Registrar) Run(ctx context.Context) error {
	value, err := json.Marshal(r.Entry)
	if err != nil {
		return fmt.Errorf("encode entry of this host: %w", err)
	}
	for ctx.Err() == nil {
		if err := r.put(ctx, value); err != nil {
			event.HostRegistrationFailed.Log(r.Logger.WithError(err), nil)
			sleep(ctx, retryDelay)
			continue
		}
		if r.Restored == nil {
			return nil
		}
		select {
		case <-ctx.Done():
		case <-r.Restored:
			sleep(ctx, rand.N(maxRewriteDelay))
		}
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (r *Registrar) put(ctx context.Context, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return r.Put(ctx, keyPrefix+string(r.Entry.Host()), value)
}
