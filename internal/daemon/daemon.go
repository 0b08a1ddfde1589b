// Package daemon runs a program with its settings file and shuts it down gracefully on SIGINT, SIGTERM or
// SIGHUP.
package daemon

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/apex/log"
	"github.com/apex/log/handlers/json"

	"github.com/nutmegdock/nutmegdock/internal/settings"
)

type args struct {
	Settings string `arg:"--settings,required" help:"JSON settings file"`
	Check    bool   `arg:"--check" help:"validate the settings and exit"`
}

// Main reads settings of type T, runs the program with them and returns its exit code.
func Main[T any](name string, run func(ctx context.Context, cfg T, l log.Interface) error) int {
	var flags args
	parser, err := arg.NewParser(arg.Config{Program: name}, &flags)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	parser.MustParse(os.Args[1:])
	cfg, err := settings.Load[T](flags.Settings)
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		return 2
	}
	if flags.Check {
		fmt.Printf("%s: settings are valid\n", flags.Settings)
		return 0
	}
	// SIGHUP would otherwise end the process without a log line.
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	defer stop()
	logger := &log.Logger{Handler: json.New(os.Stderr), Level: log.InfoLevel}
	if err := run(ctx, cfg, logger); err != nil {
		logger.WithError(err).Error("process failed")
		return 1
	}
	return 0
}
