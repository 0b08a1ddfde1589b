// Package list implements "nutmegdock organisation list".
package list

import (
	"context"
	"strconv"
	"strings"

	"github.com/nutmegdock/nutmegdock/internal/adminapi"
	"github.com/nutmegdock/nutmegdock/internal/factory"
)

const prefix = "organisation/"

// Args are the command's arguments.
type Args struct{}

// Example shows a use of the command.
func (Args) Example() string {
	return "nutmegdock organisation list"
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
		org := o.Entry.Record.Organisation
		if org == nil {
			continue
		}
		name := strings.TrimPrefix(string(o.Object), prefix)
		rows = append(rows, []string{name, strconv.Itoa(org.Weight), strconv.FormatInt(int64(o.Entry.Revision), 10)})
	}
	return opts.Print(list, []string{"NAME", "WEIGHT", "REVISION"}, rows)
}
