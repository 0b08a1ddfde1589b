// Package list implements "nutmegdock template list".
package list

import (
	"context"
	"strconv"
	"strings"

	"github.com/nutmegdock/nutmegdock/internal/adminapi"
	"github.com/nutmegdock/nutmegdock/internal/factory"
)

const prefix = "template/"

// Args are the command's arguments.
type Args struct{}

// Example shows a use of the command.
func (Args) Example() string {
	return "nutmegdock template list --json"
}

// Options are what the command needs.
type Options struct {
	Objects func(ctx context.Context, prefix string) ([]adminapi.Object, error)
	Print   func(v any, header []string, rows [][]string) error
}

// Command returns the command, ready to run.
func Command(f *factory.Factory, _ Args) func(ctx context.Context) error {
	opts := &Options{Objects: f.Client().Objects, Print: f.Print}
	return func(ctx context.Context) error { return listRun(ctx, opts) }
}

func listRun(ctx context.Context, opts *Options) error {
	list, err := opts.Objects(ctx, prefix)
	if err != nil {
		return err
	}
	var rows [][]string
	for _, o := range list {
		t := o.Entry.Record.Template
		if t == nil {
			continue
		}
		rows = append(rows, []string{
			strings.TrimPrefix(string(o.Object), prefix), string(t.Kind), string(t.Pool), factory.FormatRefs(t.Refs()),
			strconv.Itoa(t.Replicas), strconv.Itoa(t.Priority), strconv.FormatInt(int64(o.Entry.Revision), 10),
		})
	}
	return opts.Print(list, []string{"NAME", "KIND", "POOL", "WEIGHTS", "REPLICAS", "PRIORITY", "REVISION"}, rows)
}
