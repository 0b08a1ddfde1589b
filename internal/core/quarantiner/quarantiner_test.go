package quarantiner_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/quarantiner"
)

func TestVerdictFollowsCrashesAndAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var q quarantiner.Quarantiner
		verdict := func() quarantiner.Verdict {
			v, _ := q.Verdict("d")
			return v
		}
		is.Equal(verdict(), quarantiner.Clean)
		q.Blame("death-1", []quarantiner.Digest{"d", "other"})
		q.Blame("death-1", []quarantiner.Digest{"d"}) // reported twice
		is.Equal(verdict(), quarantiner.Suspect)
		q.Clear("d")
		is.Equal(verdict(), quarantiner.Clean)
		q.Blame("death-1", []quarantiner.Digest{"d"}) // reported again after it was cleared
		is.Equal(verdict(), quarantiner.Clean)
		q.Blame("death-2", []quarantiner.Digest{"d"})
		q.Blame("death-3", []quarantiner.Digest{"d"})
		is.Equal(verdict(), quarantiner.Condemned)
		q.Clear("d")
		is.Equal(verdict(), quarantiner.Condemned)
		time.Sleep(quarantiner.Memory)
		is.Equal(verdict(), quarantiner.Clean)
	})
}
