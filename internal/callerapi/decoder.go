package callerapi

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/nutmegdock/nutmegdock/internal/chargedreader"
	"github.com/nutmegdock/nutmegdock/internal/core/bufferlimiter"
	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/outcome"
	"github.com/nutmegdock/nutmegdock/internal/core/prefixhasher"
	"github.com/nutmegdock/nutmegdock/internal/core/quarantiner"
	"github.com/nutmegdock/nutmegdock/internal/core/routematcher"
	"github.com/nutmegdock/nutmegdock/internal/dispatcher"
	"github.com/nutmegdock/nutmegdock/internal/endpointproxy"
	"github.com/nutmegdock/nutmegdock/internal/engineapi"
	"github.com/nutmegdock/nutmegdock/internal/headers"
)

const (
	maxIdempotencyKeyBytes = 255
	internalHeaderPrefix   = "Nutmeg-"
	requestDigestBytes     = 12
	// completionCopies is how often the text of a completion request is held: its body, the decoded prompt, and what hashes it.
	completionCopies = 3

	streamHeaderTimeout     = 30 * time.Second
	streamStallTimeout      = 10 * time.Second
	completionHeaderTimeout = 120 * time.Second
	serviceHeaderTimeout    = 30 * time.Second
	serviceStallTimeout     = 30 * time.Second
)

// methodOverrideHeaders are header fields that make some back ends treat a request as one with another method.
var methodOverrideHeaders = []string{"X-Http-Method-Override", "X-Http-Method", "X-Method-Override"}

func requestError(status int, code, text string) *Error {
	return &Error{Status: status, Type: invalidRequestError, Code: code, Message: text}
}

// memoryRetryDelay is the Retry-After of a request that is refused for want of memory.
const memoryRetryDelay = time.Second

// memoryError refuses a request for want of memory. It has not run.
func memoryError(text string) error {
	return &outcome.Error{Kind: outcome.NotRun, Reason: outcome.Memory, RetryAfter: memoryRetryDelay, Message: text}
}

func bodySizeError(limit int64) error {
	return requestError(http.StatusRequestEntityTooLarge, "body_too_large", fmt.Sprintf("body exceeds %d bytes", limit))
}

// readBody reads the body of a request within the bounds of memory. It charges each byte copies times: what decodes the body holds
// copies of it.
func (a *API) readBody(r *http.Request, copies int) ([]byte, error) {
	account, _ := r.Context().Value(accountKey{}).(*bufferlimiter.Account)
	if r.ContentLength > maxBodyBytes {
		return nil, bodySizeError(maxBodyBytes)
	}
	reader := chargedreader.Reader{
		Size: r.ContentLength, Limit: maxBodyBytes, Grow: func(n int) bool { return account.GrowBody(n * copies) }, Receive: account.Receive,
		IsCostly: chargedreader.CostOf(r.Body),
	}
	body, err := reader.ReadAll(http.MaxBytesReader(nil, r.Body, maxBodyBytes))
	if !account.EndArrival() {
		return nil, memoryError("body makes no progress and memory is short")
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, chargedreader.ErrRefused):
		return nil, memoryError("too much is buffered for callers")
	case errors.As(err, &tooLarge):
		return nil, bodySizeError(tooLarge.Limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, requestError(http.StatusRequestTimeout, "body_timeout", fmt.Sprintf("%d bytes of the body have arrived", len(body)))
	case err != nil:
		return nil, requestError(http.StatusBadRequest, "body_unreadable", err.Error())
	}
	return body, nil
}

func (a *API) decodeCompletion(_ context.Context, r *http.Request) (any, error) {
	if _, err := a.organisation(r); err != nil {
		return nil, err
	}
	body, err := a.readBody(r, completionCopies)
	if err != nil {
		return nil, err
	}
	q, err := parseCompletion(body)
	if err != nil {
		return nil, err
	}
	d, err := a.deployment(r, q.Model, catalog.KindEngine)
	if err != nil {
		return nil, err
	}
	req, err := newRequest(r, d, r.URL.Path, body)
	if err != nil {
		return nil, err
	}
	req.Repeatable = true
	req.ResumeTokens = q.ReceivedTokens
	req.Cost = float64(q.MaxTokens)
	req.PromptPrefix = promptPrefix(d, q)
	req.HeaderTimeout = completionHeaderTimeout
	if q.Stream {
		req.HeaderTimeout, req.StallTimeout = streamHeaderTimeout, streamStallTimeout
	}
	// Streamed events are parsed on the way to the caller, so the response must not be compressed.
	req.Header.Del("Accept-Encoding")
	return req, nil
}

