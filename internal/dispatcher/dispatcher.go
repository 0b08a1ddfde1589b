// Package dispatcher sends a caller's request to an endpoint that serves its deployment, and retries where that is safe.
package dispatcher

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/outcome"
	"github.com/nutmegdock/nutmegdock/internal/core/router"
	"github.com/nutmegdock/nutmegdock/internal/core/view"
	"github.com/nutmegdock/nutmegdock/internal/forwarder"
	"github.com/nutmegdock/nutmegdock/internal/headers"
	"github.com/nutmegdock/nutmegdock/internal/runner"
)

const (
	maxAttempts = 3
	comeBack    = time.Second
)

// Job is one request of a caller, ready to be sent.
type Job struct {
	ID         ident.Request
	Deployment catalog.Effective
	Method     string
	Path       string
	Header     http.Header
	Body       []byte
	Key        string
	Repeatable bool
}

// Dispatcher sends jobs. Set its fields before use.
type Dispatcher struct {
	// View holds the endpoints' reports.
	View *view.View
	// Router chooses among them.
	Router *router.Router
	// Forwarder sends the requests.
	Forwarder *forwarder.Forwarder
}

// Do sends a job and returns the answer, whose body the caller must close. Every error is an *outcome.Error.
func (d *Dispatcher) Do(ctx context.Context, j Job) (*http.Response, error) {
	tried := make(map[ident.Host]bool)
	var last error
	for range maxAttempts {
		c, ok := d.choose(j, tried)
		if !ok {
			break
		}
		tried[c.Host] = true
		resp, err := d.send(ctx, j, c)
		if err == nil {
			return resp, nil
		}
		last = err
		if !d.mayRetry(j, c, err) {
			return nil, err
		}
	}
	if last != nil {
		return nil, last
	}
	return nil, &outcome.Error{Kind: outcome.NotRun, Reason: outcome.NoEndpoint, After: comeBack, Text: "no endpoint serves the deployment now"}
}

func (d *Dispatcher) choose(j Job, tried map[ident.Host]bool) (router.Candidate, bool) {
	sets := []ident.WeightSet{j.Deployment.Set}
	if prev := j.Deployment.Previous; prev != "" {
		sets = append(sets, prev)
	}
	for _, set := range sets {
		c, ok := d.Router.Choose(d.View.Candidates(j.Deployment.Spec.Pool, set), tried)
		if ok {
			return c, true
		}
	}
	return router.Candidate{}, false
}

func (d *Dispatcher) mayRetry(j Job, c router.Candidate, err error) bool {
	var o *outcome.Error
	if !errors.As(err, &o) {
		return false
	}
	if o.Kind == outcome.NotRun {
		d.View.Close(c.Host)
		return true
	}
	return j.Repeatable && o.Reason != outcome.Deadline
}

func (d *Dispatcher) send(ctx context.Context, j Job, c router.Candidate) (*http.Response, error) {
	end := d.View.Start(c.Host)
	h := j.Header.Clone()
	h.Set(headers.Request, string(j.ID))
	h.Set(headers.Set, string(c.Set))
	if j.Key != "" {
		h.Set(headers.Key, j.Key)
	}
	resp, err := d.Forwarder.Send(ctx, forwarder.Call{
		Method: j.Method, URL: "http://" + c.Address + runner.Prefix + j.Path, Header: h,
		Body: bytes.NewReader(j.Body), Length: int64(len(j.Body)),
	})
	if err != nil {
		end()
		return nil, err
	}
	if got := resp.Header.Get(headers.Request); got != string(j.ID) {
		end()
		_ = resp.Body.Close()
		return nil, &outcome.Error{Kind: outcome.Unknown, Reason: outcome.Mismatch, Text: "answer carries the id of another request"}
	}
	if resp.Header.Get(headers.Outcome) == headers.Unknown {
		end()
		_ = resp.Body.Close()
		return nil, &outcome.Error{Kind: outcome.Unknown, Reason: outcome.Lost, Text: "back end was lost after the request was handed over"}
	}
	resp.Body = &counted{ReadCloser: resp.Body, end: end}
	return resp, nil
}

// counted ends the count of a running request when its body is closed.
type counted struct {
	io.ReadCloser
	once sync.Once
	end  func()
}

// Close closes the body.
func (c *counted) Close() error {
	c.once.Do(c.end)
	return c.ReadCloser.Close()
}
