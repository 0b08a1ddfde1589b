// Package history implements "nutmegdock history".
package history

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/adminapi"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/reducer"
	"github.com/nutmegdock/nutmegdock/internal/factory"
)

// Args are the command's arguments.
type Args struct {
	Object       string     `arg:"--object" help:"only objects whose path starts so, such as deployment/agency/"`
	Organisation string     `arg:"--organisation" help:"only this organisation and its deployments"`
	Author       string     `arg:"--author" help:"only this author"`
	Verdict      string     `arg:"--verdict" help:"only this verdict: accepted, conflict, refused, repeated or malformed"`
	Limit        int        `arg:"--limit" default:"50" help:"number of entries, the newest"`
	Since        *time.Time `arg:"--since" help:"only records from this time on, such as 2026-01-31T12:00:00Z"`
	Full         bool       `arg:"--full" help:"show each object before and after the change"`
	Refused      bool       `arg:"--refused" help:"show instead the requests that were refused for their token"`
}

// Example shows a use of the command.
func (Args) Example() string {
	return "nutmegdock history --object deployment/agency/ --verdict conflict"
}

// Options are what the command needs.
type Options struct {
	Args
	History  func(ctx context.Context, f reducer.AuditFilter) ([]reducer.AuditEntry, error)
	Attempts func(ctx context.Context) ([]adminapi.RefusedAttempt, error)
	Print    func(v any, header []string, rows [][]string) error
}

// Command returns the command, ready to run.
func Command(f *factory.Factory, a Args) func(ctx context.Context) error {
	c := f.Client()
	opts := &Options{Args: a, History: c.History, Attempts: c.Attempts, Print: f.Print}
	return func(ctx context.Context) error { return historyRun(ctx, opts) }
}

func historyRun(ctx context.Context, opts *Options) error {
	if opts.Refused {
		return attemptsRun(ctx, opts)
	}
	f := reducer.AuditFilter{
		Prefix: opts.Object, Organisation: ident.Organisation(opts.Organisation), Author: ident.Author(opts.Author), Verdict: reducer.Verdict(opts.Verdict), Limit: opts.Limit,
	}
	if opts.Since != nil {
		f.Since = *opts.Since
	}
	list, err := opts.History(ctx, f)
	if err != nil {
		return err
	}
	if opts.Full {
		return fullRun(opts, list)
	}
	var rows [][]string
	for _, a := range list {
		rows = append(rows, []string{
			strconv.FormatInt(int64(a.Offset), 10), a.Time.Format(time.RFC3339), string(a.Author), string(a.Object),
			string(a.Verdict), strconv.FormatInt(int64(a.Revision), 10), string(a.ID), a.Reason,
		})
	}
	return opts.Print(list, []string{"OFFSET", "TIME", "AUTHOR", "OBJECT", "VERDICT", "REVISION", "CHANGE", "REASON"}, rows)
}

func fullRun(opts *Options, list []reducer.AuditEntry) error {
	var rows [][]string
	for _, a := range list {
		offset := strconv.FormatInt(int64(a.Offset), 10)
		rows = append(rows, []string{offset, string(a.Author), string(a.Object), body(a.Before), body(a.After)})
	}
	return opts.Print(list, []string{"OFFSET", "AUTHOR", "OBJECT", "BEFORE", "AFTER"}, rows)
}

// body writes the object's content in one line.
func body(e *reducer.ObjectState) string {
	if e == nil || e.Record.Delete {
		return "-"
	}
	var content any = e.Record.Organisation
	switch {
	case e.Record.Template != nil:
		content = e.Record.Template
	case e.Record.Deployment != nil:
		content = e.Record.Deployment
	}
	data, err := json.Marshal(content)
	if err != nil {
		return err.Error()
	}
	return string(data)
}

func attemptsRun(ctx context.Context, opts *Options) error {
	list, err := opts.Attempts(ctx)
	if err != nil {
		return err
	}
	var rows [][]string
	for _, a := range list {
		rows = append(rows, []string{a.Time.Format(time.RFC3339), string(a.Author), a.Action, a.RemoteAddress, a.Reason})
	}
	return opts.Print(list, []string{"TIME", "NAME", "ACTION", "FROM", "REASON"}, rows)
}
