// Command endpointd runs an endpoint host.
package main

import (
	"context"
	"os"

	"github.com/apex/log"

	"github.com/nutmegdock/nutmegdock/internal/daemon"
	"github.com/nutmegdock/nutmegdock/internal/endpoint"
)

func main() {
	os.Exit(daemon.Main("endpointd", func(ctx context.Context, cfg endpoint.Settings, l log.Interface) error {
		return (&endpoint.Server{Settings: cfg, Logger: l}).Run(ctx)
	}))
}
