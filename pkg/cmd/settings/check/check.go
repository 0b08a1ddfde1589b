// Package check implements "nutmegdock settings check".
package check

import (
	"context"
	"fmt"
	"io"

	"github.com/nutmegdock/nutmegdock/internal/endpointhost"
	"github.com/nutmegdock/nutmegdock/internal/entryhost"
	"github.com/nutmegdock/nutmegdock/internal/factory"
	"github.com/nutmegdock/nutmegdock/internal/settings"
	"github.com/nutmegdock/nutmegdock/internal/standin/platform"
)

// Args holds the command-line arguments.
type Args struct {
	File    string `arg:"positional,required" help:"settings file"`
	Program string `arg:"--program,required" help:"program that reads the file: entryd, endpointd or platformd"`
}

// Example returns the example that the help shows.
func (Args) Example() string {
	return "nutmegdock settings check docs/settings/entryd.json --program entryd"
}

// Options holds the arguments and dependencies of the command.
type Options struct {
	Args
	// LoadByProgram maps a program's name to the function that loads and validates its settings.
	LoadByProgram map[string]func(path string) error
	Out           io.Writer
}

// Command returns a function that runs the command.
func Command(f *factory.Factory, a Args) func(ctx context.Context) error {
	opts := &Options{Args: a, Out: f.Out, LoadByProgram: map[string]func(string) error{
		"entryd":    load[entryhost.Settings],
		"endpointd": load[endpointhost.Settings],
		"platformd": load[platform.Settings],
	}}
	return func(context.Context) error { return checkRun(opts) }
}

func load[T any](path string) error {
	_, err := settings.Load[T](path)
	return err
}

func checkRun(opts *Options) error {
	load, ok := opts.LoadByProgram[opts.Program]
	if !ok {
		return fmt.Errorf("unknown program %q; use entryd, endpointd or platformd", opts.Program)
	}
	if err := load(opts.File); err != nil {
		return err
	}
	_, err := fmt.Fprintf(opts.Out, "%s: settings are valid\n", opts.File)
	return err
}
