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

// Args holds the command-line arguments.
type Args struct {
	Organisation string `arg:"--organisation" help:"list only deployments of this organisation"`
}

// Example returns the example that the help shows.
func (Args) Example() string {
	return "nutmegdock deployment list --organisation agency"
}

// Options holds the arguments and dependencies of the command.
type Options struct {
	Args
	Status func(ctx context.Context) (adminapi.Status, error)
	Print  func(v any, header []string, rows [][]string) error
}

// Command returns a function that runs the command.
func Command(f *factory.Factory, a Args) func(ctx context.Context) error {
	opts := &Options{Args: a, Status: f.Client().Status, Print: f.Print}
	return func(ctx context.Context) error { return listRun(ctx, opts) }
}

func listRun(ctx context.Context, opts *Options) error {
	status, err := opts.Status(ctx)
	if err != nil {
		return err
	}
	deployments := []catalog.EffectiveDeployment{}
	var rows [][]string
	for _, d := range status.Deployments {
		if opts.Organisation != "" && d.Organisation != ident.Organisation(opts.Organisation) {
			continue
		}
		deployments = append(deployments, d)
		rows = append(rows, []string{
			fmt.Sprintf("%s/%s", d.Organisation, d.Name), string(d.Template), factory.FormatRefs(d.Spec.Refs()),
			fmt.Sprintf("%d/%d", status.ReadyReplicas(d), d.Spec.Replicas), strconv.Itoa(d.Spec.Priority), factory.ShortDigest(d.WeightSet),
		})
	}
	return opts.Print(deployments, []string{"NAME", "TEMPLATE", "WEIGHTS", "READY", "PRIORITY", "SET"}, rows)
}
