package burst

import (
	"testing"
	"testing/synctest"
	"time"
	"fmt"

	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

const (
	burstWindow = 240 * time.Second
	chunkBytes  = 4 << 20
	chunkCount  = 256
	setBytes    = chunkBytes * chunkCount
)

func flat(n int) shape {
	sec := burstWindow.Seconds()
	s := shape{hosts: n, store: 4 * setBytes / sec, host: 2 * setBytes / sec}
	for i := range 4 {
		s.places = append(s.places, place{zone: ident.Zone(fmt.Sprintf("z%d", i)), region: "r"})
	}
	return s
}
func regional(n int) shape {
	s := flat(n)
	s.region = 20e6 / 8
	s.places = nil
	for i := range 3 {
		s.places = append(s.places, place{zone: ident.Zone(fmt.Sprintf("z%d", i)), region: ident.Region(fmt.Sprintf("r%d", i))})
	}
	return s
}

func TestTrial(t *testing.T) {
	for _, n := range []int{9, 16, 50} {
		for _, bias := range []catalog.Bias{catalog.BiasOrigin, catalog.BiasTime} {
			for name, s := range map[string]shape{"flat": flat(n), "regional": regional(n)} {
				synctest.Test(t, func(t *testing.T) {
					w := newWorld(s, bias, 1)
					g := w.artifact("1", chunkCount, chunkBytes, nil)
					w.publish(1, g)
					real := realNow()
					ok := w.run(10*burstWindow, func() bool { return len(w.ready) == n })
					sec := time.Since(w.began).Seconds()
					S := float64(setBytes)
					bound := max(S/s.store, S/s.host, float64(n)*S/(s.store+float64(n)*s.host))
					if s.region > 0 {
						bound = max(bound, S/(s.region*2))
					}
					var out ident.Bytes
					for _, b := range w.outside {
						out += b
					}
					links := ""
					for k, l := range w.regions {
						links += fmt.Sprintf(" %v %.2f", k, float64(l.bytes)/S)
					}
					fmt.Println(n, bias, name, ok, len(w.ready), "sec", sec, "ratio", sec/bound, "origin", float64(out)/S, links, "real", realNow()-real, "events", w.seq)
				})
			}
		}
	}
}
