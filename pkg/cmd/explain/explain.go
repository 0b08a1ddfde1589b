// Package explain implements "nutmegdock explain".
package explain

import (
	"context"
	"fmt"
	"strconv"

	"github.com/nutmegdock/nutmegdock/internal/adminapi"
	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/factory"
	"github.com/nutmegdock/nutmegdock/internal/messages"
)

// Args are the command's arguments.
type Args struct {
	Name string   `arg:"positional,required" help:"ORGANISATION/DEPLOYMENT, or with --logs the id of a request"`
	Logs []string `arg:"--logs,separate" help:"file with log lines; may be given more than once"`
}

// Example shows a use of the command.
func (Args) Example() string {
	return "nutmegdock explain agency/chat"
}

// Options are what the command needs.
type Options struct {
	Args
	Status func(ctx context.Context) (adminapi.Status, error)
	Print  func(v any, header []string, rows [][]string) error
}

// Host tells why an endpoint serves a deployment or not.
type Host struct {
	Host   string `json:"host"`
	Serves bool   `json:"serves"`
	Reason string `json:"reason"`
}

// Command returns the command, ready to run.
func Command(f *factory.Factory, a Args) func(ctx context.Context) error {
	opts := &Options{Args: a, Print: f.Print}
	if len(a.Logs) > 0 {
		return func(context.Context) error { return logsRun(opts) }
	}
	opts.Status = f.Client().Status
	return func(ctx context.Context) error { return explainRun(ctx, opts) }
}

func explainRun(ctx context.Context, opts *Options) error {
	org, name, err := factory.ParseDeployment(opts.Name)
	if err != nil {
		return err
	}
	st, err := opts.Status(ctx)
	if err != nil {
		return err
	}
	for _, d := range st.Deployments {
		if d.Organisation == org && d.Name == name {
			return printHosts(opts, st, d)
		}
	}
	return fmt.Errorf("deployment %s does not exist; see nutmegdock deployment list", opts.Name)
}

func printHosts(opts *Options, st adminapi.Status, d catalog.EffectiveDeployment) error {
	hosts := []Host{}
	var rows [][]string
	for _, r := range st.Endpoints {
		if r.Pool != d.Spec.Pool {
			continue
		}
		h := explain(r, d)
		hosts = append(hosts, h)
		rows = append(rows, []string{h.Host, strconv.FormatBool(h.Serves), h.Reason})
	}
	return opts.Print(hosts, []string{"HOST", "SERVES", "REASON"}, rows)
}

func explain(r messages.Report, d catalog.EffectiveDeployment) Host {
	h := Host{Host: string(r.Host)}
	switch {
	case r.Leaving:
		h.Reason = "host is leaving"
	case r.GateOpen && r.ServedSet == d.WeightSet:
		h.Serves = true
		h.Reason = "serves the deployment's weight set"
	case r.GateOpen && d.PreviousWeightSet != "" && r.ServedSet == d.PreviousWeightSet:
		h.Serves = true
		h.Reason = "serves the weight set before the last change"
	case r.AssignedSet == d.WeightSet && r.HeldChunks < r.TotalChunks:
		h.Reason = fmt.Sprintf("fetches weights, %d of %d chunks held", r.HeldChunks, r.TotalChunks)
	case r.AssignedSet == d.WeightSet:
		h.Reason = "loads the weights, or waits for its turn to switch"
	case r.AssignedSet != "":
		h.Reason = "is placed for weight set " + factory.Short(r.AssignedSet)
	default:
		h.Reason = "is not placed for any weight set"
	}
	return h
}
