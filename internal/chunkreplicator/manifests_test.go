package chunkreplicator_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/manifest"
)

// Corrupt manifests from the origin must not keep hosts from a release for good: each host gets all chunks, the chunks that
// match are not read twice, and the manifest that replaces the corrupt one costs few reads.
func TestCorruptManifestsAreReplaced(t *testing.T) {
	for name, c := range map[string]struct {
		seeds, others int
		corrupt       int64
		spoil         func(a *manifest.Artifact)
		// maxChunks and maxManifests bound what is read from the origin.
		maxChunks, maxManifests int64
	}{
		"one host alone":             {seeds: 1, corrupt: 1, maxChunks: chunks + 2, maxManifests: 2},
		"all seed hosts":             {seeds: 2, others: 3, corrupt: 2, maxChunks: chunks + 4, maxManifests: 4},
		"one seed host of two":       {seeds: 2, others: 2, corrupt: 1, maxChunks: 2*chunks + 4, maxManifests: 4},
		"the second read as well":    {seeds: 1, others: 1, corrupt: 2, maxChunks: chunks + 4, maxManifests: 3},
		"hosts without a seed host":  {others: 3, corrupt: 3, maxChunks: 3*chunks + 6, maxManifests: 6},
		"a size that is too large":   {seeds: 1, others: 1, corrupt: 1, spoil: func(a *manifest.Artifact) { resize(a, 2*chunkBytes) }, maxChunks: chunks, maxManifests: 2},
		"a size that is too small":   {seeds: 1, others: 1, corrupt: 1, spoil: func(a *manifest.Artifact) { resize(a, chunkBytes/2) }, maxChunks: chunks, maxManifests: 2},
		"an entry that is not there": {seeds: 1, others: 1, corrupt: 1, spoil: func(a *manifest.Artifact) { a.Chunks = a.Chunks[1:]; resize(a, chunkBytes) }, maxChunks: chunks, maxManifests: 2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			o := &origin{spoil: c.spoil}
			o.corruptManifests.Store(c.corrupt)
			all := hosts(t, o, c.seeds, c.others)
			s := fleetconfig.ServedModel{Model: "m", Release: 2}
			startTime := time.Now()
			fetch(t, s, all...)
			for _, r := range all {
				for i := range chunks {
					_, ok := r.HeldChunk(manifest.DigestOf(content(s, i)))
					is.True(ok)
				}
			}
			is.True(time.Since(startTime) < 10*time.Second)
			is.True(o.reads.Load() <= c.maxChunks)
			is.True(o.manifests.Load() <= c.maxManifests)
		})
	}
}

// A manifest that no content has matched must not be written to the store.
func TestUnprovenManifestIsNotArchived(t *testing.T) {
	is := is.New(t)
	o, s := &origin{}, &fakeStore{}
	o.corruptManifests.Store(1)
	r := hosts(t, o, 1, 0)[0]
	r.Archiver = s.archiver()
	release := fleetconfig.ServedModel{Model: "m", Release: 2}
	_, _, err := r.ResolveManifest(t.Context(), release)
	is.NoErr(err)
	isOver := time.Now().Add(200 * time.Millisecond)
	r.Archive(t.Context(), release, func(int) bool { return true }, func() bool { return time.Now().After(isOver) })
	values, err := s.read(manifests)
	is.NoErr(err)
	is.Equal(len(values), 0)
}

func resize(a *manifest.Artifact, size int) {
	a.Size = 0
	for i := range a.Chunks {
		a.Chunks[i].Size = ident.Bytes(size)
		a.Size += a.Chunks[i].Size
	}
}
