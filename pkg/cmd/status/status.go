// Package status implements "nutmegdock status".
package status

import (
	"context"
	"fmt"
	"strconv"

	"github.com/nutmegdock/nutmegdock/internal/admin"
	"github.com/nutmegdock/nutmegdock/internal/factory"
)

// Options are what the command needs.
type Options struct {
	Status func(ctx context.Context) (admin.Status, error)
	Print  func(v any, header []string, rows [][]string) error
}

// Command returns the command, ready to run.
func Command(f *factory.Factory) func(ctx context.Context) error {
	opts := &Options{Status: f.Client().Status, Print: f.Print}
	return func(ctx context.Context) error { return statusRun(ctx, opts) }
}

func statusRun(ctx context.Context, opts *Options) error {
	st, err := opts.Status(ctx)
	if err != nil {
		return err
	}
	var rows [][]string
	for _, r := range st.Endpoints {
		rows = append(rows, []string{
			string(r.Host), string(r.Zone), string(r.Pool), fmt.Sprintf("%.12s", r.Set), strconv.FormatBool(r.Open),
			fmt.Sprintf("%d/%d", r.Chunks, r.Total), strconv.FormatInt(int64(r.Offset), 10),
		})
	}
	return opts.Print(st, []string{"HOST", "ZONE", "POOL", "SET", "OPEN", "CHUNKS", "OFFSET"}, rows)
}
