// Package logclient reads from and appends to the platform's log service over HTTP.
package logclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/bodyreader"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

// Stream names one append-only stream of the log service.
type Stream string

// ConfigStream is the stream of configuration changes.
const ConfigStream Stream = "config"

const maxPageBytes = 64 << 20

// Client reads and appends records.
type Client struct {
	// URL is the base address of the log service.
	URL string
	// HTTP sends the requests.
	HTTP *http.Client
}

// Record is one record of a stream.
type Record struct {
	Offset ident.Offset `json:"offset"`
	Data   []byte       `json:"data"`
}

// Page is the response to a read.
type Page struct {
	// FirstOffset is the lowest offset that the service still retains.
	FirstOffset ident.Offset `json:"first"`
	// NextOffset is the offset of the next record that is appended.
	NextOffset ident.Offset `json:"next"`
	Records    []Record     `json:"records"`
}

// AppendResponse is the response to an append.
type AppendResponse struct {
	Offset ident.Offset `json:"offset"`
}

// StatusError is a response of the log service with a status other than 200.
type StatusError struct {
	Status int
	Text   string
}

// Error returns the status and the text of the response.
func (e *StatusError) Error() string {
	return fmt.Sprintf("log service answered %d: %s", e.Status, e.Text)
}

// Append adds one record and returns its offset. If it returns an error, the record may still be in the log.
func (c *Client) Append(ctx context.Context, s Stream, data []byte) (ident.Offset, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.address(s), bytes.NewReader(data))
	if err != nil {
		return 0, fmt.Errorf("append to %s: %w", s, err)
	}
	var out AppendResponse
	err = c.do(req, &out)
	return out.Offset, err
}

// Read returns up to limit records from an offset on. If there are none yet, it waits up to wait for the first one.
func (c *Client) Read(ctx context.Context, s Stream, from ident.Offset, limit int, wait time.Duration) (Page, error) {
	q := url.Values{}
	q.Set("from", strconv.FormatInt(int64(from), 10))
	q.Set("max", strconv.Itoa(limit))
	q.Set("wait", strconv.FormatInt(wait.Milliseconds(), 10))
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.address(s)+"?"+q.Encode(), nil)
	if err != nil {
		return Page{}, fmt.Errorf("read %s: %w", s, err)
	}
	var out Page
	err = c.do(req, &out)
	return out, err
}

func (c *Client) address(s Stream) string {
	return c.URL + "/streams/" + url.PathEscape(string(s))
}

func (c *Client) do(req *http.Request, out any) error {
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return fmt.Errorf("log service: %w", err)
	}
	defer resp.Body.Close()
	body, err := bodyreader.ReadAll(resp.Body, maxPageBytes)
	if err != nil {
		return fmt.Errorf("log service: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return &StatusError{Status: resp.StatusCode, Text: string(body)}
	}
	if err := json.Unmarshal(body, out); err != nil {
		return fmt.Errorf("log service: %w", err)
	}
	return nil
}
