package stocker

import (
	"context"
	"fmt"

	"github.com/nutmegdock/nutmegdock/internal/core/directory"
	"github.com/nutmegdock/nutmegdock/internal/core/manifest"
	"github.com/nutmegdock/nutmegdock/internal/messages"
	"github.com/nutmegdock/nutmegdock/internal/rpc"
)

func (h *Host) askManifest(ctx context.Context, control string, s directory.Serving) (manifest.Artifact, error) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	q := messages.ManifestQuery{Model: string(s.Model), Release: int64(s.Release)}
	a, err := rpc.Call[messages.ManifestAnswer](ctx, h.controls.Client(control), messages.ManifestMethod, q)
	if err != nil {
		return a.Manifest, err
	}
	if !a.Known {
		return a.Manifest, fmt.Errorf("host %s has no manifest of release %d of %s", control, s.Release, s.Model)
	}
	return a.Manifest, a.Manifest.Check()
}

// answerManifest gives a manifest that this host has.
func (h *Host) answerManifest(_ context.Context, q messages.ManifestQuery) (messages.ManifestAnswer, error) {
	h.mu.Lock()
	d, ok := h.digest[directory.Serving{Model: directory.Model(q.Model), Release: directory.Release(q.Release)}]
	h.mu.Unlock()
	if !ok {
		return messages.ManifestAnswer{}, nil
	}
	a, ok := h.holder.Artifact(d)
	return messages.ManifestAnswer{Known: ok, Manifest: a}, nil
}
