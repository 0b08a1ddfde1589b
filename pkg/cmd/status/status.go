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

const megabyte = 1_000_000

// Args are the command's arguments.
type Args struct {
	Zones    bool          `arg:"--zones" help:"sum up by availability zone, with the spread of the configuration's offset"`
	Watch    bool          `arg:"--watch" help:"print the progress of bursts until all replicas are ready"`
	Interval time.Duration `arg:"--interval" default:"1s" help:"time between two looks with --watch"`
}

// Example shows a use of the command.
func (Args) Example() string {
	return "nutmegdock status --watch"
}

// Options are what the command needs.
type Options struct {
	Args
	Status func(ctx context.Context) (adminapi.Status, error)
	Print  func(v any, header []string, rows [][]string) error
	Out    io.Writer
}

// Command returns the command, ready to run.
func Command(f *factory.Factory, a Args) func(ctx context.Context) error {
	opts := &Options{Args: a, Status: f.Client().Status, Print: f.Print, Out: f.Out}
	return func(ctx context.Context) error { return statusRun(ctx, opts) }
}

func statusRun(ctx context.Context, opts *Options) error {
	if opts.Watch {
		return watchRun(ctx, opts)
	}
	st, err := opts.Status(ctx)
	if err != nil {
		return err
	}
	if opts.Zones {
		return printZones(opts, st)
	}
	var rows [][]string
	for _, r := range st.Endpoints {
		rows = append(rows, []string{
			string(r.Host), string(r.Zone), string(r.Pool), factory.Short(r.ServedSet), state(r.GateOpen, r.Leaving),
			fmt.Sprintf("%d/%d", r.HeldChunks, r.TotalChunks), strconv.Itoa(r.InFlight), strconv.FormatInt(int64(r.Offset), 10),
		})
	}
	header := []string{"HOST", "ZONE", "POOL", "SET", "STATE", "CHUNKS", "RUNNING", "OFFSET"}
	return opts.Print(st, header, rows)
}

func printZones(opts *Options, st adminapi.Status) error {
	zones := st.Zones()
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
	begin := time.Now()
	for {
		st, err := opts.Status(ctx)
		if err != nil {
			return err
		}
		p := st.Progress()
		if err := printProgress(opts.Out, p, time.Since(begin)); err != nil {
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
		p.Ready, p.Assigned, p.HeldChunks, p.TotalChunks, left(p, elapsed), b.SameZone/megabyte, b.SameRegion/megabyte, b.OtherRegions/megabyte, b.Store/megabyte, b.Origin/megabyte)
	return err
}

// left estimates the time until all chunks are held, from the rate since the watch began.
func left(p adminapi.Progress, elapsed time.Duration) string {
	if p.HeldChunks >= p.TotalChunks {
		return "all chunks held"
	}
	if p.HeldChunks == 0 {
		return "time left unknown"
	}
	rest := elapsed * time.Duration(p.TotalChunks-p.HeldChunks) / time.Duration(p.HeldChunks)
	return fmt.Sprintf("about %s left", rest.Round(time.Second))
}
