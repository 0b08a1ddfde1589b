package chunkcache

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/manifest"
)

// artifact returns an artifact with the given chunk contents, and the digest of its manifest.
func artifact(contents ...string) (ident.Digest, manifest.Artifact) {
	a := manifest.Artifact{Name: "m", Version: "1"}
	for _, c := range contents {
		a.Chunks = append(a.Chunks, manifest.Chunk{Digest: manifest.DigestOf([]byte(c)), Size: ident.Bytes(len(c))})
		a.Size += ident.Bytes(len(c))
	}
	data, _ := a.Encode()
	return manifest.DigestOf(data), a
}

func TestPutChunkRejectsCorruptContent(t *testing.T) {
	is := is.New(t)
	cache := &Cache{}
	err := cache.PutChunk(manifest.Chunk{Digest: manifest.DigestOf([]byte("right"))}, []byte("wrong"))
	var corrupt *CorruptError
	is.True(errors.As(err, &corrupt))
	is.Equal(cache.Size(), ident.Bytes(0))
}

func TestLimitEvictsOnlyUnpinnedChunks(t *testing.T) {
	is := is.New(t)
	cache := &Cache{Limit: 6}
	d1, old := artifact("aa", "bb", "cc")
	d2, next := artifact("aa", "dd", "ee")
	cache.PutArtifact(d1, old)
	is.NoErr(cache.Pin([]ident.Digest{d1}))
	for _, p := range []string{"aa", "bb", "cc"} {
		is.NoErr(cache.PutChunk(manifest.Chunk{Digest: manifest.DigestOf([]byte(p))}, []byte(p)))
	}
	var full *FullError
	is.True(errors.As(cache.PutChunk(manifest.Chunk{Digest: manifest.DigestOf([]byte("dd"))}, []byte("dd")), &full))
	cache.PutArtifact(d2, next)
	is.NoErr(cache.Pin([]ident.Digest{d2}))
	for _, p := range []string{"dd", "ee"} {
		is.NoErr(cache.PutChunk(manifest.Chunk{Digest: manifest.DigestOf([]byte(p))}, []byte(p)))
	}
	is.Equal(len(cache.Missing(next)), 0)
	is.Equal(cache.Size(), ident.Bytes(6))
	d3, large := artifact("1234567")
	cache.PutArtifact(d3, large)
	is.True(errors.As(cache.Pin([]ident.Digest{d3}), &full))
}

func TestDeltaListsArrivalsOnce(t *testing.T) {
	is := is.New(t)
	cache := &Cache{Epoch: 3}
	d, a := artifact("aa", "bb", "aa")
	cache.PutArtifact(d, a)
	first := cache.Delta([]ident.Digest{d}, Cursor{})
	is.True(first.Full)
	is.NoErr(cache.PutChunk(manifest.Chunk{Digest: manifest.DigestOf([]byte("aa"))}, []byte("aa")))
	next := cache.Delta([]ident.Digest{d}, first.Next)
	is.Equal(next.Added, [][]int{{0, 2}})
	is.True(cache.Delta([]ident.Digest{d}, next.Next).IsEmpty())
	is.Equal(cache.Delta([]ident.Digest{d}, first.Next), next) // the reader repeats a request whose response was lost
	cache.Retain(nil)
	is.True(cache.Delta([]ident.Digest{d}, next.Next).Full)
	is.True(cache.Delta([]ident.Digest{d}, Cursor{Epoch: 4, Count: -1}).Full)
}
