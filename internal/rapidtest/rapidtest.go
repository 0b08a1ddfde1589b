// Package rapidtest runs property-based stateful tests in virtual time, with the seed and the number of checks that
// script/test and script/fuzz set in the environment.
package rapidtest

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"testing/synctest"

	"pgregory.net/rapid"
)

// Check runs a stateful test. Each check runs in its own synctest bubble, so that time is virtual.
func Check(t *testing.T, property func(t *testing.T, rt *rapid.T)) {
	t.Helper()
	configure(t)
	rapid.Check(t, func(rt *rapid.T) {
		var failure any
		synctest.Test(t, func(st *testing.T) {
			defer func() { failure = recover() }()
			property(st, rt)
		})
		if failure == nil {
			return
		}
		// The shrinker identifies a failure by the line that panics. Exhausted random data must therefore panic on
		// another line than a test failure.
		if fmt.Sprintf("%T", failure) == "rapid.invalidData" {
			panic(failure)
		}
		panic(failure)
	})
}

// Replay runs one check of a stateful test with a given seed, usually one that failed before.
func Replay(t *testing.T, seed uint64, property func(t *testing.T, rt *rapid.T)) {
	t.Helper()
	t.Setenv("RAPID_SEED", fmt.Sprint(seed))
	t.Setenv("RAPID_CHECKS", "1")
	for _, name := range []string{"rapid.seed", "rapid.checks"} {
		previous := flag.Lookup(name).Value.String()
		t.Cleanup(func() {
			if err := flag.Set(name, previous); err != nil {
				t.Errorf("restore %s: %v", name, err)
			}
		})
	}
	Check(t, property)
}

// configure passes the seed and the number of checks from the environment to rapid, which reads them from flags.
func configure(t *testing.T) {
	t.Helper()
	for name, env := range map[string]string{"rapid.seed": "RAPID_SEED", "rapid.checks": "RAPID_CHECKS"} {
		if v := os.Getenv(env); v != "" {
			if err := flag.Set(name, v); err != nil {
				t.Fatalf("set %s from %s: %v", name, env, err)
			}
		}
	}
	if err := flag.Set("rapid.nofailfile", "true"); err != nil {
		t.Fatalf("set rapid.nofailfile: %v", err)
	}
}
