// Command platformd runs stand-ins for the platform services and the back ends, for tests.
package main

import (
	"context"
	"os"

	"github.com/apex/log"

	"github.com/nutmegdock/nutmegdock/internal/daemon"
	"github.com/nutmegdock/nutmegdock/internal/standin/platform"
)

func main() {
	os.Exit(daemon.Main("platformd", func(ctx context.Context, cfg platform.Settings, _ log.Interface) error {
		return (&platform.Platform{Settings: cfg}).Run(ctx)
	}))
}
