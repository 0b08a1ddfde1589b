package manifestverifier_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/manifest"
	"github.com/nutmegdock/nutmegdock/internal/core/manifestverifier"
	"github.com/nutmegdock/nutmegdock/internal/rapidtest"
)

const (
	chunkBytes = 8
	// step is the time between two actions of each host.
	step = 100 * time.Millisecond
)

func digest(number int) ident.Digest {
	return manifest.DigestOf([]byte(fmt.Sprint("chunk", number)))
}

// newManifest returns the manifest of a release, with the given entries corrupt.
func newManifest(chunks int, corrupt ...int) manifest.Artifact {
	a := manifest.Artifact{Name: "m", Version: "2"}
	for i := range chunks {
		c := manifest.Chunk{Digest: digest(i), Size: chunkBytes}
		if slices.Contains(corrupt, i) {
			c.Digest = manifest.DigestOf([]byte(fmt.Sprint("corrupt", i)))
		}
		a.Chunks = append(a.Chunks, c)
		a.Size += c.Size
	}
	return a
}

// host is a host that fetches a release of some chunks.
type host struct {
	verifier *manifestverifier.Verifier
	held     map[ident.Digest]bool
	isSeed   bool
}

func (h *host) restart() {
	h.held = make(map[ident.Digest]bool)
	h.verifier = &manifestverifier.Verifier{IsHeld: func(c manifest.Chunk) bool { return h.held[c.Digest] && c.Size == chunkBytes }}
}

// readOrigin reads one missing chunk from the origin. A corrupt read matches nothing.
func (h *host) readOrigin(number int, isCorrupt bool) {
	a, _ := h.verifier.Manifest()
	if c := a.Chunks[number]; !isCorrupt && c.Digest == digest(number) {
		h.held[c.Digest] = true
	} else {
		h.verifier.RecordMismatch(number, c)
	}
}

// A corrupt chunk must not cost another read of the manifest, and a corrupt digest must not cost one for each read of a chunk.
func TestManifestIsReadAgainAfterRepeatedMismatch(t *testing.T) {
	is := is.New(t)
	h := &host{}
	h.restart()
	h.verifier.RecordOrigin(newManifest(4, 1))
	now := time.Unix(0, 0)
	h.readOrigin(0, true)
	h.readOrigin(0, false)
	h.readOrigin(1, false)
	is.Equal(h.verifier.Next(now), manifestverifier.Wait)
	h.readOrigin(1, false)
	is.Equal(h.verifier.Next(now), manifestverifier.ReadOrigin)
	is.Equal(h.verifier.RecordOrigin(newManifest(4, 1, 2)), 1) // corrupt again, and in one more entry
	reads := 0
	for until := now.Add(20 * time.Second); now.Before(until); now = now.Add(step) {
		h.readOrigin(1, false)
		if h.verifier.Next(now) == manifestverifier.ReadOrigin {
			reads++
			h.verifier.RecordOrigin(newManifest(4, 1, 2))
		}
	}
	is.True(reads >= 3)
	is.True(reads <= 6)
	is.Equal(h.verifier.RecordOrigin(newManifest(4)), 2)
	is.Equal(h.verifier.Matched(), []int{0})
}

// Entries that content has matched must stay, whatever another host or the origin says.
func TestProvenEntriesStay(t *testing.T) {
	for name, c := range map[string]struct {
		record func(v *manifestverifier.Verifier) int
		want   manifest.Artifact
	}{
		"origin":                      {func(v *manifestverifier.Verifier) int { return v.RecordOrigin(newManifest(3, 0)) }, newManifest(3)},
		"host without proof":          {func(v *manifestverifier.Verifier) int { return v.RecordHost(newManifest(3), []int{0}) }, newManifest(3, 1)},
		"host with proof":             {func(v *manifestverifier.Verifier) int { return v.RecordHost(newManifest(3, 0, 2), []int{1}) }, newManifest(3)},
		"other length without proof":  {func(v *manifestverifier.Verifier) int { return v.RecordHost(newManifest(2), []int{0}) }, newManifest(3, 1)},
		"other length with proof":     {func(v *manifestverifier.Verifier) int { return v.RecordHost(newManifest(2), []int{0, 1}) }, newManifest(2)},
		"other length of the origin":  {func(v *manifestverifier.Verifier) int { return v.RecordOrigin(newManifest(4)) }, newManifest(4)},
		"numbers beyond the manifest": {func(v *manifestverifier.Verifier) int { return v.RecordHost(newManifest(3, 1), []int{7, -1}) }, newManifest(3, 1)},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := &host{}
			h.restart()
			h.verifier.RecordOrigin(newManifest(3, 1))
			h.readOrigin(0, false)
			c.record(h.verifier)
			got, _ := h.verifier.Manifest()
			is.Equal(got, c.want)
		})
	}
}

