// Package version implements "nutmegdock version".
package version

import (
	"context"
	"fmt"
	"io"
	"runtime/debug"

	"github.com/nutmegdock/nutmegdock/internal/factory"
)

// Args are the command's arguments.
type Args struct{}

// Example shows a use of the command.
func (Args) Example() string {
	return "nutmegdock version"
}

// Options are what the command needs.
type Options struct {
	Build func() (*debug.BuildInfo, bool)
	Out   io.Writer
}

// Command returns the command, ready to run.
func Command(f *factory.Factory, _ Args) func(ctx context.Context) error {
	opts := &Options{Build: debug.ReadBuildInfo, Out: f.Out}
	return func(context.Context) error { return versionRun(opts) }
}

func versionRun(opts *Options) error {
	revision, toolchain := "unknown", "unknown"
	if info, ok := opts.Build(); ok {
		toolchain = info.GoVersion
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				revision = s.Value
			}
		}
	}
	_, err := fmt.Fprintf(opts.Out, "nutmegdock revision %s, built with %s\n", revision, toolchain)
	return err
}
