package quarantiner_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/quarantiner"
)

func TestVerdicts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var s quarantiner.Quarantiner
		verdict := func() quarantiner.Verdict {
			v, _ := s.Verdict("d")
			return v
		}
		is.Equal(verdict(), quarantiner.Clean)
		s.Blame("death-1", []quarantiner.Digest{"d", "other"})
		s.Blame("death-1", []quarantiner.Digest{"d"}) // told twice
		is.Equal(verdict(), quarantiner.Suspect)
		s.Clear("d")
		is.Equal(verdict(), quarantiner.Clean)
		s.Blame("death-1", []quarantiner.Digest{"d"}) // told late
		is.Equal(verdict(), quarantiner.Clean)
		s.Blame("death-2", []quarantiner.Digest{"d"})
		s.Blame("death-3", []quarantiner.Digest{"d"})
		is.Equal(verdict(), quarantiner.Condemned)
		s.Clear("d")
		is.Equal(verdict(), quarantiner.Condemned)
		time.Sleep(quarantiner.Memory)
		is.Equal(verdict(), quarantiner.Clean)
	})
}
