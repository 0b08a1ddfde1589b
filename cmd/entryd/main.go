// Command entryd runs an entry host.
package main

import (
	"context"
	"os"

	"github.com/apex/log"

	"github.com/nutmegdock/nutmegdock/internal/daemon"
	"github.com/nutmegdock/nutmegdock/internal/entryhost"
)

func main() {
	os.Exit(daemon.Main("entryd", func(ctx context.Context, cfg entryhost.Settings, l log.Interface) error {
		return (&entryhost.Server{Settings: cfg, Logger: l}).Run(ctx)
	}))
}
