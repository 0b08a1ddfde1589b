package crashsuspector_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/crashsuspector"
)

// A host has read the record of a quarantined feature from the store, where it had not been deleted yet, and takes the
// crashes as new. The others have cleared the feature a while ago.
func TestHostThatHasReadAnOldRecordLearnsTheClearing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		feature := []crashsuspector.Feature{1}
		var host, restarted crashsuspector.Suspector
		for id := range crashsuspector.CrashID(5) {
			time.Sleep(time.Second)
			host.RecordCrash(id, feature)
		}
		recorded := host.Evidence(1)
		host.RecordSuccess(feature)
		time.Sleep(time.Minute)
		restarted.Merge(recorded)
		is.Equal(restarted.Verdict(feature), crashsuspector.Quarantined)
		restarted.Merge(host.Merge(restarted.Facts()))
		time.Sleep(time.Second)
		is.Equal(restarted.Verdict(feature), crashsuspector.Clean)
		is.Equal(host.Verdict(feature), crashsuspector.Clean)
	})
}
