// Package factory makes what the commands of the operator's program share.
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
)

const callTime = 15 * time.Second

// Factory gives commands their output and their connection to an entry host.
type Factory struct {
	// Admin is the base address of an entry host's second address.
	Admin string
	// Token is the operator's secret.
	Token string
	// JSON selects JSON output.
	JSON bool
	// Out receives the output.
	Out io.Writer
	// Terminal tells whether Out is a terminal.
	Terminal bool
}

// IsTerminal tells whether a file is a terminal.
func IsTerminal(f *os.File) bool {
	return term.IsTerminal(int(f.Fd()))
}

// Client returns the connection to the entry host.
func (f *Factory) Client() *adminclient.Client {
	return &adminclient.Client{URL: f.Admin, Token: f.Token, HTTP: &http.Client{Timeout: callTime}}
}

// Print writes v as JSON if that was asked for, and otherwise the rows: aligned with a header on a terminal,
// separated by tabs when piped.
func (f *Factory) Print(v any, header []string, rows [][]string) error {
	if f.JSON {
		return json.NewEncoder(f.Out).Encode(v)
	}
	out := f.Out
	if f.Terminal {
		tw := tabwriter.NewWriter(f.Out, 0, 0, 2, ' ', 0)
		defer tw.Flush()
		out = tw
		writeRow(out, header)
	}
	for _, r := range rows {
		writeRow(out, r)
	}
	return nil
}

func writeRow(w io.Writer, cells []string) {
	for i, c := range cells {
		if i > 0 {
			fmt.Fprint(w, "\t")
		}
		fmt.Fprint(w, c)
	}
	fmt.Fprintln(w)
}
