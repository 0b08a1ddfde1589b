package explain

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/messages"
)

const (
	explanationTimeout = 15 * time.Second
	// maxExplanationBytes limits a response: about 200 bytes for each endpoint of a pool.
	maxExplanationBytes = 4 << 20
)

// explainRequestRun asks an entry host where a request would go now.
func explainRequestRun(ctx context.Context, opts *Options) error {
	explanation, err := queryExplanation(ctx, opts)
	if err != nil {
		return err
	}
	if !opts.JSON {
		printDecision(opts.Out, explanation)
	}
	rows := make([][]string, 0, len(explanation.Candidates))
	for _, c := range explanation.Candidates {
		age := "unknown"
		if c.LoadAge >= 0 {
			age = fmt.Sprintf("%d ms", c.LoadAge)
		}
		rows = append(rows, []string{
			c.Endpoint, string(c.Zone), c.State, strconv.FormatBool(c.Fits), strconv.Itoa(c.Requests), strconv.Itoa(c.PendingPromptTokens), age,
			fmt.Sprintf("%d ms", c.Predicted), fmt.Sprintf("%d ms", c.Margin),
		})
	}
	return opts.Print(explanation, []string{"ENDPOINT", "ZONE", "STATE", "FITS", "REQUESTS", "PENDING TOKENS", "LOAD AGE", "PREDICTED", "MARGIN"}, rows)
}

// printDecision writes the decision above the table of the candidates.
func printDecision(w io.Writer, e messages.RequestExplanation) {
	zones := make([]string, len(e.AllowedZones))
	for i, z := range e.AllowedZones {
		zones[i] = string(z)
	}
	fmt.Fprintf(w, "route %s, organisation %s, pool %s, configuration %d\n", orNone(e.Route), orNone(string(e.Organisation)), orNone(string(e.Pool)), e.Revision)
	fmt.Fprintf(w, "entry host in zone %s, allowed zones: %s\n", e.Zone, orNone(strings.Join(zones, " ")))
	if e.Refusal != "" {
		fmt.Fprintf(w, "refused: %s\n", e.Refusal)
		return
	}
	fmt.Fprintf(w, "sent to %s\n", e.Endpoint)
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}

func queryExplanation(ctx context.Context, opts *Options) (messages.RequestExplanation, error) {
	var out messages.RequestExplanation
	host, path, ok := strings.Cut(opts.Name, "/")
	if !ok || host == "" {
		return out, fmt.Errorf("%q is not HOST/PATH", opts.Name)
	}
	if opts.GatewayURL == "" {
		return out, errors.New("--request needs --gateway")
	}
	values := url.Values{"host": {host}, "path": {"/" + path}, "prefix": opts.Prefix}
	for name, value := range map[string]string{"model": opts.Model, "id": opts.RequestID} {
		if value != "" {
			values.Set(name, value)
		}
	}
	if opts.Tokens > 0 {
		values.Set("tokens", strconv.FormatFloat(opts.Tokens, 'f', -1, 64))
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimSuffix(opts.GatewayURL, "/")+messages.ExplainPath+"?"+values.Encode(), nil)
	if err != nil {
		return out, fmt.Errorf("explain request: %w", err)
	}
	if opts.Key != "" {
		r.Header.Set("Authorization", "Bearer "+opts.Key)
	}
	resp, err := opts.HTTP.Do(r)
	if err != nil {
		return out, fmt.Errorf("explain request: %w", err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxExplanationBytes))
	if err != nil {
		return out, fmt.Errorf("read explanation: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return out, fmt.Errorf("explain request: status %d: %s", resp.StatusCode, strings.TrimSpace(string(body)))
	}
	if err := json.Unmarshal(body, &out); err != nil {
		return out, fmt.Errorf("decode explanation: %w", err)
	}
	return out, nil
}
