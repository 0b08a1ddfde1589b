package crashsuspector_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/crashsuspector"
)

var request = []feature{0x1111111111111111, 0x2222222222222222, 0x3333333333333333, 0x4444444444444444}

func BenchmarkVerdictWithoutFacts(b *testing.B) {
	s := &crashsuspector.Suspector{}
	for b.Loop() {
		s.Verdict(request)
	}
}

func BenchmarkVerdictWithFacts(b *testing.B) {
	s := &crashsuspector.Suspector{}
	for i := range 20 {
		s.RecordCrash(crashsuspector.CrashID(i), []feature{feature(i + 1), feature(i + 2)})
	}
	for b.Loop() {
		s.Verdict(request)
	}
}

func BenchmarkRecordSuccessWithoutFacts(b *testing.B) {
	s := &crashsuspector.Suspector{}
	for b.Loop() {
		s.RecordSuccess(request)
	}
}

func BenchmarkRecordSuccessWithFacts(b *testing.B) {
	s := &crashsuspector.Suspector{}
	for i := range 20 {
		s.RecordCrash(crashsuspector.CrashID(i), []feature{feature(i + 1), feature(i + 2)})
	}
	for b.Loop() {
		s.RecordSuccess(request)
	}
}

// Both run on each request.
func TestRequestsWithoutCrashesAllocateNothing(t *testing.T) {
	is := is.New(t)
	s := &crashsuspector.Suspector{}
	s.RecordSuccess(request) // allocates the table of successes
	is.Equal(testing.AllocsPerRun(100, func() {
		s.Verdict(request)
		s.RecordSuccess(request)
	}), 0.0)
}
