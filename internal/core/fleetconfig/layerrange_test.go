package fleetconfig_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
)

func TestLayerRangeNeedsTheChunksOfItsLayers(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		layerRange     fleetconfig.LayerRange
		layers, chunks int
		from, to       int
		allLayers      bool
	}{
		{fleetconfig.LayerRange{}, 16, 64, 0, 64, true},
		{fleetconfig.LayerRange{To: 16}, 16, 64, 0, 64, true},
		{fleetconfig.LayerRange{To: 8}, 16, 64, 0, 32, false},
		{fleetconfig.LayerRange{From: 8, To: 12}, 16, 64, 32, 48, false},
		{fleetconfig.LayerRange{From: 1, To: 2}, 3, 10, 3, 7, false}, // a chunk with parts of two layers is needed for both
		{fleetconfig.LayerRange{}, 0, 8, 0, 8, true},
	} {
		from, to := c.layerRange.ChunkRange(c.layers, c.chunks)
		is.Equal([]int{from, to}, []int{c.from, c.to})
		is.Equal(c.layerRange.CoversAll(c.layers), c.allLayers)
	}
}
