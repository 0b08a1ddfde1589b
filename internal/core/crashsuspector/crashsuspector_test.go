package crashsuspector_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/crashsuspector"
)

type (
	feature = crashsuspector.Feature
	facts   = crashsuspector.Facts
)

// withoutIDs returns clearings without their ids, which depend on the time at which the host started.
func withoutIDs(clearings []crashsuspector.Clearing) []crashsuspector.Clearing {
	out := slices.Clone(clearings)
	for i := range out {
		out[i].ID = 0
	}
	return out
}

const spacing = 100 * time.Millisecond

// crashRepeatedly records n crashes far enough apart to count each, the ids starting at first.
func crashRepeatedly(s *crashsuspector.Suspector, first, n int, suspects ...feature) {
	for i := range n {
		s.RecordCrash(crashsuspector.CrashID(first+i), suspects)
		time.Sleep(spacing)
	}
}

func TestSoleSuspectIsQuarantinedAtThirdCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var quarantined []feature
		s := &crashsuspector.Suspector{OnQuarantine: func(f feature) { quarantined = append(quarantined, f) }}
		is.Equal(s.Verdict([]feature{1}), crashsuspector.Clean)
		crashRepeatedly(s, 1, 1, 1, 11)
		is.Equal(s.Verdict([]feature{1}), crashsuspector.Clean)
		crashRepeatedly(s, 2, 1, 1, 12)
		is.Equal(s.Verdict([]feature{1}), crashsuspector.Suspect)
		is.Equal(s.Verdict([]feature{11}), crashsuspector.Clean)
		crashRepeatedly(s, 3, 1, 1, 13)
		is.Equal(s.Verdict([]feature{5, 1}), crashsuspector.Quarantined)
		is.Equal(s.Verdict([]feature{5, 13}), crashsuspector.Clean)
		is.Equal(quarantined, []feature{1})
		is.Equal(s.QuarantinedFeatures(), quarantined)
	})
}

// Two features that were in progress at the same crashes cannot be told apart: both are quarantined, and tried early.
func TestTiedSuspectsAreQuarantinedAtThirdCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &crashsuspector.Suspector{MayProbe: func() bool { return true }}
		crashRepeatedly(s, 1, 2, 1, 2)
		is.Equal(s.Verdict([]feature{1}), crashsuspector.Suspect)
		is.Equal(s.Verdict([]feature{2}), crashsuspector.Suspect)
		crashRepeatedly(s, 3, 1, 1, 2)
		is.Equal(s.Verdict([]feature{1}), crashsuspector.Quarantined)
		is.Equal(s.Verdict([]feature{2}), crashsuspector.Quarantined)
		time.Sleep(2 * time.Second)
		is.Equal(s.Verdict([]feature{2}), crashsuspector.Suspect)
		s.RecordSuccess([]feature{2})
		is.Equal(s.Verdict([]feature{2}), crashsuspector.Clean)
		is.Equal(s.QuarantinedFeatures(), []feature{1})
	})
}

// A crash without one of two tied features tells them apart.
func TestTieIsResolvedByFurtherCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &crashsuspector.Suspector{}
		crashRepeatedly(s, 1, 2, 1, 2)
		crashRepeatedly(s, 3, 1, 1)
		is.Equal(s.Verdict([]feature{1}), crashsuspector.Quarantined)
		is.Equal(s.Verdict([]feature{2}), crashsuspector.Clean)
	})
}

// The first part of a route's prompts is a suspect of each crash, too. Requests with it were answered before.
func TestFeatureThatWasNeverAnsweredIsPreferred(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &crashsuspector.Suspector{}
		s.RecordSuccess([]feature{1})
		time.Sleep(2 * time.Second)
		crashRepeatedly(s, 1, 1, 1) // for another reason
		crashRepeatedly(s, 2, 3, 1, 2)
		is.Equal(s.Verdict([]feature{2}), crashsuspector.Quarantined)
		is.Equal(s.Verdict([]feature{1}), crashsuspector.Clean)
	})
}