// Corrupt manifests of the origin, of one host or of all, must not keep any host from the release once the origin is sound,
// in any order of reads, kills and restarts.
func TestStateCorruptManifestsAreReplaced(t *testing.T) {
	rapidtest.Check(t, func(_ *testing.T, rt *rapid.T) {
		const chunks = 6
		now := time.Unix(0, 0)
		originReads := 0
		hosts := make([]*host, rapid.IntRange(1, 5).Draw(rt, "hosts"))
		for i := range hosts {
			hosts[i] = &host{isSeed: i < 2}
			hosts[i].restart()
		}
		readManifest := func(corrupt []int) manifest.Artifact { originReads++; return newManifest(chunks, corrupt...) }
		// act has a host fetch a chunk and do what is due. Hosts that are no seeds read what a seed holds.
		act := func(h *host, number, peer int, corrupt []int, isCorrupt bool) {
			if _, ok := h.verifier.Manifest(); !ok {
				if a, ok := hosts[peer].verifier.Manifest(); ok && !h.isSeed {
					h.verifier.RecordHost(a, hosts[peer].verifier.Matched())
				} else {
					h.verifier.RecordOrigin(readManifest(corrupt))
				}
			}
			a, _ := h.verifier.Manifest()
			switch {
			case hosts[peer].held[a.Chunks[number].Digest]:
				h.held[a.Chunks[number].Digest] = true
			case h.isSeed:
				h.readOrigin(number, isCorrupt)
			}
			switch h.verifier.Next(now) {
			case manifestverifier.ReadOrigin:
				h.verifier.RecordOrigin(readManifest(corrupt))
			case manifestverifier.QueryHosts:
				if a, ok := hosts[peer].verifier.Manifest(); ok {
					h.verifier.RecordHost(a, hosts[peer].verifier.Matched())
				}
			case manifestverifier.Wait:
			}
			now = now.Add(step / time.Duration(len(hosts)))
		}
		for range rapid.IntRange(0, 80).Draw(rt, "steps") {
			h := hosts[rapid.IntRange(0, len(hosts)-1).Draw(rt, "host")]
			if rapid.IntRange(0, 19).Draw(rt, "restarts") == 0 {
				h.restart()
			}
			act(h, rapid.IntRange(0, chunks-1).Draw(rt, "chunk"), rapid.IntRange(0, len(hosts)-1).Draw(rt, "peer"),
				rapid.SliceOfN(rapid.IntRange(0, chunks-1), 0, 2).Draw(rt, "corrupt"), rapid.Bool().Draw(rt, "isCorrupt"))
		}
		originReads = 0
		for n := range 300 { // 30 s
			for i, h := range hosts {
				act(h, n%chunks, (n/chunks+i)%len(hosts), nil, false)
			}
		}
		for i, h := range hosts {
			if a, _ := h.verifier.Manifest(); len(h.verifier.Matched()) != chunks || !slices.Equal(a.Chunks, newManifest(chunks).Chunks) {
				rt.Fatalf("host %d of %d (seed %t) has proven only %v of %v", i, len(hosts), h.isSeed, h.verifier.Matched(), a.Chunks)
			}
		}
		if originReads > 2*len(hosts) {
			rt.Fatalf("%d hosts read the manifest from the origin %d times", len(hosts), originReads)
		}
	})
}
