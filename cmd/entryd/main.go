// Command entryd runs an entry host.
package main

import (
	"context"
	"os"

	"github.com/apex/log"

	"github.com/nutmegdock/nutmegdock/internal/daemon"
	"github.com/nutmegdock/nutmegdock/internal/entry"
)

func main() {
	os.Exit(daemon.Main("entryd", func(ctx context.Context, cfg entry.Settings, l log.Interface) error {
		return (&entry.Server{Settings: cfg, Logger: l}).Run(ctx)
	}))
}
