// Package create implements "nutmegdock deployment create".
package create

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/google/uuid"

	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/reducer"
	"github.com/nutmegdock/nutmegdock/internal/factory"
)

// Args are the command's arguments.
type Args struct {
	Name     string `arg:"positional,required" help:"ORGANISATION/DEPLOYMENT"`
	Template string `arg:"--template,required" help:"template that the deployment uses"`
	Replicas *int   `arg:"--replicas" help:"replicas, if the template leaves it open"`
	Priority *int   `arg:"--priority" help:"priority, if the template leaves it open"`
}

// Options are what the command needs.
type Options struct {
	Args
	Change func(ctx context.Context, rec catalog.Record) (reducer.Audit, error)
	Print  func(v any, header []string, rows [][]string) error
}

// Command returns the command, ready to run.
func Command(f *factory.Factory, a Args) func(ctx context.Context) error {
	opts := &Options{Args: a, Change: f.Client().Change, Print: f.Print}
	return func(ctx context.Context) error { return createRun(ctx, opts) }
}

func createRun(ctx context.Context, opts *Options) error {
	org, name, ok := strings.Cut(opts.Name, "/")
	if !ok || org == "" || name == "" {
		return fmt.Errorf("name %q is not ORGANISATION/DEPLOYMENT", opts.Name)
	}
	object := ident.DeploymentObject(ident.Organisation(org), ident.Deployment(name))
	d := &catalog.Deployment{Template: ident.Template(opts.Template), Replicas: opts.Replicas, Priority: opts.Priority}
	audit, err := opts.Change(ctx, catalog.Record{ID: ident.Change(uuid.NewString()), Object: object, Deployment: d})
	if err != nil {
		return err
	}
	if audit.Verdict != reducer.Accepted {
		return fmt.Errorf("deployment %s not created: %s: %s", opts.Name, audit.Verdict, audit.Reason)
	}
	row := []string{string(object), string(audit.Verdict), strconv.FormatInt(int64(audit.Revision), 10)}
	return opts.Print(audit, []string{"OBJECT", "VERDICT", "REVISION"}, [][]string{row})
}
