// Package create implements "nutmegdock organisation create".
package create

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/google/uuid"

	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/manifest"
	"github.com/nutmegdock/nutmegdock/internal/core/reducer"
	"github.com/nutmegdock/nutmegdock/internal/factory"
)

// Args are the command's arguments.
type Args struct {
	Name   string `arg:"positional,required" help:"name of the organisation"`
	Key    string `arg:"--key-file,required" help:"file with the organisation's bearer key"`
	Weight int    `arg:"--weight" default:"1" help:"share of the capacity"`
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
	return func(ctx context.Context) error { return createRun(ctx, opts) }
}

func createRun(ctx context.Context, opts *Options) error {
	key, err := opts.ReadFile(opts.Key)
	if err != nil {
		return fmt.Errorf("read key: %w", err)
	}
	object := ident.OrganisationObject(ident.Organisation(opts.Name))
	cur, err := opts.Object(ctx, object)
	if err != nil {
		return err
	}
	org := &catalog.Organisation{Key: manifest.Sum([]byte(strings.TrimSpace(string(key)))), Weight: opts.Weight}
	audit, err := opts.Change(ctx, catalog.Record{ID: ident.Change(uuid.NewString()), Object: object, Base: cur.Revision, Organisation: org})
	if err != nil {
		return err
	}
	if audit.Verdict != reducer.Accepted {
		return fmt.Errorf("organisation %s not created: %s: %s", opts.Name, audit.Verdict, audit.Reason)
	}
	row := []string{string(object), string(audit.Verdict), strconv.FormatInt(int64(audit.Revision), 10)}
	return opts.Print(audit, []string{"OBJECT", "VERDICT", "REVISION"}, [][]string{row})
}
