// Package factory creates what the commands of the nutmegdock command line share: client, output and argument parsing.
package factory

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"golang.org/x/term"

	"github.com/nutmegdock/nutmegdock/internal/adminclient"
	"github.com/nutmegdock/nutmegdock/internal/roundtripper"
)

const requestTimeout = 15 * time.Second

// Factory provides commands with their output and a client for an entry host.
type Factory struct {
	// AdminURL is the base URL of an entry host's administration interface.
	AdminURL string
	// Token is the operator's bearer token.
	Token string
	// JSON selects JSON output instead of tables.
	JSON bool
	// Out receives the output.
	Out io.Writer
	// IsTerminal reports whether Out is a terminal.
	IsTerminal bool
}

// IsTerminal reports whether a file is a terminal.
func IsTerminal(f *os.File) bool {
	return term.IsTerminal(int(f.Fd()))
}

// Client returns a client for the entry host's administration interface.
func (f *Factory) Client() *adminclient.Client {
	return &adminclient.Client{URL: f.AdminURL, Token: f.Token, HTTP: &http.Client{Timeout: requestTimeout, Transport: roundtripper.Default()}}
}

// Print writes v if JSON output is selected, and otherwise the rows: aligned and with a header on a terminal, separated
// by tabs elsewhere.
func (f *Factory) Print(v any, header []string, rows [][]string) error {
	if f.JSON {
		return json.NewEncoder(f.Out).Encode(v)
	}
	out := f.Out
	if f.IsTerminal {
		tw := tabwriter.NewWriter(f.Out, 0, 0, 2, ' ', 0)
		defer tw.Flush()
		out = tw
		writeRow(out, header)
	}
	for _, row := range rows {
		writeRow(out, row)
	}
	return nil
}

func writeRow(w io.Writer, cells []string) {
	for i, cell := range cells {
		if i > 0 {
			fmt.Fprint(w, "\t")
		}
		fmt.Fprint(w, cell)
	}
	fmt.Fprintln(w)
}
