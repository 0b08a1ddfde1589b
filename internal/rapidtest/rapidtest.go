// Package rapidtest runs stateful tests in virtual time, with the seed and count that script/test and script/fuzz set.
package rapidtest

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"testing/synctest"

	"pgregory.net/rapid"
)

// Check runs a stateful test. Each check runs in a synctest bubble of its own, so that time is virtual.
func Check(t *testing.T, prop func(t *testing.T, rt *rapid.T)) {
	t.Helper()
	configure(t)
	rapid.Check(t, func(rt *rapid.T) {
		var failure any
		synctest.Test(t, func(st *testing.T) {
			defer func() { failure = recover() }()
			prop(st, rt)
		})
		if failure == nil {
			return
		}
		// The shrinker tells failures apart by where they panic, and must not take spent random data for the failure.
		if fmt.Sprintf("%T", failure) == "rapid.invalidData" {
			panic(failure)
		}
		panic(failure)
	})
}

// Replay runs one check of a stateful test with a seed that failed once.
func Replay(t *testing.T, seed uint64, prop func(t *testing.T, rt *rapid.T)) {
	t.Helper()
	t.Setenv("RAPID_SEED", fmt.Sprint(seed))
	t.Setenv("RAPID_CHECKS", "1")
	for _, name := range []string{"rapid.seed", "rapid.checks"} {
		old := flag.Lookup(name).Value.String()
		t.Cleanup(func() {
			if err := flag.Set(name, old); err != nil {
				t.Errorf("restore %s: %v", name, err)
			}
		})
	}
	Check(t, prop)
}

// configure passes the environment's seed and count to rapid, which reads them from flags.
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
