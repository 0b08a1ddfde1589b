package directory_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/directory"
)

func TestSpanNeedsTheChunksOfItsLayers(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		span           directory.Span
		layers, chunks int
		from, to       int
		allLayers      bool
	}{
		{directory.Span{}, 16, 64, 0, 64, true},
		{directory.Span{To: 16}, 16, 64, 0, 64, true},
		{directory.Span{To: 8}, 16, 64, 0, 32, false},
		{directory.Span{From: 8, To: 12}, 16, 64, 32, 48, false},
		{directory.Span{From: 1, To: 2}, 3, 10, 3, 7, false}, // a chunk with parts of two layers is needed for both
		{directory.Span{}, 0, 8, 0, 8, true},
	} {
		from, to := c.span.Chunks(c.layers, c.chunks)
		is.Equal([]int{from, to}, []int{c.from, c.to})
		is.Equal(c.span.IsWhole(c.layers), c.allLayers)
	}
}
