package stage

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/nutmegdock/nutmegdock/platform/wirenames"
)

// Answer is what a client got for one request.
type Answer struct {
	ID     string
	SentAt time.Time
	DoneAt time.Time
	// Status is zero without an answer.
	Status     int
	Signature  string
	RetryAfter time.Duration
	Body       string
	// IsComplete is set if the answer ended as it must.
	IsComplete bool
	Err        error
}

// IsServed reports whether the answer is a complete success of a server.
func (a Answer) IsServed() bool {
	return a.Status == http.StatusOK && a.IsComplete && a.Signature != ""
}

// Client sends requests on kept channels, as the pages describe clients.
type Client struct {
	HTTP   *http.Client
	Record *Record
}

// NewClient returns a client with channels of its own.
func NewClient(r *Record) *Client {
	return &Client{HTTP: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64}}, Record: r}
}

var lastID atomic.Int64

// Request is one request of a client.
type Request struct {
	Method, Target, Body string
	TimeLimit            time.Duration
	// Header holds further headers; it may be nil.
	Header map[string]string
}

// Brief returns a streaming request with a number of events.
func Brief(events int) Request {
	id := lastID.Add(1)
	return Request{
		Method: http.MethodPost, Target: "/brief/x", Body: "events=" + strconv.Itoa(events), TimeLimit: 6 * time.Second,
		Header: map[string]string{
			wirenames.HeaderModel: Model, wirenames.HeaderTokenUsage: fmt.Sprintf("900,%d", 5*events),
			wirenames.HeaderPromptParts: fmt.Sprintf("5c1e07a2:40,%x:860", id),
		},
	}
}

// Do sends a request to the address of an entry host and returns the answer.
func (c *Client) Do(ctx context.Context, front string, r Request) Answer {
	a := Answer{ID: fmt.Sprintf("%016x", lastID.Add(1)), SentAt: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, r.TimeLimit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+front+r.Target, io.NopCloser(strings.NewReader(r.Body)))
	if err != nil {
		a.Err = err
		return a
	}
	req.ContentLength, req.Host = int64(len(r.Body)), HostName
	if r.Body == "" {
		req.Body = nil
	}
	req.Header.Set(wirenames.HeaderAttemptID, a.ID)
	req.Header.Set(wirenames.HeaderAPIKey, Key)
	req.Header.Set(wirenames.HeaderDeadlineRemaining, strconv.FormatInt(r.TimeLimit.Milliseconds(), 10))
	for name, value := range r.Header {
		req.Header.Set(name, value)
	}
	c.Record.Add("request %s %s %s is sent to %s", a.ID, r.Method, r.Target, front)
	resp, err := c.HTTP.Do(req)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		a.Status, a.Signature, a.Body, a.IsComplete = resp.StatusCode, resp.Header.Get(wirenames.HeaderServerSignature), string(data), err == nil
		if seconds, parseErr := strconv.ParseFloat(resp.Header.Get(wirenames.HeaderRetryAfter), 64); parseErr == nil {
			a.RetryAfter = time.Duration(seconds * float64(time.Second))
		}
	}
	a.DoneAt, a.Err = time.Now(), err
	c.Record.Add("request %s is answered: status %d, signature %q, complete %t, %d bytes, error %v", a.ID, a.Status, a.Signature, a.IsComplete, len(a.Body), err)
	return a
}