// A feature that explains the same crashes and others later does not lift the quarantine.
func TestQuarantineStaysWhenAnotherFeatureExplainsMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &crashsuspector.Suspector{}
		crashRepeatedly(s, 1, 1, 1)
		crashRepeatedly(s, 2, 2, 1, 2)
		is.Equal(s.QuarantinedFeatures(), []feature{1})
		crashRepeatedly(s, 4, 6, 2)
		is.Equal(s.QuarantinedFeatures(), []feature{1, 2})
	})
}

func TestCrashesThatAreExplainedDoNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &crashsuspector.Suspector{}
		crashRepeatedly(s, 10, 3, 1)
		crashRepeatedly(s, 2, 4, 1, 2) // 2 was in progress at most crashes of 1
		crashRepeatedly(s, 6, 2, 2)
		is.Equal(s.Verdict([]feature{1}), crashsuspector.Quarantined)
		is.Equal(s.Verdict([]feature{2}), crashsuspector.Suspect)
		crashRepeatedly(s, 8, 1, 2)
		is.Equal(s.Verdict([]feature{2}), crashsuspector.Quarantined)
	})
}

// Many engines end at the same time for another reason. A feature that was answered before is not even suspected.
func TestSimultaneousCrashesDoNotQuarantine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &crashsuspector.Suspector{}
		s.RecordSuccess([]feature{2})
		time.Sleep(time.Second)
		for i := range 30 {
			s.RecordCrash(crashsuspector.CrashID(i), []feature{1, 2})
			time.Sleep(3 * time.Millisecond)
		}
		is.Equal(s.Verdict([]feature{1}), crashsuspector.Suspect)
		is.Equal(s.Verdict([]feature{2}), crashsuspector.Clean)
	})
}

// Many engines crash a second, for longer than engines end together.
func TestFrequentCrashesQuarantine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &crashsuspector.Suspector{}
		for i := range 21 {
			s.RecordCrash(crashsuspector.CrashID(i), []feature{1})
			time.Sleep(10 * time.Millisecond)
		}
		is.Equal(s.Verdict([]feature{1}), crashsuspector.Quarantined)
	})
}

func TestSuccessClearsEarlierCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &crashsuspector.Suspector{}
		crashRepeatedly(s, 1, 2, 1, 2)
		is.Equal(withoutIDs(s.RecordSuccess([]feature{1, 3}).Clearings), []crashsuspector.Clearing{{Feature: 1}})
		is.Equal(s.Verdict([]feature{1}), crashsuspector.Clean)
		is.Equal(s.Verdict([]feature{2}), crashsuspector.Suspect)
		is.True(s.RecordSuccess([]feature{1, 3}).IsEmpty()) // nothing is left to clear
		time.Sleep(time.Second)
		crashRepeatedly(s, 3, 2, 1)
		is.Equal(s.Verdict([]feature{1}), crashsuspector.Suspect)
		crashRepeatedly(s, 5, 1, 1)
		is.Equal(s.Verdict([]feature{1}), crashsuspector.Quarantined)
	})
}

func TestRecentlyAnsweredFeatureIsNoSuspect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &crashsuspector.Suspector{}
		s.RecordSuccess([]feature{1})
		time.Sleep(time.Second - time.Millisecond)
		got := s.RecordCrash(1, []feature{2, 1, 2})
		is.Equal(got.Crashes, []crashsuspector.Crash{{ID: 1, Suspects: []feature{2}}})
		is.True(s.RecordCrash(1, []feature{2}).IsEmpty()) // nothing new
		is.True(s.RecordCrash(2, []feature{1}).IsEmpty())
		time.Sleep(time.Millisecond)
		is.Equal(s.RecordCrash(3, []feature{1}).Crashes[0].Suspects, []feature{1})
	})
}

