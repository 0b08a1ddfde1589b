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

// Args are the command's arguments.
type Args struct {
	File    string `arg:"positional,required" help:"settings file"`
	Program string `arg:"--program,required" help:"program that reads it: entryd, endpointd or platformd"`
}

// Example shows a use of the command.
func (Args) Example() string {
	return "nutmegdock settings check docs/settings/entryd.json --program entryd"
}

// Options are what the command needs.
type Options struct {
	Args
	// Load checks the settings of one program.
	Load map[string]func(path string) error
	Out  io.Writer
}

// Command returns the command, ready to run.
func Command(f *factory.Factory, a Args) func(ctx context.Context) error {
	opts := &Options{Args: a, Out: f.Out, Load: map[string]func(string) error{
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
	load, ok := opts.Load[opts.Program]
	if !ok {
		return fmt.Errorf("program %q is not known; use entryd, endpointd or platformd", opts.Program)
	}
	if err := load(opts.File); err != nil {
		return err
	}
	_, err := fmt.Fprintf(opts.Out, "%s: settings are valid\n", opts.File)
	return err
}
