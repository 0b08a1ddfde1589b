// Package list implements "nutmegdock deployment list".
package list

import (
	"context"
	"fmt"
	"strconv"

	"github.com/nutmegdock/nutmegdock/internal/adminapi"
	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/factory"
)

// Args are the command's arguments.
type Args struct {
	Organisation string `arg:"--organisation" help:"only this organisation"`
}

// Example shows a use of the command.
func (Args) Example() string {
	return "nutmegdock deployment list --organisation agency"
}

// Options are what the command needs.
type Options struct {
	Args
	Status func(ctx context.Context) (adminapi.Status, error)
	Print  func(v any, header []string, rows [][]string) error
}

// Command returns the command, ready to run.
func Command(f *factory.Factory, a Args) func(ctx context.Context) error {
	opts := &Options{Args: a, Status: f.Client().Status, Print: f.Print}
	return func(ctx context.Context) error { return listRun(ctx, opts) }
}

func listRun(ctx context.Context, opts *Options) error {
	st, err := opts.Status(ctx)
	if err != nil {
		return err
	}
	list := []catalog.EffectiveDeployment{}
	var rows [][]string
	for _, d := range st.Deployments {
		if opts.Organisation != "" && d.Organisation != ident.Organisation(opts.Organisation) {
			continue
		}
		list = append(list, d)
		rows = append(rows, []string{
			fmt.Sprintf("%s/%s", d.Organisation, d.Name), string(d.Template), factory.FormatRefs(d.Spec.Refs()),
			fmt.Sprintf("%d/%d", st.ReadyReplicas(d), d.Spec.Replicas), strconv.Itoa(d.Spec.Priority), factory.Short(d.WeightSet),
		})
	}
	return opts.Print(list, []string{"NAME", "TEMPLATE", "WEIGHTS", "READY", "PRIORITY", "SET"}, rows)
}