// A clearing that arrives after the quarantine shows that it was wrong. The crashes count against other features again.
func TestLateClearingLiftsQuarantine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var lifted []feature
		s := &crashsuspector.Suspector{OnLift: func(f feature) { lifted = append(lifted, f) }}
		crashRepeatedly(s, 1, 1, 1)
		crashRepeatedly(s, 2, 3, 1, 2)
		is.Equal(s.Verdict([]feature{1}), crashsuspector.Quarantined)
		is.Equal(s.Verdict([]feature{2}), crashsuspector.Clean)
		s.Merge(facts{Clearings: []crashsuspector.Clearing{{Feature: 1, AgeMs: 20}}})
		is.Equal(s.Verdict([]feature{1}), crashsuspector.Clean)
		is.Equal(s.Verdict([]feature{2}), crashsuspector.Quarantined)
		is.Equal(lifted, []feature{1})
	})
}

func TestMergeReturnsKnownClearings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &crashsuspector.Suspector{}
		s.RecordSuccess([]feature{1})
		time.Sleep(900 * time.Millisecond)
		s.RecordSuccess([]feature{2})
		time.Sleep(600 * time.Millisecond)
		got := s.Merge(facts{Crashes: []crashsuspector.Crash{{ID: 1, AgeMs: 100, Suspects: []feature{1, 2, 3}}}})
		// 1 was answered 1.4 s before the crash: that does not clear it, but tells it from features never answered.
		is.Equal(withoutIDs(got.Clearings), []crashsuspector.Clearing{{Feature: 1, AgeMs: 1500}, {Feature: 2, AgeMs: 600}})
		is.Equal(s.Facts().Crashes, []crashsuspector.Crash{{ID: 1, AgeMs: 100, Suspects: []feature{1, 3}}})
		is.True(s.Merge(facts{Crashes: []crashsuspector.Crash{{ID: 1, AgeMs: 100, Suspects: []feature{1, 2, 3}}}}).IsEmpty())

		time.Sleep(20 * time.Millisecond)
		is.Equal(withoutIDs(s.Remaining(got.Clearings)), []crashsuspector.Clearing{{Feature: 1, AgeMs: 1520}, {Feature: 2, AgeMs: 620}})
		s.Merge(facts{Clearings: []crashsuspector.Clearing{{Feature: 2, ID: 1, AgeMs: 300}}}) // from another host
		is.Equal(withoutIDs(s.Remaining(got.Clearings)), []crashsuspector.Clearing{{Feature: 1, AgeMs: 1520}})
	})
}

// A host that was cut off returns with a crash whose suspects have been cleared long since.
func TestMissedClearingIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &crashsuspector.Suspector{}
		crashRepeatedly(s, 1, 1, 1)
		s.RecordSuccess([]feature{1})
		time.Sleep(time.Minute)
		is.True(s.Facts().IsEmpty()) // it is not sent any more
		got := s.Merge(facts{Crashes: []crashsuspector.Crash{{ID: 1, AgeMs: 60_100, Suspects: []feature{1}}}})
		is.Equal(withoutIDs(got.Clearings), []crashsuspector.Clearing{{Feature: 1, AgeMs: 60_000}})
		is.True(s.Facts().IsEmpty())
	})
}

// randomFacts returns crashes and clearings of few features, at times that differ from each other.
func randomFacts(rng *rand.Rand) facts {
	var all facts
	for i := range 12 {
		c := crashsuspector.Crash{ID: crashsuspector.CrashID(i % 9), AgeMs: rng.Int64N(8000)}
		for range 1 + rng.IntN(4) {
			c.Suspects = append(c.Suspects, feature(1+rng.IntN(6)))
		}
		all.Crashes = append(all.Crashes, c)
	}
	for range rng.IntN(4) {
		all.Clearings = append(all.Clearings, crashsuspector.Clearing{
			Feature: feature(1 + rng.IntN(6)), ID: crashsuspector.ClearingID(rng.Uint32()), AgeMs: rng.Int64N(8000),
		})
	}
	return all
}

