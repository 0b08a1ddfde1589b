package root

import (
	"context"

	"github.com/nutmegdock/nutmegdock/internal/factory"
	deploymentcreate "github.com/nutmegdock/nutmegdock/pkg/cmd/deployment/create"
	deploymentdelete "github.com/nutmegdock/nutmegdock/pkg/cmd/deployment/delete"
	deploymentedit "github.com/nutmegdock/nutmegdock/pkg/cmd/deployment/edit"
	deploymentlist "github.com/nutmegdock/nutmegdock/pkg/cmd/deployment/list"
	deploymentview "github.com/nutmegdock/nutmegdock/pkg/cmd/deployment/view"
	"github.com/nutmegdock/nutmegdock/pkg/cmd/dev"
	"github.com/nutmegdock/nutmegdock/pkg/cmd/explain"
	"github.com/nutmegdock/nutmegdock/pkg/cmd/history"
	organisationcreate "github.com/nutmegdock/nutmegdock/pkg/cmd/organisation/create"
	organisationdelete "github.com/nutmegdock/nutmegdock/pkg/cmd/organisation/delete"
	organisationlist "github.com/nutmegdock/nutmegdock/pkg/cmd/organisation/list"
	settingscheck "github.com/nutmegdock/nutmegdock/pkg/cmd/settings/check"
	"github.com/nutmegdock/nutmegdock/pkg/cmd/status"
	templatedelete "github.com/nutmegdock/nutmegdock/pkg/cmd/template/delete"
	templatelist "github.com/nutmegdock/nutmegdock/pkg/cmd/template/list"
	templatepublish "github.com/nutmegdock/nutmegdock/pkg/cmd/template/publish"
	templateview "github.com/nutmegdock/nutmegdock/pkg/cmd/template/view"
	"github.com/nutmegdock/nutmegdock/pkg/cmd/undo"
	"github.com/nutmegdock/nutmegdock/pkg/cmd/version"
)

type templateArgs struct {
	Publish *templatepublish.Args `arg:"subcommand:publish" help:"publish a template"`
	List    *templatelist.Args    `arg:"subcommand:list" help:"list templates"`
	View    *templateview.Args    `arg:"subcommand:view" help:"show a template"`
	Delete  *templatedelete.Args  `arg:"subcommand:delete" help:"delete a template"`
}

type deploymentArgs struct {
	Create *deploymentcreate.Args `arg:"subcommand:create" help:"create a deployment"`
	Edit   *deploymentedit.Args   `arg:"subcommand:edit" help:"change a deployment's overrides"`
	List   *deploymentlist.Args   `arg:"subcommand:list" help:"list deployments and their replicas"`
	View   *deploymentview.Args   `arg:"subcommand:view" help:"show a deployment"`
	Delete *deploymentdelete.Args `arg:"subcommand:delete" help:"delete a deployment"`
}

type organisationArgs struct {
	Create *organisationcreate.Args `arg:"subcommand:create" help:"create an organisation, or change its key or share"`
	List   *organisationlist.Args   `arg:"subcommand:list" help:"list organisations"`
	Delete *organisationdelete.Args `arg:"subcommand:delete" help:"delete an organisation"`
}

type settingsArgs struct {
	Check *settingscheck.Args `arg:"subcommand:check" help:"check a settings file"`
}

type args struct {
	Template     *templateArgs     `arg:"subcommand:template" help:"manage templates"`
	Deployment   *deploymentArgs   `arg:"subcommand:deployment" help:"manage deployments of organisations"`
	Organisation *organisationArgs `arg:"subcommand:organisation" help:"manage organisations"`
	History      *history.Args     `arg:"subcommand:history" help:"show the audit trail of changes"`
	Undo         *undo.Args        `arg:"subcommand:undo" help:"revert a change"`
	Status       *status.Args      `arg:"subcommand:status" help:"show hosts, weight sets and configuration"`
	Explain      *explain.Args     `arg:"subcommand:explain" help:"show why hosts serve a deployment or not, or where a request would go"`
	Settings     *settingsArgs     `arg:"subcommand:settings" help:"check settings files of the daemons"`
	Dev          *dev.Args         `arg:"subcommand:dev" help:"run a complete system on loopback"`
	Version      *version.Args     `arg:"subcommand:version" help:"show the version of this program"`

	AdminURL  string `arg:"--admin,env:NUTMEGDOCK_ADMIN" default:"http://127.0.0.1:7001" help:"URL of an entry host's administration interface"`
	TokenFile string `arg:"--token-file,env:NUTMEGDOCK_TOKEN_FILE" help:"file with the operator's token"`
	JSON      bool   `arg:"--json" help:"write JSON"`
}

// command returns a function that runs the command that the arguments select, or nil if they select none.
func (a *args) command(f *factory.Factory) func(ctx context.Context) error {
	switch {
	case a.Template != nil:
		return a.Template.command(f)
	case a.Deployment != nil:
		return a.Deployment.command(f)
	case a.Organisation != nil:
		return a.Organisation.command(f)
	case a.Settings != nil && a.Settings.Check != nil:
		return settingscheck.Command(f, *a.Settings.Check)
	case a.History != nil:
		return history.Command(f, *a.History)
	case a.Undo != nil:
		return undo.Command(f, *a.Undo)
	case a.Status != nil:
		return status.Command(f, *a.Status)
	case a.Explain != nil:
		return explain.Command(f, *a.Explain)
	case a.Dev != nil:
		return dev.Command(f, *a.Dev)
	case a.Version != nil:
		return version.Command(f, *a.Version)
	}
	return nil
}

func (a *templateArgs) command(f *factory.Factory) func(ctx context.Context) error {
	switch {
	case a.Publish != nil:
		return templatepublish.Command(f, *a.Publish)
	case a.List != nil:
		return templatelist.Command(f, *a.List)
	case a.View != nil:
		return templateview.Command(f, *a.View)
	case a.Delete != nil:
		return templatedelete.Command(f, *a.Delete)
	}
	return nil
}

func (a *deploymentArgs) command(f *factory.Factory) func(ctx context.Context) error {
	switch {
	case a.Create != nil:
		return deploymentcreate.Command(f, *a.Create)
	case a.Edit != nil:
		return deploymentedit.Command(f, *a.Edit)
	case a.List != nil:
		return deploymentlist.Command(f, *a.List)
	case a.View != nil:
		return deploymentview.Command(f, *a.View)
	case a.Delete != nil:
		return deploymentdelete.Command(f, *a.Delete)
	}
	return nil
}

func (a *organisationArgs) command(f *factory.Factory) func(ctx context.Context) error {
	switch {
	case a.Create != nil:
		return organisationcreate.Command(f, *a.Create)
	case a.List != nil:
		return organisationlist.Command(f, *a.List)
	case a.Delete != nil:
		return organisationdelete.Command(f, *a.Delete)
	}
	return nil
}
