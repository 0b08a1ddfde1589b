package suspector_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/suspector"
)

func TestVerdicts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var s suspector.Suspector
		verdict := func() suspector.Verdict {
			v, _ := s.Verdict("d")
			return v
		}
		is.Equal(verdict(), suspector.Clean)
		s.Blame("death-1", []suspector.Digest{"d", "other"})
		s.Blame("death-1", []suspector.Digest{"d"}) // told twice
		is.Equal(verdict(), suspector.Suspect)
		s.Clear("d")
		is.Equal(verdict(), suspector.Clean)
		s.Blame("death-1", []suspector.Digest{"d"}) // told late
		is.Equal(verdict(), suspector.Clean)
		s.Blame("death-2", []suspector.Digest{"d"})
		s.Blame("death-3", []suspector.Digest{"d"})
		is.Equal(verdict(), suspector.Condemned)
		s.Clear("d")
		is.Equal(verdict(), suspector.Condemned)
		time.Sleep(suspector.Memory)
		is.Equal(verdict(), suspector.Clean)
	})
}