func TestFactsMergeInAnyOrderAndRepeatedly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		rng := rand.New(rand.NewPCG(1, 2))
		quarantined := 0
		for range 500 {
			all := randomFacts(rng)
			first := &crashsuspector.Suspector{}
			first.Merge(all)
			second := &crashsuspector.Suspector{}
			for _, repeat := range []bool{true, true, false} {
				rng.Shuffle(len(all.Crashes), func(i, j int) { all.Crashes[i], all.Crashes[j] = all.Crashes[j], all.Crashes[i] })
				for _, c := range all.Crashes {
					if rng.IntN(2) == 0 || !repeat {
						second.Merge(facts{Crashes: []crashsuspector.Crash{c}})
					}
				}
				for _, c := range all.Clearings {
					if rng.IntN(2) == 0 || !repeat {
						second.Merge(facts{Clearings: []crashsuspector.Clearing{c}})
					}
				}
			}
			is.Equal(first.Facts(), second.Facts())
			is.Equal(first.QuarantinedFeatures(), second.QuarantinedFeatures())
			third := &crashsuspector.Suspector{} // a host that starts
			third.Merge(second.Facts())
			is.Equal(first.Facts(), third.Facts())
			is.Equal(first.QuarantinedFeatures(), third.QuarantinedFeatures())
			quarantined += len(first.QuarantinedFeatures())
		}
		is.True(quarantined > 100)
	})
}

// Each host tells a crash with its own requests. The earliest time counts, as facts get older on their way.
func TestObservationsOfOneCrashAreOneCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &crashsuspector.Suspector{}
		s.RecordCrash(1, []feature{1, 2})
		time.Sleep(30 * time.Millisecond)
		s.Merge(facts{Crashes: []crashsuspector.Crash{{ID: 1, AgeMs: 10, Suspects: []feature{3}}}})
		s.Merge(facts{Crashes: []crashsuspector.Crash{{ID: 1, AgeMs: 40, Suspects: []feature{2}}}})
		is.Equal(s.Facts().Crashes, []crashsuspector.Crash{{ID: 1, AgeMs: 40, Suspects: []feature{1, 2, 3}}})
	})
}

// The same clearing is passed on many times. It must not clear crashes that came after the answer.
func TestClearingDoesNotGetLaterOnItsWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var a, b crashsuspector.Suspector
		crashRepeatedly(&a, 1, 1, 1)
		b.Merge(a.RecordSuccess([]feature{1}))
		time.Sleep(time.Second)
		crashRepeatedly(&a, 2, 5, 1)
		b.Merge(a.Facts())
		for range 100 {
			toB := a.Facts()
			time.Sleep(20 * time.Millisecond)
			b.Merge(toB)
			toA := b.Facts()
			time.Sleep(20 * time.Millisecond)
			a.Merge(toA)
		}
		is.Equal(a.QuarantinedFeatures(), []feature{1})
		is.Equal(b.QuarantinedFeatures(), []feature{1})
	})
}

func TestFactsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var lifted []feature
		s := &crashsuspector.Suspector{OnLift: func(f feature) { lifted = append(lifted, f) }}
		crashRepeatedly(s, 1, 3, 1)
		crashRepeatedly(s, 4, 1, 2)
		s.RecordSuccess([]feature{2})
		time.Sleep(crashsuspector.Retention - 2*time.Second)
		is.Equal(s.Verdict([]feature{1}), crashsuspector.Quarantined)
		time.Sleep(4 * time.Second)
		is.Equal(s.Verdict([]feature{1}), crashsuspector.Clean)
		is.Equal(lifted, []feature{1})
		is.True(s.Facts().IsEmpty())
		s.Merge(facts{Crashes: []crashsuspector.Crash{{ID: 9, AgeMs: 1 << 62, Suspects: []feature{1}}}}) // implausible
		is.True(s.Facts().IsEmpty())
	})
}

