package boundedmap_test

import (
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/boundedmap"
)

func TestOldestEntryIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := boundedmap.Map[string, int]{Limit: 2}
		is.Equal(m.Get("a"), 0)
		for i, key := range []string{"a", "b", "a", "c"} {
			m.Set(key, i)
			time.Sleep(time.Second)
		}
		is.Equal(maps.Collect(m.All()), map[string]int{"a": 2, "c": 3}) // a was set again after b
		m.Delete("a")
		is.Equal(m.Len(), 1)
	})
}
