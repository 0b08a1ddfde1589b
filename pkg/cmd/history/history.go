// Package history implements "nutmegdock history".
package history

import (
	"context"
	"strconv"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/reducer"
	"github.com/nutmegdock/nutmegdock/internal/factory"
)

// Options are what the command needs.
type Options struct {
	History func(ctx context.Context) ([]reducer.Audit, error)
	Print   func(v any, header []string, rows [][]string) error
}

// Command returns the command, ready to run.
func Command(f *factory.Factory) func(ctx context.Context) error {
	opts := &Options{History: f.Client().History, Print: f.Print}
	return func(ctx context.Context) error { return historyRun(ctx, opts) }
}

func historyRun(ctx context.Context, opts *Options) error {
	list, err := opts.History(ctx)
	if err != nil {
		return err
	}
	var rows [][]string
	for _, a := range list {
		rows = append(rows, []string{
			strconv.FormatInt(int64(a.Offset), 10), a.Time.Format(time.RFC3339), string(a.Author), string(a.Object),
			string(a.Verdict), a.Reason,
		})
	}
	return opts.Print(list, []string{"OFFSET", "TIME", "AUTHOR", "OBJECT", "VERDICT", "REASON"}, rows)
}
