package dispatcher

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/admitter"
	"github.com/nutmegdock/nutmegdock/internal/core/outcome"
	"github.com/nutmegdock/nutmegdock/internal/core/quarantiner"
	"github.com/nutmegdock/nutmegdock/internal/core/router"
	"github.com/nutmegdock/nutmegdock/internal/endpointproxy"
	"github.com/nutmegdock/nutmegdock/internal/forwarder"
	"github.com/nutmegdock/nutmegdock/internal/headers"
)

// permitTime bounds the request for a permit.
const permitTime = time.Second

// send hands the job to one endpoint. A job that may not be repeated is announced first, so that its hand-over is
// refused if it comes late.
func (d *Dispatcher) send(j Job, lease *admitter.Lease, suspect bool) (*http.Response, error) {
	ctx, c := lease.Context, lease.Candidate
	h := j.Header.Clone()
	h.Set(headers.Request, string(j.ID))
	h.Set(headers.Set, string(c.Set))
	h.Set(headers.Digest, string(j.Digest))
	if suspect {
		h.Set(headers.Suspect, "1")
	}
	if j.Key != "" {
		h.Set(headers.Key, j.Key)
	}
	if !j.Repeatable {
		permit, err := d.permit(ctx, j, c)
		if err != nil {
			return nil, err
		}
		h.Set(headers.Permit, permit)
		h.Set(headers.Claim, j.Claim)
	}
	// The check comes after the permit: a pause in between makes the permit expire.
	if err := mayHandOver(ctx, j); err != nil {
		return nil, err
	}
	resp, err := d.Forwarder.Send(ctx, forwarder.Call{
		Method: j.Method, URL: "http://" + c.Address + endpointproxy.Prefix + j.Path, Header: h,
		Body: bytes.NewReader(j.Body), Length: int64(len(j.Body)), Wait: j.Wait, Stall: j.Stall,
	})
	if err != nil {
		return nil, err
	}
	if err := d.check(j, c, resp); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	resp.Body = lease.Answer(resp)
	return resp, nil
}

func mayHandOver(ctx context.Context, j Job) error {
	if ctx.Err() != nil {
		return &outcome.Error{Kind: outcome.NotRun, Reason: outcome.Deadline, After: comeBack, Final: true, Text: "the request ended before it was handed over"}
	}
	if !j.Before.IsZero() && !time.Now().Before(j.Before) {
		return &outcome.Error{Kind: outcome.NotRun, Reason: outcome.Late, After: comeBack, Final: true, Text: "the request came too late to be handed over"}
	}
	return nil
}

// permit announces the job. Nothing is run by it, so every failure means not run, but for an attempt that was admitted.
func (d *Dispatcher) permit(ctx context.Context, j Job, c router.Candidate) (string, error) {
	h := make(http.Header)
	h.Set(headers.Request, string(j.ID))
	resp, err := d.Forwarder.Send(ctx, forwarder.Call{
		Method: http.MethodGet, URL: "http://" + c.Address + endpointproxy.PermitPath, Header: h, Wait: permitTime, Stall: permitTime,
	})
	var o *outcome.Error
	switch {
	case errors.As(err, &o) && o.Kind == outcome.NotRun:
		return "", o
	case err != nil:
		return "", &outcome.Error{Kind: outcome.NotRun, Reason: outcome.Unreachable, After: comeBack, Text: err.Error()}
	}
	defer resp.Body.Close()
	permit := resp.Header.Get(headers.Permit)
	switch {
	case resp.Header.Get(headers.Outcome) == headers.Unknown:
		return "", &outcome.Error{Kind: outcome.Unknown, Reason: outcome.Running, Final: true, Text: "the request was handed over before"}
	case permit == "" || resp.Header.Get(headers.Request) != string(j.ID):
		return "", &outcome.Error{Kind: outcome.NotRun, Reason: outcome.Mismatch, After: comeBack, Text: "endpoint gave no permit for the request"}
	}
	return permit, nil
}

// check tells whether an answer belongs to the job and comes from its back end.
func (d *Dispatcher) check(j Job, c router.Candidate, resp *http.Response) error {
	if got := resp.Header.Get(headers.Request); got != string(j.ID) {
		return &outcome.Error{Kind: outcome.Unknown, Reason: outcome.Mismatch, Text: "answer carries the id of another request"}
	}
	switch resp.Header.Get(headers.Outcome) {
	case headers.Answered:
		if set := resp.Header.Get(headers.Set); set != "" && set != string(c.Set) {
			return &outcome.Error{Kind: outcome.Unknown, Reason: outcome.Mismatch, Text: "answer was made with another weight set"}
		}
		return nil
	case headers.Unknown:
	default:
		return &outcome.Error{Kind: outcome.Unknown, Reason: outcome.Mismatch, Text: "answer does not come from an endpoint host"}
	}
	reason := outcome.Reason(resp.Header.Get(headers.Reason))
	if death := resp.Header.Get(headers.Death); death != "" {
		d.Quarantiner.Blame(quarantiner.Death(death), []quarantiner.Digest{j.Digest})
	}
	return &outcome.Error{Kind: outcome.Unknown, Reason: reason, After: comeBack, Text: "back end was lost after the request was handed over"}
}

func isStream(resp *http.Response) bool {
	return resp.StatusCode == http.StatusOK && strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}

// cleared clears a request of suspicion when its whole answer was read.
type cleared struct {
	io.ReadCloser
	clear func()
}

// Read reads the next part.
func (c *cleared) Read(p []byte) (int, error) {
	n, err := c.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		c.clear()
	}
	return n, err
}
