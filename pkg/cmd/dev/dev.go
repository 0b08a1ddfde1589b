// Package dev implements "nutmegdock dev".
package dev

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	jsonlog "github.com/apex/log/handlers/json"
	"github.com/schollz/progressbar/v3"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/entryhost"
	"github.com/nutmegdock/nutmegdock/internal/factory"
	"github.com/nutmegdock/nutmegdock/internal/localcluster"
)

const chunkBytes = 1 << 20

// Args are the command's arguments.
type Args struct {
	Once    bool `arg:"--once" help:"end after the main job"`
	Engines int  `arg:"--engines" default:"6" help:"number of endpoint hosts with a model engine"`
	Size    int  `arg:"--size" default:"64" help:"size of the sample model in MiB"`
	Verbose bool `arg:"--verbose" help:"write the programs' logs"`
}

// Options are what the command needs.
type Options struct {
	Args
	JSON bool
	Out  io.Writer
	Err  io.Writer
	Run  func(ctx context.Context, l *localcluster.Cluster, then func(context.Context, localcluster.Result, []entryhost.Settings) error) error
}

// Command returns the command, ready to run.
func Command(f *factory.Factory, a Args) func(ctx context.Context) error {
	opts := &Options{Args: a, JSON: f.JSON, Out: f.Out, Err: os.Stderr}
	opts.Run = func(ctx context.Context, l *localcluster.Cluster, then func(context.Context, localcluster.Result, []entryhost.Settings) error) error {
		return l.Run(ctx, then)
	}
	return func(ctx context.Context) error { return devRun(ctx, opts) }
}

func devRun(ctx context.Context, opts *Options) error {
	if opts.Engines < 1 || opts.Size < 1 {
		return fmt.Errorf("--engines and --size must be at least 1")
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	l := &localcluster.Cluster{
		Engines: opts.Engines, Size: ident.Bytes(opts.Size) << 20, Chunk: chunkBytes,
		Logger: opts.logger(), Progress: opts.progress(),
	}
	return opts.Run(ctx, l, func(ctx context.Context, r localcluster.Result, entries []entryhost.Settings) error {
		if err := opts.print(r); err != nil || opts.Once {
			return err
		}
		for _, e := range entries {
			fmt.Fprintf(opts.Out, "entry host %s: callers http://%s, operators http://%s\n", e.Host, e.CallerAddress, e.AdminAddress)
		}
		fmt.Fprintln(opts.Out, "callers' key is dev-key, operators' token is dev-token; stop with ctrl-c")
		<-ctx.Done()
		return nil
	})
}

func (o *Options) logger() log.Interface {
	if o.Verbose {
		return &log.Logger{Handler: jsonlog.New(o.Err), Level: log.InfoLevel}
	}
	return &log.Logger{Handler: discard.New(), Level: log.InfoLevel}
}

func (o *Options) progress() func(ready, want, have, total int) {
	last := -1
	bar := progressbar.NewOptions(-1, progressbar.OptionSetWriter(o.Err), progressbar.OptionShowCount())
	return func(ready, want, have, total int) {
		if have+ready == last {
			return
		}
		last = have + ready
		bar.ChangeMax(max(total, 1))
		bar.Describe(fmt.Sprintf("replicas %d of %d, chunks", ready, want))
		_ = bar.Set(have)
		if ready == want {
			fmt.Fprintln(o.Err)
		}
	}
}

func (o *Options) print(r localcluster.Result) error {
	if o.JSON {
		return json.NewEncoder(o.Out).Encode(r)
	}
	_, err := fmt.Fprintf(o.Out, "%d of %d replicas serve %d bytes after %.2f s; %d bytes read from store and origin; %d answers, %d wrong; %d bookings, %d doubled\n",
		r.Ready, r.Want, r.Size, r.Seconds, r.Origin, r.Answers, r.Wrong, r.Bookings, r.Doubled)
	return err
}

// Example shows a use of the command.
func (Args) Example() string {
	return "nutmegdock dev --once --json"
}
