// Package root implements the operator's program, nutmegdock.
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
	exitUnknown  = 4
	exitRefused  = 5
)

// example is what the arguments of a command show in its help.
type example interface {
	Example() string
}

// Main runs the program and returns its exit code.
func Main(ctx context.Context, argv []string, stdout, stderr io.Writer, terminal bool) int {
	var a args
	p, err := arg.NewParser(arg.Config{Program: "nutmegdock", Out: stdout}, &a)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	err = p.Parse(argv)
	if errors.Is(err, arg.ErrHelp) {
		return help(p, stdout)
	}
	if err != nil {
		fmt.Fprintf(stderr, "nutmegdock: %v; see nutmegdock --help\n", err)
		return exitUsage
	}
	f := &factory.Factory{Admin: a.Admin, JSON: a.JSON, Out: stdout, Terminal: terminal}
	if err := readToken(f, a.Token); err != nil {
		fmt.Fprintf(stderr, "nutmegdock: %v\n", err)
		return exitUsage
	}
	run := a.command(f)
	if run == nil {
		_ = p.WriteHelpForSubcommand(stderr, p.SubcommandNames()...)
		return exitUsage
	}
	if err := run(ctx); err != nil {
		fmt.Fprintf(stderr, "nutmegdock: %v\n", err)
		return exitCode(err)
	}
	return exitOK
}

func help(p *arg.Parser, w io.Writer) int {
	if err := p.WriteHelpForSubcommand(w, p.SubcommandNames()...); err != nil {
		return exitFailed
	}
	if e, ok := p.Subcommand().(example); ok {
		fmt.Fprintf(w, "\nExample:\n  %s\n", e.Example())
	}
	return exitOK
}

func exitCode(err error) int {
	var verdict *submitter.VerdictError
	if errors.As(err, &verdict) {
		if verdict.Audit.Verdict == reducer.Conflict {
			return exitConflict
		}
		return exitRefused
	}
	var answer *adminapi.ResponseError
	if errors.As(err, &answer) {
		switch answer.Code {
		case "unknown":
			return exitUnknown
		case "refused":
			return exitRefused
		}
	}
	return exitFailed
}

func readToken(f *factory.Factory, path string) error {
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
