// Command nutmegdock is the command line for operators.
package main

import (
	"context"
	"os"

	"github.com/nutmegdock/nutmegdock/internal/factory"
	"github.com/nutmegdock/nutmegdock/pkg/cmd/root"
)

func main() {
	os.Exit(root.Main(context.Background(), os.Args[1:], os.Stdout, os.Stderr, factory.IsTerminal(os.Stdout)))
}
