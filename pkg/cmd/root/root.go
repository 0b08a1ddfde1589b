// Package root implements the operator's program, nutmegdock.
package root

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/alexflint/go-arg"

	"github.com/nutmegdock/nutmegdock/internal/factory"
	deploymentcreate "github.com/nutmegdock/nutmegdock/pkg/cmd/deployment/create"
	"github.com/nutmegdock/nutmegdock/pkg/cmd/dev"
	"github.com/nutmegdock/nutmegdock/pkg/cmd/history"
	organisationcreate "github.com/nutmegdock/nutmegdock/pkg/cmd/organisation/create"
	"github.com/nutmegdock/nutmegdock/pkg/cmd/status"
	templatepublish "github.com/nutmegdock/nutmegdock/pkg/cmd/template/publish"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

type templateArgs struct {
	Publish *templatepublish.Args `arg:"subcommand:publish" help:"publish a template"`
}

type deploymentArgs struct {
	Create *deploymentcreate.Args `arg:"subcommand:create" help:"create a deployment"`
}

type organisationArgs struct {
	Create *organisationcreate.Args `arg:"subcommand:create" help:"create an organisation or change its key"`
}

type empty struct{}

type args struct {
	Template     *templateArgs     `arg:"subcommand:template" help:"templates"`
	Deployment   *deploymentArgs   `arg:"subcommand:deployment" help:"deployments of organisations"`
	Organisation *organisationArgs `arg:"subcommand:organisation" help:"organisations"`
	History      *empty            `arg:"subcommand:history" help:"audit trail of changes"`
	Status       *empty            `arg:"subcommand:status" help:"hosts, weight sets and configuration"`
	Dev          *dev.Args         `arg:"subcommand:dev" help:"run the whole system on loopback"`
	Admin        string            `arg:"--admin,env:NUTMEGDOCK_ADMIN" default:"http://127.0.0.1:7001" help:"address of an entry host's operators' interface"`
	Token        string            `arg:"--token-file,env:NUTMEGDOCK_TOKEN_FILE" help:"file with the operator's token"`
	JSON         bool              `arg:"--json" help:"write JSON"`
}

// Main runs the program and returns its exit code.
func Main(ctx context.Context, argv []string, stdout, stderr io.Writer, terminal bool) int {
	var a args
	p, err := arg.NewParser(arg.Config{Program: "nutmegdock", Out: stdout}, &a)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	err = p.Parse(argv)
	if errors.Is(err, arg.ErrHelp) {
		_ = p.WriteHelpForSubcommand(stdout, p.SubcommandNames()...)
		return exitOK
	}
	if err != nil {
		fmt.Fprintf(stderr, "nutmegdock: %v; see nutmegdock --help\n", err)
		return exitUsage
	}
	f := &factory.Factory{Admin: a.Admin, JSON: a.JSON, Out: stdout, Terminal: terminal}
	if err := readToken(f, a.Token); err != nil {
		fmt.Fprintf(stderr, "nutmegdock: %v\n", err)
		return exitUsage
	}
	run := command(f, &a)
	if run == nil {
		p.WriteHelp(stderr)
		return exitUsage
	}
	if err := run(ctx); err != nil {
		fmt.Fprintf(stderr, "nutmegdock: %v\n", err)
		return exitFailed
	}
	return exitOK
}

func readToken(f *factory.Factory, path string) error {
	if path == "" {
		return nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read token: %w", err)
	}
	f.Token = strings.TrimSpace(string(data))
	return nil
}

func command(f *factory.Factory, a *args) func(ctx context.Context) error {
	switch {
	case a.Template != nil && a.Template.Publish != nil:
		return templatepublish.Command(f, *a.Template.Publish)
	case a.Deployment != nil && a.Deployment.Create != nil:
		return deploymentcreate.Command(f, *a.Deployment.Create)
	case a.Organisation != nil && a.Organisation.Create != nil:
		return organisationcreate.Command(f, *a.Organisation.Create)
	case a.History != nil:
		return history.Command(f)
	case a.Status != nil:
		return status.Command(f)
	case a.Dev != nil:
		return dev.Command(f, *a.Dev)
	}
	return nil
}
