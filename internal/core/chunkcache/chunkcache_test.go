package chunkcache

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/manifest"
)

func artifact(parts ...string) (ident.Digest, manifest.Artifact) {
	a := manifest.Artifact{Name: "m", Version: "1"}
	for _, p := range parts {
		a.Chunks = append(a.Chunks, manifest.Chunk{Digest: manifest.Sum([]byte(p)), Size: ident.Bytes(len(p))})
		a.Size += ident.Bytes(len(p))
	}
	data, _ := a.Encode()
	return manifest.Sum(data), a
}

func TestPutChunkRefusesWrongContent(t *testing.T) {
	is := is.New(t)
	h := &Cache{}
	err := h.PutChunk(manifest.Sum([]byte("right")), []byte("wrong"))
	var bad *CorruptError
	is.True(errors.As(err, &bad))
	is.Equal(h.Size(), ident.Bytes(0))
}

func TestLimitDropsOnlyUnwantedChunks(t *testing.T) {
	is := is.New(t)
	h := &Cache{Limit: 6}
	d1, old := artifact("aa", "bb", "cc")
	d2, next := artifact("aa", "dd", "ee")
	h.PutArtifact(d1, old)
	is.NoErr(h.Want([]ident.Digest{d1}))
	for _, p := range []string{"aa", "bb", "cc"} {
		is.NoErr(h.PutChunk(manifest.Sum([]byte(p)), []byte(p)))
	}
	var full *FullError
	is.True(errors.As(h.PutChunk(manifest.Sum([]byte("dd")), []byte("dd")), &full))
	h.PutArtifact(d2, next)
	is.NoErr(h.Want([]ident.Digest{d2}))
	for _, p := range []string{"dd", "ee"} {
		is.NoErr(h.PutChunk(manifest.Sum([]byte(p)), []byte(p)))
	}
	is.Equal(len(h.Missing(next)), 0)
	is.Equal(h.Size(), ident.Bytes(6))
	d3, large := artifact("1234567")
	h.PutArtifact(d3, large)
	is.True(errors.As(h.Want([]ident.Digest{d3}), &full))
}

func TestDeltaListsArrivalsOnce(t *testing.T) {
	is := is.New(t)
	h := &Cache{Epoch: 3}
	d, a := artifact("aa", "bb", "aa")
	h.PutArtifact(d, a)
	first := h.Delta([]ident.Digest{d}, Cursor{})
	is.True(first.Full)
	is.NoErr(h.PutChunk(manifest.Sum([]byte("aa")), []byte("aa")))
	next := h.Delta([]ident.Digest{d}, first.Next)
	is.Equal(next.Added, [][]int{{0, 2}})
	is.True(h.Delta([]ident.Digest{d}, next.Next).IsEmpty())
	is.Equal(h.Delta([]ident.Digest{d}, first.Next), next) // the answer was lost
	h.Retain(nil)
	is.True(h.Delta([]ident.Digest{d}, next.Next).Full)
	is.True(h.Delta([]ident.Digest{d}, Cursor{Epoch: 4, Count: -1}).Full)
}
