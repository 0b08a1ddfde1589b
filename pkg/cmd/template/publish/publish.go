// Package publish implements "nutmegdock template publish".
package publish

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strconv"

	"github.com/google/uuid"

	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/reducer"
	"github.com/nutmegdock/nutmegdock/internal/factory"
)

// Args are the command's arguments.
type Args struct {
	Name string `arg:"positional,required" help:"name of the template"`
	File string `arg:"--file,required" help:"JSON file with the template's parameters"`
}

// Options are what the command needs.
type Options struct {
	Args
	ReadFile func(path string) ([]byte, error)
	Object   func(ctx context.Context, o ident.Object) (reducer.Entry, error)
	Change   func(ctx context.Context, rec catalog.Record) (reducer.Audit, error)
	Print    func(v any, header []string, rows [][]string) error
}

// Command returns the command, ready to run.
func Command(f *factory.Factory, a Args) func(ctx context.Context) error {
	c := f.Client()
	opts := &Options{Args: a, ReadFile: os.ReadFile, Object: c.Object, Change: c.Change, Print: f.Print}
	return func(ctx context.Context) error { return publishRun(ctx, opts) }
}

func publishRun(ctx context.Context, opts *Options) error {
	data, err := opts.ReadFile(opts.File)
	if err != nil {
		return fmt.Errorf("read template: %w", err)
	}
	var t catalog.Template
	if err := json.Unmarshal(data, &t); err != nil {
		return fmt.Errorf("read template %s: %w", opts.File, err)
	}
	object := ident.TemplateObject(ident.Template(opts.Name))
	cur, err := opts.Object(ctx, object)
	if err != nil {
		return err
	}
	audit, err := opts.Change(ctx, catalog.Record{ID: ident.Change(uuid.NewString()), Object: object, Base: cur.Revision, Template: &t})
	if err != nil {
		return err
	}
	if audit.Verdict != reducer.Accepted {
		return fmt.Errorf("template %s not published: %s: %s", opts.Name, audit.Verdict, audit.Reason)
	}
	row := []string{string(object), string(audit.Verdict), strconv.FormatInt(int64(audit.Revision), 10)}
	return opts.Print(audit, []string{"OBJECT", "VERDICT", "REVISION"}, [][]string{row})
}
