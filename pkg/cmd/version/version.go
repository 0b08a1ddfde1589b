// Package version implements "nutmegdock version".
package version

import (
	"context"
	"fmt"
	"io"
	"runtime/debug"

	"github.com/nutmegdock/nutmegdock/internal/factory"
)

// Args holds the command-line arguments.
type Args struct{}

// Example returns the example that the help shows.
func (Args) Example() string {
	return "nutmegdock version"
}

// Options holds the arguments and dependencies of the command.
type Options struct {
	ReadBuildInfo func() (*debug.BuildInfo, bool)
	Out           io.Writer
}

// Command returns a function that runs the command.
func Command(f *factory.Factory, _ Args) func(ctx context.Context) error {
	opts := &Options{ReadBuildInfo: debug.ReadBuildInfo, Out: f.Out}
	return func(context.Context) error { return versionRun(opts) }
}

func versionRun(opts *Options) error {
	revision, toolchain := "unknown", "unknown"
	if info, ok := opts.ReadBuildInfo(); ok {
		toolchain = info.GoVersion
		for _, setting := range info.Settings {
			if setting.Key == "vcs.revision" {
				revision = setting.Value
			}
		}
	}
	_, err := fmt.Fprintf(opts.Out, "nutmegdock revision %s, built with %s\n", revision, toolchain)
	return err
}