// A probe crashes an engine from time to time: the quarantine stays, also after the first crashes are old.
func TestQuarantineStaysWhileCrashesContinue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &crashsuspector.Suspector{}
		crashRepeatedly(s, 1, 3, 1)
		for i := range 8 {
			time.Sleep(8 * time.Minute)
			s.RecordCrash(crashsuspector.CrashID(10+i), []feature{1})
			is.Equal(s.Verdict([]feature{1}), crashsuspector.Quarantined)
		}
		other := &crashsuspector.Suspector{}
		other.Merge(s.Evidence(1))
		is.Equal(other.Verdict([]feature{1}), crashsuspector.Quarantined)
		other = &crashsuspector.Suspector{}
		for _, c := range s.Facts().Crashes { // in parts, the newest first
			other.Merge(facts{Crashes: []crashsuspector.Crash{c}})
			time.Sleep(2 * time.Second)
		}
		is.Equal(len(other.Facts().Crashes), 11)
	})
}

func TestNumberOfFactsIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &crashsuspector.Suspector{}
		crashRepeatedly(s, 1, 3, 1)
		for i := range 2000 {
			var suspects []feature
			for j := range 400 {
				suspects = append(suspects, feature(1000*(i+1)+j))
			}
			if i%2 == 0 {
				s.RecordCrash(crashsuspector.CrashID(1000+i), suspects)
			} else {
				s.Merge(facts{Crashes: []crashsuspector.Crash{{ID: crashsuspector.CrashID(1000 + i), Suspects: suspects}}})
			}
		}
		got := s.Facts()
		is.Equal(len(got.Crashes), 512)
		for _, c := range got.Crashes {
			is.True(len(c.Suspects) <= 256)
		}
		is.Equal(s.Verdict([]feature{1}), crashsuspector.Quarantined) // the evidence is kept
		for i := range 10000 {
			s.Merge(facts{Clearings: []crashsuspector.Clearing{{Feature: feature(i + 1)}}})
		}
		is.True(len(s.Facts().Clearings) <= 4096)
	})
}

// Both hosts keep the same suspects of a crash that has too many, in whatever order they learn them.
func TestExcessSuspectsAreDroppedAlike(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var a, b crashsuspector.Suspector
		var many []feature
		for i := range 400 {
			many = append(many, feature(i+1))
		}
		a.Merge(facts{Crashes: []crashsuspector.Crash{{ID: 1, Suspects: many[:200]}}})
		a.Merge(facts{Crashes: []crashsuspector.Crash{{ID: 1, Suspects: many[200:]}}})
		slices.Reverse(many)
		b.Merge(facts{Crashes: []crashsuspector.Crash{{ID: 1, Suspects: many}}})
		is.Equal(a.Facts(), b.Facts())
	})
}

// probes returns at which times a host lets a request run that is sent each second.
func probes(s *crashsuspector.Suspector, during time.Duration, onProbe func(n int)) []time.Duration {
	var out []time.Duration
	start := time.Now()
	for n := 0; time.Since(start) < during; n++ {
		request := []feature{1, feature(1000 + n)}
		if s.Verdict(request) != crashsuspector.Quarantined {
			out = append(out, time.Since(start).Truncate(time.Minute))
			onProbe(n)
		}
		time.Sleep(time.Second)
	}
	return out
}

func TestProbesBecomeRarerWhileTheyCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &crashsuspector.Suspector{MayProbe: func() bool { return true }}
		crashRepeatedly(s, 1, 3, 1)
		got := probes(s, 30*time.Minute, func(n int) {
			request := []feature{1, feature(1000 + n)}
			is.Equal(s.Verdict(request), crashsuspector.Suspect)     // verified again before it is sent
			is.Equal(s.Verdict(request), crashsuspector.Quarantined) // sent again by its caller
			is.Equal(s.Verdict([]feature{1, 7}), crashsuspector.Quarantined)
			time.Sleep(50 * time.Millisecond)
			s.RecordCrash(crashsuspector.CrashID(100+n), request)
			is.Equal(s.Verdict(request), crashsuspector.Quarantined)
		})
		// At once, then after 1, 2, 4, 8 and 8 minutes.
		is.Equal(got, []time.Duration{0, 1 * time.Minute, 3 * time.Minute, 7 * time.Minute, 15 * time.Minute, 23 * time.Minute})
	})
}

