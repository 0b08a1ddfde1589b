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

const chunkSizeBytes = 1 << 20

// Args holds the command-line arguments.
type Args struct {
	Once    bool `arg:"--once" help:"exit after printing the result"`
	Engines int  `arg:"--engines" default:"6" help:"number of endpoint hosts with a model engine"`
	Size    int  `arg:"--size" default:"64" help:"size of the sample model in MiB"`
	Verbose bool `arg:"--verbose" help:"write the logs of all hosts to standard error"`
}

// Options holds the arguments and dependencies of the command.
type Options struct {
	Args
	JSON   bool
	Out    io.Writer
	ErrOut io.Writer
	Run    func(ctx context.Context, cluster *localcluster.Cluster, onComplete func(context.Context, localcluster.Result, []entryhost.Settings) error) error
}

// Command returns a function that runs the command.
func Command(f *factory.Factory, a Args) func(ctx context.Context) error {
	opts := &Options{Args: a, JSON: f.JSON, Out: f.Out, ErrOut: os.Stderr}
	opts.Run = func(ctx context.Context, cluster *localcluster.Cluster, onComplete func(context.Context, localcluster.Result, []entryhost.Settings) error) error {
		return cluster.Run(ctx, onComplete)
	}
	return func(ctx context.Context) error { return devRun(ctx, opts) }
}

func devRun(ctx context.Context, opts *Options) error {
	if opts.Engines < 1 || opts.Size < 1 {
		return fmt.Errorf("--engines and --size must be at least 1")
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	cluster := &localcluster.Cluster{
		Engines: opts.Engines, ModelSize: ident.Bytes(opts.Size) << 20, ChunkSize: chunkSizeBytes,
		Logger: opts.logger(), Progress: opts.progress(),
	}
	return opts.Run(ctx, cluster, func(ctx context.Context, result localcluster.Result, entries []entryhost.Settings) error {
		if err := opts.print(result); err != nil || opts.Once {
			return err
		}
		for _, host := range entries {
			fmt.Fprintf(opts.Out, "entry host %s: callers http://%s, operators http://%s\n", host.Host, host.CallerAddress, host.AdminAddress)
		}
		fmt.Fprintln(opts.Out, "caller key: dev-key, operator token: dev-token; press ctrl-c to stop")
		<-ctx.Done()
		return nil
	})
}

func (o *Options) logger() log.Interface {
	if o.Verbose {
		return &log.Logger{Handler: jsonlog.New(o.ErrOut), Level: log.InfoLevel}
	}
	return &log.Logger{Handler: discard.New(), Level: log.InfoLevel}
}

func (o *Options) progress() func(ready, wanted, held, total int) {
	lastSum := -1
	bar := progressbar.NewOptions(-1, progressbar.OptionSetWriter(o.ErrOut), progressbar.OptionShowCount())
	return func(ready, wanted, held, total int) {
		if held+ready == lastSum {
			return
		}
		lastSum = held + ready
		bar.ChangeMax(max(total, 1))
		bar.Describe(fmt.Sprintf("replicas %d of %d, chunks", ready, wanted))
		_ = bar.Set(held)
		if ready == wanted {
			fmt.Fprintln(o.ErrOut)
		}
	}
}

func (o *Options) print(r localcluster.Result) error {
	if o.JSON {
		return json.NewEncoder(o.Out).Encode(r)
	}
	_, err := fmt.Fprintf(o.Out, "%d of %d replicas serve %d bytes after %.2f s; %d bytes read from store and origin; %d responses, %d wrong; %d bookings, %d made twice\n",
		r.ReadyReplicas, r.WantedReplicas, r.ModelSize, r.Seconds, r.SourceBytes, r.Completions, r.WrongCompletions, r.ExecutedBookings, r.RepeatedBookings)
	return err
}

// Example returns the example that the help shows.
func (Args) Example() string {
	return "nutmegdock dev --once --json"
}
