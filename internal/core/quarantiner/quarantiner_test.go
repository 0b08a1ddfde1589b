package quarantiner_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/quarantiner"
)

func TestVerdictDependsOnCrashesAndResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var q quarantiner.Quarantiner
		verdict := func() quarantiner.Verdict {
			v, _ := q.Verdict("d")
			return v
		}
		is.Equal(verdict(), quarantiner.Clean)
		q.RecordCrash("death-1", []quarantiner.RequestDigest{"d", "other"})
		q.RecordCrash("death-1", []quarantiner.RequestDigest{"d"}) // reported twice
		is.Equal(verdict(), quarantiner.Suspect)
		q.ClearCrashes("d")
		is.Equal(verdict(), quarantiner.Clean)
		q.RecordCrash("death-1", []quarantiner.RequestDigest{"d"}) // reported again after it was cleared
		is.Equal(verdict(), quarantiner.Clean)
		q.RecordCrash("death-2", []quarantiner.RequestDigest{"d"})
		q.RecordCrash("death-3", []quarantiner.RequestDigest{"d"})
		is.Equal(verdict(), quarantiner.Quarantined)
		q.ClearCrashes("d")
		is.Equal(verdict(), quarantiner.Quarantined)
		time.Sleep(quarantiner.Retention)
		is.Equal(verdict(), quarantiner.Clean)
	})
}
