// Command rig runs one case of the review. It starts the system's programs with stand-ins of the platform on loopback
// addresses, brings about a disruption, and checks a rule by what clients, servers and the platform have seen.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the environment
// it does the same without the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds the cases by name. Each reports whether the rule was broken.
var cases = map[string]func(f *fleet, hasTrouble bool) (isBroken bool, err error){
	"crashing-part":    runCrashingPart,
	"corrupt-manifest": runCorruptManifest,
	"encoded-path":     runEncodedPath,
	"endless-body":     runEndlessBody,
}

func main() {
	os.Exit(run())
}

func run() int {
	const arguments = 3
	if len(os.Args) != arguments || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		return exitNotRun
	}
	rec := &record{startedAt: time.Now()}
	f, err := newFleet(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
		return exitNotRun
	}
	// The processes end with the command.
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupts
		f.close()
		os.Exit(exitNotRun)
	}()
	isBroken, err := cases[os.Args[1]](f, os.Getenv("TROUBLE") != "0")
	f.close()
	code := exitHeld
	switch {
	case err != nil:
		rec.conclude("the case could not run: %v", err)
		code = exitNotRun
	case isBroken:
		code = exitBroken
	}
	rec.add("exit code %d", code)
	if err := rec.write(os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
		return exitNotRun
	}
	return code
}
