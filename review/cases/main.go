// Command cases plays one case of the review and exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/nutmegdock/nutmegdock/review/stage"
)

// outcome is what a case has shown.
type outcome struct {
	isBroken bool
	text     string
}

// play is one case. With isTroubled unset, it does the same without the disruption.
type play func(o stage.Options, isTroubled bool) (outcome, error)

var plays = map[string]play{
	"drill":    playDrill,
	"idle":     playIdle,
	"leave":    playLeave,
	"manifest": playManifest,
	"proof":    playProof,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 4 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases CASE PROGRAMS RECORD")
		return 2
	}
	programs, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	}
	record := stage.NewRecord()
	result, err := plays[os.Args[1]](stage.Options{Programs: programs, Dir: dir, Record: record}, os.Getenv("TROUBLE") != "0")
	if err != nil {
		record.Add("the case could not run: %v", err)
	} else {
		record.Add("broken %t: %s", result.isBroken, result.text)
	}
	if writeErr := record.Write(os.Args[3]); err == nil {
		err = writeErr
	}
	switch {
	case err != nil:
		fmt.Println("could not run:", err)
		return 2
	case result.isBroken:
		fmt.Println("broken:", result.text)
		return 1
	default:
		fmt.Println("held:", result.text)
		return 0
	}
}
