// Package adminclient is a client of an entry host's admin API.
package adminclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"

	"github.com/nutmegdock/nutmegdock/internal/adminapi"
	"github.com/nutmegdock/nutmegdock/internal/bodyreader"
	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/reducer"
)

const maxResponseBytes = 64 << 20

// Client calls one entry host. Set its fields before use.
type Client struct {
	// URL is the base URL of the entry host's admin address.
	URL string
	// Token is the secret of the operator's token.
	Token string
	// HTTP sends the requests.
	HTTP *http.Client
}

// PublishChange publishes a change. It is safe to call again with the same id.
func (c *Client) PublishChange(ctx context.Context, rec catalog.Record) (reducer.AuditEntry, error) {
	return call[reducer.AuditEntry](ctx, c, http.MethodPost, adminapi.ChangesPath, rec)
}

// Preview returns the effects that a change would have, without publishing it.
func (c *Client) Preview(ctx context.Context, rec catalog.Record) (reducer.Preview, error) {
	return call[reducer.Preview](ctx, c, http.MethodPost, adminapi.ChangesPath+"?dry=true", rec)
}

// UndoRecord returns the record that reverses an accepted change.
func (c *Client) UndoRecord(ctx context.Context, id ident.ChangeID) (catalog.Record, error) {
	return call[catalog.Record](ctx, c, http.MethodGet, adminapi.UndoPath+url.PathEscape(string(id)), nil)
}

// Object returns one object, or a zero entry when it does not exist.
func (c *Client) Object(ctx context.Context, o ident.ObjectPath) (reducer.ObjectState, error) {
	list, err := c.Objects(ctx, string(o))
	return entryOf(list, o), err
}

// ObjectAt returns one object as it was at an offset of the log, or a zero entry when it did not exist.
func (c *Client) ObjectAt(ctx context.Context, o ident.ObjectPath, at ident.Offset) (reducer.ObjectState, error) {
	q := url.Values{"prefix": {string(o)}, "at": {strconv.FormatInt(int64(at), 10)}}
	list, err := call[[]adminapi.Object](ctx, c, http.MethodGet, adminapi.ObjectsPath+"?"+q.Encode(), nil)
	return entryOf(list, o), err
}

func entryOf(list []adminapi.Object, o ident.ObjectPath) reducer.ObjectState {
	for _, item := range list {
		if item.Object == o {
			return item.Entry
		}
	}
	return reducer.ObjectState{}
}

// Objects lists the objects whose paths start with prefix.
func (c *Client) Objects(ctx context.Context, prefix string) ([]adminapi.Object, error) {
	return call[[]adminapi.Object](ctx, c, http.MethodGet, adminapi.ObjectsPath+"?prefix="+url.QueryEscape(prefix), nil)
}

// History returns the selected entries of the audit trail, oldest first.
func (c *Client) History(ctx context.Context, f reducer.AuditFilter) ([]reducer.AuditEntry, error) {
	return call[[]reducer.AuditEntry](ctx, c, http.MethodGet, adminapi.HistoryPath+"?"+adminapi.HistoryQuery(f).Encode(), nil)
}

// FindChange returns the audit entry of one change.
func (c *Client) FindChange(ctx context.Context, id ident.ChangeID) (reducer.AuditEntry, error) {
	list, err := c.History(ctx, reducer.AuditFilter{})
	if err != nil {
		return reducer.AuditEntry{}, err
	}
	i := slices.IndexFunc(list, func(a reducer.AuditEntry) bool { return a.ID == id && a.Verdict != reducer.Repeated })
	if i < 0 {
		return reducer.AuditEntry{}, fmt.Errorf("change %s is not in the history; see nutmegdock history", id)
	}
	return list[i], nil
}

// Attempts returns the operators' requests that were refused, oldest first.
func (c *Client) Attempts(ctx context.Context) ([]adminapi.RefusedAttempt, error) {
	return call[[]adminapi.RefusedAttempt](ctx, c, http.MethodGet, adminapi.AttemptsPath, nil)
}

// Status returns the state of the system as the entry host knows it.
func (c *Client) Status(ctx context.Context) (adminapi.Status, error) {
	return call[adminapi.Status](ctx, c, http.MethodGet, adminapi.StatusPath, nil)
}

func call[Result any](ctx context.Context, c *Client, method, path string, q any) (Result, error) {
	var result Result
	var body io.Reader = http.NoBody
	if q != nil {
		data, err := json.Marshal(q)
		if err != nil {
			return result, fmt.Errorf("%s: encode request: %w", path, err)
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.URL+path, body)
	if err != nil {
		return result, fmt.Errorf("%s: %w", path, err)
	}
	req.Header.Set("Authorization", "Bearer "+c.Token)
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return result, fmt.Errorf("entry host cannot be reached; check --admin: %w", err)
	}
	defer resp.Body.Close()
	data, err := bodyreader.ReadAll(resp.Body, maxResponseBytes)
	if err != nil {
		return result, fmt.Errorf("%s: read response: %w", path, err)
	}
	if resp.StatusCode != http.StatusOK {
		e := &adminapi.ResponseError{Status: resp.StatusCode}
		if json.Unmarshal(data, e) != nil || e.Text == "" {
			e.Text = fmt.Sprintf("entry host responded with status %d: %s", resp.StatusCode, data)
		}
		return result, e
	}
	if err := json.Unmarshal(data, &result); err != nil {
		return result, fmt.Errorf("%s: decode response: %w", path, err)
	}
	return result, nil
}
