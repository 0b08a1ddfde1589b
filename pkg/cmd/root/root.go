// Package root implements the nutmegdock command line.
package root

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/alexflint/go-arg"

	"github.com/nutmegdock/nutmegdock/internal/adminapi"
	"github.com/nutmegdock/nutmegdock/internal/core/reducer"
	"github.com/nutmegdock/nutmegdock/internal/factory"
	"github.com/nutmegdock/nutmegdock/internal/submitter"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2
	exitConflict = 3
	exitUnknown  = 4 // the outcome of the change is unknown
	exitRefused  = 5
)

// example is implemented by the arguments of each command whose help shows an example.
type example interface {
	Example() string
}

// Main parses the arguments, runs the command and returns its exit code.
func Main(ctx context.Context, argv []string, stdout, stderr io.Writer, terminal bool) int {
	var flags args
	parser, err := arg.NewParser(arg.Config{Program: "nutmegdock", Out: stdout}, &flags)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	err = parser.Parse(argv)
	if errors.Is(err, arg.ErrHelp) {
		return help(parser, stdout)
	}
	if err != nil {
		fmt.Fprintf(stderr, "nutmegdock: %v; see nutmegdock --help\n", err)
		return exitUsage
	}
	f := &factory.Factory{AdminURL: flags.AdminURL, JSON: flags.JSON, Out: stdout, IsTerminal: terminal}
	if err := setToken(f, flags.TokenFile); err != nil {
		fmt.Fprintf(stderr, "nutmegdock: %v\n", err)
		return exitUsage
	}
	run := flags.command(f)
	if run == nil {
		_ = parser.WriteHelpForSubcommand(stderr, parser.SubcommandNames()...)
		return exitUsage
	}
	if err := run(ctx); err != nil {
		fmt.Fprintf(stderr, "nutmegdock: %v\n", err)
		return exitCode(err)
	}
	return exitOK
}

func help(parser *arg.Parser, w io.Writer) int {
	if err := parser.WriteHelpForSubcommand(w, parser.SubcommandNames()...); err != nil {
		return exitFailed
	}
	if withExample, ok := parser.Subcommand().(example); ok {
		fmt.Fprintf(w, "\nExample:\n  %s\n", withExample.Example())
	}
	return exitOK
}

func exitCode(err error) int {
	var verdictErr *submitter.VerdictError
	if errors.As(err, &verdictErr) {
		if verdictErr.Audit.Verdict == reducer.Conflict {
			return exitConflict
		}
		return exitRefused
	}
	var adminErr *adminapi.ResponseError
	if errors.As(err, &adminErr) {
		switch adminErr.Code {
		case "unknown":
			return exitUnknown
		case "refused":
			return exitRefused
		}
	}
	return exitFailed
}

func setToken(f *factory.Factory, path string) error {
	if path == "" {
		return nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read token: %w", err)
	}
	f.Token = strings.TrimSpace(string(data))
	return nil
}
