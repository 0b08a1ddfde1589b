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

const permitTimeout = time.Second

// send sends the request to one endpoint. For a request that is not repeatable it first obtains a short-lived permit,
// so that the endpoint host refuses the request if it arrives too late.
func (d *Dispatcher) send(req Request, lease *admitter.Lease, suspect bool) (*http.Response, error) {
	ctx, c := lease.Context, lease.Candidate
	h := req.Header.Clone()
	h.Set(headers.RequestID, string(req.ID))
	h.Set(headers.WeightSet, string(c.WeightSet))
	h.Set(headers.RequestDigest, string(req.Digest))
	if suspect {
		h.Set(headers.Suspect, "1")
	}
	if req.IdempotencyKey != "" {
		h.Set(headers.IdempotencyKey, req.IdempotencyKey)
	}
	if !req.Repeatable {
		permit, err := d.requestPermit(ctx, req, c)
		if err != nil {
			return nil, err
		}
		h.Set(headers.RunPermit, permit)
		h.Set(headers.Claim, req.ClaimID)
	}
	// The deadline is checked after the permit was obtained. If this process is paused after the check, the permit
	// expires.
	if err := checkDispatchDeadline(ctx, req); err != nil {
		return nil, err
	}
	resp, err := d.Forwarder.Send(ctx, forwarder.Request{
		Method: req.Method, URL: "http://" + c.Address + endpointproxy.RunPrefix + req.Path, Header: h,
		Body: bytes.NewReader(req.Body), Length: int64(len(req.Body)), HeaderTimeout: req.HeaderTimeout, StallTimeout: req.StallTimeout,
	})
	if err != nil {
		return nil, err
	}
	if err := d.checkResponse(req, c, resp); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	resp.Body = lease.WrapBody(resp)
	return resp, nil
}

// checkDispatchDeadline returns a refusal if the request may no longer be sent to an endpoint.
func checkDispatchDeadline(ctx context.Context, req Request) error {
	if ctx.Err() != nil {
		return &outcome.Error{Kind: outcome.NotRun, Reason: outcome.Deadline, RetryAfter: defaultRetryAfter, NoRetry: true, Message: "the request ended before it was handed over"}
	}
	if !req.DispatchDeadline.IsZero() && !time.Now().Before(req.DispatchDeadline) {
		return &outcome.Error{Kind: outcome.NotRun, Reason: outcome.TooLate, RetryAfter: defaultRetryAfter, NoRetry: true, Message: "the request came too late to be handed over"}
	}
	return nil
}

// requestPermit obtains the permit to send the request. Requesting a permit does not run the request, so a failure
// means that the request was not run, unless the endpoint host responds that it admitted this attempt before.
func (d *Dispatcher) requestPermit(ctx context.Context, req Request, c router.Candidate) (string, error) {
	h := make(http.Header)
	h.Set(headers.RequestID, string(req.ID))
	resp, err := d.Forwarder.Send(ctx, forwarder.Request{
		Method: http.MethodGet, URL: "http://" + c.Address + endpointproxy.PermitPath, Header: h, HeaderTimeout: permitTimeout, StallTimeout: permitTimeout,
	})
	var o *outcome.Error
	switch {
	case errors.As(err, &o) && o.Kind == outcome.NotRun:
		return "", o
	case err != nil:
		return "", &outcome.Error{Kind: outcome.NotRun, Reason: outcome.Unreachable, RetryAfter: defaultRetryAfter, Message: err.Error()}
	}
	defer resp.Body.Close()
	permit := resp.Header.Get(headers.RunPermit)
	switch {
	case resp.Header.Get(headers.Outcome) == headers.Unknown:
		return "", &outcome.Error{Kind: outcome.Unknown, Reason: outcome.AlreadyRunning, NoRetry: true, Message: "the request was handed over before"}
	case permit == "" || resp.Header.Get(headers.RequestID) != string(req.ID):
		return "", &outcome.Error{Kind: outcome.NotRun, Reason: outcome.Mismatch, RetryAfter: defaultRetryAfter, Message: "endpoint gave no permit for the request"}
	}
	return permit, nil
}

// checkResponse returns an error unless the response belongs to the request and comes from a back end with the weight
// set that the endpoint was chosen for. It records the crash that the response reports, if any.
func (d *Dispatcher) checkResponse(req Request, c router.Candidate, resp *http.Response) error {
	if got := resp.Header.Get(headers.RequestID); got != string(req.ID) {
		return &outcome.Error{Kind: outcome.Unknown, Reason: outcome.Mismatch, Message: "answer carries the id of another request"}
	}
	switch resp.Header.Get(headers.Outcome) {
	case headers.Answered:
		if set := resp.Header.Get(headers.WeightSet); set != "" && set != string(c.WeightSet) {
			return &outcome.Error{Kind: outcome.Unknown, Reason: outcome.Mismatch, Message: "answer was made with another weight set"}
		}
		return nil
	case headers.Unknown:
	default:
		return &outcome.Error{Kind: outcome.Unknown, Reason: outcome.Mismatch, Message: "answer does not come from an endpoint host"}
	}
	reason := outcome.Reason(resp.Header.Get(headers.Reason))
	if crash := resp.Header.Get(headers.CrashID); crash != "" {
		d.Quarantiner.RecordCrash(quarantiner.CrashID(crash), []quarantiner.RequestDigest{req.Digest})
	}
	return &outcome.Error{Kind: outcome.Unknown, Reason: reason, RetryAfter: defaultRetryAfter, Message: "back end was lost after the request was handed over"}
}

func isStream(resp *http.Response) bool {
	return resp.StatusCode == http.StatusOK && strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}

// clearOnEOF is a response body that calls clear when it has been read to its end: the request is no longer suspect
// then.
type clearOnEOF struct {
	io.ReadCloser
	clear func()
}

// Read reads from the body.
func (c *clearOnEOF) Read(p []byte) (int, error) {
	n, err := c.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		c.clear()
	}
	return n, err
}
