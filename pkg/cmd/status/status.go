// Package status implements "nutmegdock status".
package status

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/adminapi"
	"github.com/nutmegdock/nutmegdock/internal/factory"
)

const bytesPerMB = 1_000_000

// Args holds the command-line arguments.
type Args struct {
	Zones    bool          `arg:"--zones" help:"summarize by availability zone, with the lowest and highest offset of the configuration"`
	Watch    bool          `arg:"--watch" help:"print the progress of weight fetches until all replicas are ready"`
	Interval time.Duration `arg:"--interval" default:"1s" help:"time between two updates with --watch"`
}

// Example returns the example that the help shows.
func (Args) Example() string {
	return "nutmegdock status --watch"
}

// Options holds the arguments and dependencies of the command.
type Options struct {
	Args
	Status func(ctx context.Context) (adminapi.Status, error)
	Print  func(v any, header []string, rows [][]string) error
	Out    io.Writer
}

// Command returns a function that runs the command.
func Command(f *factory.Factory, a Args) func(ctx context.Context) error {
	opts := &Options{Args: a, Status: f.Client().Status, Print: f.Print, Out: f.Out}
	return func(ctx context.Context) error { return statusRun(ctx, opts) }
}

func statusRun(ctx context.Context, opts *Options) error {
	if opts.Watch {
		return watchRun(ctx, opts)
	}
	status, err := opts.Status(ctx)
	if err != nil {
		return err
	}
	if opts.Zones {
		return printZones(opts, status)
	}
	var rows [][]string
	for _, report := range status.Endpoints {
		rows = append(rows, []string{
			string(report.Host), string(report.Zone), string(report.Pool), factory.ShortDigest(report.ServedSet), state(report.GateOpen, report.Leaving),
			fmt.Sprintf("%d/%d", report.HeldChunks, report.TotalChunks), strconv.Itoa(report.InFlight), strconv.FormatInt(int64(report.Offset), 10),
		})
	}
	header := []string{"HOST", "ZONE", "POOL", "SET", "STATE", "CHUNKS", "RUNNING", "OFFSET"}
	return opts.Print(status, header, rows)
}

func printZones(opts *Options, status adminapi.Status) error {
	zones := status.Zones()
	var rows [][]string
	for _, z := range zones {
		rows = append(rows, []string{
			string(z.Zone), strconv.Itoa(z.Hosts), strconv.Itoa(z.Serving), strconv.Itoa(z.Leaving),
			strconv.FormatInt(int64(z.MinOffset), 10), strconv.FormatInt(int64(z.MaxOffset), 10),
		})
	}
	return opts.Print(zones, []string{"ZONE", "HOSTS", "SERVING", "LEAVING", "LOWEST OFFSET", "HIGHEST OFFSET"}, rows)
}

func state(open, leaving bool) string {
	switch {
	case leaving:
		return "leaving"
	case open:
		return "serving"
	}
	return "closed"
}

func watchRun(ctx context.Context, opts *Options) error {
	start := time.Now()
	for {
		status, err := opts.Status(ctx)
		if err != nil {
			return err
		}
		p := status.Progress()
		if err := printProgress(opts.Out, p, time.Since(start)); err != nil {
			return err
		}
		if p.Ready >= p.Assigned {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(opts.Interval):
		}
	}
}

func printProgress(w io.Writer, p adminapi.Progress, elapsed time.Duration) error {
	b := p.ReceivedBytes
	_, err := fmt.Fprintf(w, "replicas %d of %d, chunks %d of %d, %s; MB from zone %d, region %d, other regions %d, store %d, origin %d\n",
		p.Ready, p.Assigned, p.HeldChunks, p.TotalChunks, formatRemaining(p, elapsed), b.SameZone/bytesPerMB, b.SameRegion/bytesPerMB, b.OtherRegions/bytesPerMB, b.Store/bytesPerMB, b.Origin/bytesPerMB)
	return err
}

// formatRemaining estimates the time until all chunks are held, from the average rate since --watch started.
func formatRemaining(p adminapi.Progress, elapsed time.Duration) string {
	if p.HeldChunks >= p.TotalChunks {
		return "all chunks held"
	}
	if p.HeldChunks == 0 {
		return "remaining time unknown"
	}
	remaining := elapsed * time.Duration(p.TotalChunks-p.HeldChunks) / time.Duration(p.HeldChunks)
	return fmt.Sprintf("about %s remaining", remaining.Round(time.Second))
}