// promptPrefix identifies the beginning of the prompt. Only an engine that has the same beginning in its prefix cache
// can reuse it.
func promptPrefix(d catalog.EffectiveDeployment, q engineapi.Request) prefixhasher.Prefix {
	h := prefixhasher.Hasher{Organisation: d.Organisation, Deployment: d.Name}
	if len(q.Messages) == 0 {
		return h.Prefix(q.Prompt)
	}
	parts := make([]string, 0, 2*len(q.Messages))
	for _, m := range q.Messages {
		parts = append(parts, m.Role, m.Content)
	}
	return h.Prefix(parts...)
}

func parseCompletion(body []byte) (engineapi.Request, error) {
	var q engineapi.Request
	if err := json.Unmarshal(body, &q); err != nil {
		return q, requestError(http.StatusBadRequest, "invalid_json", "body is not a completion request: "+err.Error())
	}
	switch {
	case q.Model == "":
		return q, requestError(http.StatusBadRequest, "missing_model", "body names no model; name a deployment")
	case q.MaxTokens < 0:
		return q, requestError(http.StatusBadRequest, "invalid_max_tokens", "max_tokens is negative")
	case q.ReceivedTokens < 0:
		return q, requestError(http.StatusBadRequest, "invalid_resume", "resume is negative")
	}
	return q, nil
}

func (a *API) decodeService(_ context.Context, r *http.Request) (any, error) {
	name := r.PathValue("deployment")
	d, err := a.deployment(r, name, catalog.KindService)
	if err != nil {
		return nil, err
	}
	body, err := a.readBody(r, 1)
	if err != nil {
		return nil, err
	}
	path := servicePath(r.URL.EscapedPath())
	pathAndQuery := path
	if r.URL.RawQuery != "" {
		pathAndQuery += "?" + r.URL.RawQuery
	}
	req, err := newRequest(r, d, pathAndQuery, body)
	if err != nil {
		return nil, err
	}
	req.Repeatable = isRepeatable(r, d, path)
	req.HeaderTimeout, req.StallTimeout = serviceHeaderTimeout, serviceStallTimeout
	return req, nil
}

// servicePath returns the part of an escaped path after "/services/NAME".
func servicePath(escaped string) string {
	rest := strings.TrimPrefix(escaped, servicesPath)
	i := strings.IndexByte(rest, '/')
	return rest[max(i, 0):]
}

// isRepeatable reports whether running the request more than once is safe.
func isRepeatable(r *http.Request, d catalog.EffectiveDeployment, path string) bool {
	for _, k := range methodOverrideHeaders {
		if r.Header.Get(k) != "" {
			return false
		}
	}
	return routematcher.Matcher{Routes: d.Spec.IdempotentRoutes}.IsRepeatable(r.Method, path)
}

// newRequest returns the request for the dispatcher. It removes header fields that only this program's processes may
// set, and the caller's credentials.
func newRequest(r *http.Request, d catalog.EffectiveDeployment, path string, body []byte) (dispatcher.Request, error) {
	key, err := idempotencyKey(r.Header)
	if err != nil {
		return dispatcher.Request{}, err
	}
	h := make(http.Header)
	endpointproxy.CopyHeader(h, r.Header)
	for k := range h {
		if strings.HasPrefix(k, internalHeaderPrefix) {
			h.Del(k)
		}
	}
	h.Del("Authorization")
	h.Del(headers.CallerIdempotencyKey)
	return dispatcher.Request{
		ID: ident.RequestID(uuid.NewString()), Deployment: d, Method: r.Method, Path: path, Header: h,
		Body: body, IdempotencyKey: key, Digest: requestDigest(d, r.Method, path, body),
	}, nil
}

func idempotencyKey(h http.Header) (string, error) {
	vs := h.Values(headers.CallerIdempotencyKey)
	if len(vs) == 0 {
		return "", nil
	}
	key := vs[0]
	if len(vs) > 1 || key == "" || len(key) > maxIdempotencyKeyBytes || !isPrintable(key) {
		return "", requestError(http.StatusBadRequest, "invalid_idempotency_key", fmt.Sprintf("Idempotency-Key must be one value of 1 to %d printable ASCII characters", maxIdempotencyKeyBytes))
	}
	return key, nil
}

func isPrintable(s string) bool {
	for i := range len(s) {
		if s[i] < ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

// requestDigest identifies a request by its organisation, deployment, method, path and body.
func requestDigest(d catalog.EffectiveDeployment, method, path string, body []byte) quarantiner.RequestDigest {
	h := sha256.New()
	for _, p := range []string{string(d.Organisation), string(d.Name), method, path} {
		fmt.Fprintf(h, "%d:%s", len(p), p)
	}
	h.Write(body)
	return quarantiner.RequestDigest(hex.EncodeToString(h.Sum(nil)[:requestDigestBytes]))
}
