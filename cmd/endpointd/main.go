// Command endpointd runs an endpoint host.
package main

import (
	"context"
	"os"

	"github.com/apex/log"

	"github.com/nutmegdock/nutmegdock/internal/daemon"
	"github.com/nutmegdock/nutmegdock/internal/endpointhost"
)

func main() {
	os.Exit(daemon.Main("endpointd", func(ctx context.Context, cfg endpointhost.Settings, l log.Interface) error {
		return (&endpointhost.Server{Settings: cfg, Logger: l}).Run(ctx)
	}))
}
