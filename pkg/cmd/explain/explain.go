// Package explain implements "nutmegdock explain".
package explain

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/nutmegdock/nutmegdock/internal/adminapi"
	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/factory"
	"github.com/nutmegdock/nutmegdock/internal/messages"
	"github.com/nutmegdock/nutmegdock/internal/roundtripper"
)

// Args holds the command-line arguments.
type Args struct {
	Name string   `arg:"positional,required" help:"ORGANISATION/DEPLOYMENT, with --logs the ID of a request, or with --request HOST/PATH of a request"`
	Logs []string `arg:"--logs,separate" help:"log file to search; can be repeated"`

	Request    bool     `arg:"--request" help:"show where a running gatewayd would send a request now; sends none"`
	GatewayURL string   `arg:"--gateway,env:NUTMEGDOCK_GATEWAY" help:"with --request: URL of the metrics server of an entry host"`
	Key        string   `arg:"--key,env:NUTMEGDOCK_KEY" help:"with --request: key of the organisation"`
	Model      string   `arg:"--model" help:"with --request: model of the request"`
	Tokens     float64  `arg:"--tokens" help:"with --request: number of prompt tokens"`
	Prefix     []string `arg:"--prefix,separate" help:"with --request: id of a part of the prompt; can be repeated"`
	RequestID  string   `arg:"--id" help:"with --request: id of the request, which decides among the pools of a route"`
}

// Example returns the example that the help shows.
func (Args) Example() string {
	return "nutmegdock explain agency/chat"
}

// Options holds the arguments and dependencies of the command.
type Options struct {
	Args
	Status func(ctx context.Context) (adminapi.Status, error)
	// HTTP sends the query of --request, and Out receives its explanation unless JSON is set.
	HTTP  *http.Client
	Out   io.Writer
	JSON  bool
	Print func(v any, header []string, rows [][]string) error
}

// HostStatus reports whether an endpoint host serves a deployment, and why.
type HostStatus struct {
	Host   string `json:"host"`
	Serves bool   `json:"serves"`
	Reason string `json:"reason"`
}

// Command returns a function that runs the command.
func Command(f *factory.Factory, a Args) func(ctx context.Context) error {
	opts := &Options{Args: a, Print: f.Print, HTTP: &http.Client{Timeout: explanationTimeout, Transport: roundtripper.Default()}, Out: f.Out, JSON: f.JSON}
	if a.Request {
		return func(ctx context.Context) error { return explainRequestRun(ctx, opts) }
	}
	if len(a.Logs) > 0 {
		return func(context.Context) error { return explainLogsRun(opts) }
	}
	opts.Status = f.Client().Status
	return func(ctx context.Context) error { return explainRun(ctx, opts) }
}

func explainRun(ctx context.Context, opts *Options) error {
	org, name, err := factory.ParseDeployment(opts.Name)
	if err != nil {
		return err
	}
	status, err := opts.Status(ctx)
	if err != nil {
		return err
	}
	for _, d := range status.Deployments {
		if d.Organisation == org && d.Name == name {
			return printHosts(opts, status, d)
		}
	}
	return fmt.Errorf("deployment %s does not exist; see nutmegdock deployment list", opts.Name)
}

func printHosts(opts *Options, status adminapi.Status, d catalog.EffectiveDeployment) error {
	hosts := []HostStatus{}
	var rows [][]string
	for _, report := range status.Endpoints {
		if report.Pool != d.Spec.Pool {
			continue
		}
		h := explainHost(report, d)
		hosts = append(hosts, h)
		rows = append(rows, []string{h.Host, strconv.FormatBool(h.Serves), h.Reason})
	}
	return opts.Print(hosts, []string{"HOST", "SERVES", "REASON"}, rows)
}

func explainHost(r messages.Report, d catalog.EffectiveDeployment) HostStatus {
	h := HostStatus{Host: string(r.Host)}
	switch {
	case r.Leaving:
		h.Reason = "host is leaving"
	case r.GateOpen && r.ServedSet == d.WeightSet:
		h.Serves = true
		h.Reason = "serves the deployment's weight set"
	case r.GateOpen && d.PreviousWeightSet != "" && r.ServedSet == d.PreviousWeightSet:
		h.Serves = true
		h.Reason = "serves the previous weight set"
	case r.AssignedSet == d.WeightSet && r.HeldChunks < r.TotalChunks:
		h.Reason = fmt.Sprintf("fetches weights, %d of %d chunks held", r.HeldChunks, r.TotalChunks)
	case r.AssignedSet == d.WeightSet:
		h.Reason = "loads the weights or waits to switch to them"
	case r.AssignedSet != "":
		h.Reason = "is assigned weight set " + factory.ShortDigest(r.AssignedSet)
	default:
		h.Reason = "has no weight set assigned"
	}
	return h
}
