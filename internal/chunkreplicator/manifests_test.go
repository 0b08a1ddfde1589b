package chunkreplicator_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/chunkreplicator"
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
					_, ok := heldChunk(r, s, i)
					is.True(ok)
				}
			}
			is.True(time.Since(startTime) < 10*time.Second)
			is.True(o.reads.Load() <= c.maxChunks)
			is.True(o.manifests.Load() <= c.maxManifests)
		})
	}
}

// foreignDigests put the digests of content that hosts hold for other places, or for the release before, into a manifest.
var foreignDigests = map[string]func(a *manifest.Artifact){
	"of the place before":       func(a *manifest.Artifact) { a.Chunks[7] = a.Chunks[6] },
	"of the place after":        func(a *manifest.Artifact) { a.Chunks[7] = a.Chunks[8] },
	"of one place at all":       func(a *manifest.Artifact) { fill(a.Chunks, a.Chunks[5]) },
	"exchanged":                 func(a *manifest.Artifact) { a.Chunks[7], a.Chunks[9] = a.Chunks[9], a.Chunks[7] },
	"of the release before":     func(a *manifest.Artifact) { a.Chunks[7] = manifestOf(former).Chunks[7] },
	"all of the release before": func(a *manifest.Artifact) { a.Chunks = manifestOf(former).Chunks },
}

var former = fleetconfig.ServedModel{Model: "m", Release: 1}

func fill(chunks []manifest.Chunk, c manifest.Chunk) {
	for i := range chunks {
		chunks[i] = c
	}
}

// Engines took a wrong chunk for good: an entry whose digest is that of other content which hosts hold counted as proven, was
// passed on, and was archived. Hosts get the right content for each place, in time, with few more reads of the origin.
func TestManifestsWithForeignDigestsAreReplaced(t *testing.T) {
	for name, spoil := range foreignDigests {
		for corrupt, maxTime := range map[int64]time.Duration{1: 4 * time.Second, 2: 6 * time.Second, 6: 8 * time.Second} {
			t.Run(fmt.Sprint(name, ", reads ", corrupt), func(t *testing.T) {
				t.Parallel()
				is := is.NewRelaxed(t)
				o, s := &origin{spoil: spoil}, &fakeStore{}
				all := hosts(t, o, 2, 3)
				all[0].Archiver = s.archiver()
				fetch(t, former, all...)
				o.corruptManifests.Store(corrupt)
				o.reads.Store(0)
				o.manifests.Store(0)
				release := fleetconfig.ServedModel{Model: "m", Release: 2}
				startTime := time.Now()
				fetch(t, release, all...)
				is.True(time.Since(startTime) < maxTime)
				for _, r := range all {
					checkHeld(t, r, release)
				}
				// The two seed hosts read the manifest, and each host may read it once more. Each seed host reads a chunk once, and
				// again for each manifest that it does not fit.
				is.True(o.manifests.Load() <= corrupt+2+int64(len(all)))
				if strings.HasPrefix(name, "of the") {
					is.True(o.reads.Load() <= 2*(chunks+2+corrupt))
				}
				// What the archive holds is right as well.
				all[0].Archive(t.Context(), release, func(int) bool { return true }, func() bool { return false })
				o.isDown.Store(true)
				restarted := hosts(t, o, 1, 0)[0]
				restarted.Archiver = s.archiver()
				fetch(t, release, restarted)
				checkHeld(t, restarted, release)
			})
		}
	}
}

// checkHeld checks that a host uses the right manifest of a release, and holds the right content for each place.
func checkHeld(t *testing.T, r *chunkreplicator.Replicator, s fleetconfig.ServedModel) {
	is := is.NewRelaxed(t)
	a, _, err := r.ResolveManifest(t.Context(), s)
	is.NoErr(err)
	is.Equal(a.Chunks, manifestOf(s).Bind().Chunks)
	for i, c := range a.Chunks {
		data, ok := r.HeldChunk(c.Digest)
		is.True(ok && bytes.Equal(data, content(s, i)))
	}
}

// An archived manifest whose entries are not bound to their places may have been archived by a program that took an entry for
// proven once any content matched it.
func TestUnboundManifestOfArchiveIsNotUsed(t *testing.T) {
	is := is.New(t)
	o, s := &origin{}, &fakeStore{}
	release := fleetconfig.ServedModel{Model: "m", Release: 2}
	a := manifestOf(release)
	a.Chunks[7] = a.Chunks[6]
	for p := range s.archiver().Partitions {
		is.NoErr(s.archiver().SavePartition(t.Context(), release, a, p, func(i int) ([]byte, bool) {
			return content(release, map[bool]int{true: 6, false: i}[i == 7]), true
		}))
	}
	r := hosts(t, o, 1, 0)[0]
	r.Archiver = s.archiver()
	fetch(t, release, r)
	checkHeld(t, r, release)
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