// A feature that was never answered and alone explains many crashes is not tried early.
func TestCertainSuspectIsProbedLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &crashsuspector.Suspector{MayProbe: func() bool { return true }}
		crashRepeatedly(s, 1, 5, 1)
		got := probes(s, 4*time.Minute, func(int) {})
		is.Equal(got, []time.Duration{1 * time.Minute, 2 * time.Minute, 3 * time.Minute})
	})
}

// The probe did not reach an engine, for example.
func TestEarlyProbeWithoutResultIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &crashsuspector.Suspector{MayProbe: func() bool { return true }}
		crashRepeatedly(s, 1, 4, 1, 2)
		crashRepeatedly(s, 5, 1, 1)
		is.Equal(len(probes(s, 10*time.Second, func(int) {})), 0) // certain by now
		s = &crashsuspector.Suspector{MayProbe: func() bool { return true }}
		crashRepeatedly(s, 1, 3, 1)
		is.Equal(len(probes(s, time.Minute, func(int) {})), 6)
	})
}

func TestOnlyOneHostProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		for _, s := range []*crashsuspector.Suspector{{}, {MayProbe: func() bool { return false }}} {
			crashRepeatedly(s, 1, 3, 1)
			is.Equal(len(probes(s, 9*time.Minute, func(int) {})), 0)
		}
	})
}

func TestProbeWithResponseLiftsQuarantine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &crashsuspector.Suspector{MayProbe: func() bool { return true }}
		other := &crashsuspector.Suspector{}
		crashRepeatedly(s, 1, 4, 1)
		other.Merge(s.Facts())
		is.Equal(other.Verdict([]feature{1}), crashsuspector.Quarantined)
		time.Sleep(1500 * time.Millisecond)
		is.Equal(s.Verdict([]feature{1, 9}), crashsuspector.Suspect)
		other.Merge(s.RecordSuccess([]feature{1, 9}))
		is.Equal(s.Verdict([]feature{1}), crashsuspector.Clean)
		is.Equal(other.Verdict([]feature{1}), crashsuspector.Clean)
	})
}

// A sound feature and a crashing one were quarantined together. A request with the sound one alone is tried first.
func TestProbeTellsTiedFeaturesApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &crashsuspector.Suspector{MayProbe: func() bool { return true }}
		crashRepeatedly(s, 1, 5, 1, 2)
		time.Sleep(1500 * time.Millisecond)
		is.Equal(s.Verdict([]feature{1, 2, 3}), crashsuspector.Quarantined)
		is.Equal(s.Verdict([]feature{1, 4}), crashsuspector.Suspect)
		is.Equal(s.Verdict([]feature{1, 5}), crashsuspector.Quarantined)
		s.RecordSuccess([]feature{1, 4})
		is.Equal(s.QuarantinedFeatures(), []feature{2})
	})
}

// Two features that were answered before, and that occur together only, are tried again together.
func TestProbeOfInseparableFeatures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &crashsuspector.Suspector{MayProbe: func() bool { return true }}
		s.RecordSuccess([]feature{1, 2})
		time.Sleep(time.Second)
		crashRepeatedly(s, 1, 5, 1, 2)
		time.Sleep(2500 * time.Millisecond)
		is.Equal(s.Verdict([]feature{1, 2, 3}), crashsuspector.Suspect)
		s.RecordSuccess([]feature{1, 2, 3})
		is.Equal(s.Verdict([]feature{1, 2, 4}), crashsuspector.Clean)
	})
}

// No request with two features that were never answered is tried early: one of them crashes engines.
func TestNoEarlyProbeWithTwoLikelyFeatures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &crashsuspector.Suspector{MayProbe: func() bool { return true }}
		crashRepeatedly(s, 1, 5, 1, 2)
		time.Sleep(5 * time.Second)
		is.Equal(s.Verdict([]feature{1, 2, 3}), crashsuspector.Quarantined)
		time.Sleep(time.Minute)
		is.Equal(s.Verdict([]feature{1, 2, 3}), crashsuspector.Suspect)
	})
}
