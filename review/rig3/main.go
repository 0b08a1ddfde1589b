// Command rig3 runs the cases of the third review that are no days of the users' bench.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

func main() {
	const arguments = 3
	cases := map[string]func(f *fleet, hasTrouble bool) (int, error){"lost-configuration": lostConfiguration}
	if len(os.Args) != arguments || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE RECORD")
		os.Exit(notRun)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

func run(runCase func(f *fleet, hasTrouble bool) (int, error), path string) int {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	f, err := newFleet(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer f.stop()
	code, err := runCase(f, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.writef("not run: %s", err)
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	rec.writef("exit code %d", code)
	return code
}
