package gateway

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/apex/log"

	"github.com/nutmegdock/nutmegdock/internal/chargedreader"
	"github.com/nutmegdock/nutmegdock/internal/core/bufferlimiter"
	"github.com/nutmegdock/nutmegdock/internal/core/outcome"
)

const (
	// reasonMemory is the reason of a request that is refused because too much is buffered, and reasonSlowCaller that of a
	// response that is ended because its caller does not read it.
	reasonMemory     = string(outcome.Memory)
	reasonSlowCaller = "slow-caller"
	// reasonSlowBody is the reason of a request whose body is incomplete at its deadline.
	reasonSlowBody = "slow-body"
	// maxLateWrite is how long after the deadline a caller may still read a response that is ready. The callers of the
	// deployments wait 6 s; one that has not read after as long again has given up.
	maxLateWrite = 6 * time.Second
	// causeNoProgress is the cause of a refusal for memory of a request whose body made no progress.
	causeNoProgress = "no-progress"
)

// errCut reports a body that made no progress while memory was short.
var errCut = errors.New("body makes no progress and memory is short")

// readBodyCharged reads the body of a request within the bounds of memory and by the deadline of the request. A body without a
// stated length is charged as it arrives, the others as a whole before any of it is read.
func (g *Gateway) readBodyCharged(req *request, body io.Reader, limit int64) ([]byte, error) {
	ctl := http.NewResponseController(req.w)
	setDeadline := func(t time.Time) { _ = ctl.SetReadDeadline(t) } // not supported only in tests
	setDeadline(req.deadline)
	size := req.r.ContentLength
	req.account.BeginBody(size, func() { setDeadline(time.Unix(1, 0)) })
	reader := chargedreader.Reader{Size: size, Limit: limit, Grow: req.account.GrowBody, Receive: req.account.Receive, IsCostly: chargedreader.CostOf(req.r.Body)}
	data, err := reader.ReadAll(body)
	if !req.account.EndArrival() {
		return nil, errCut
	}
	setDeadline(time.Time{})
	return data, err
}

// failureReason returns the reason of a request for which no further endpoint is tried.
func (s *requestState) failureReason() string {
	var o *outcome.Error
	if errors.As(s.lastErr, &o) && o.Reason == outcome.Memory {
		return reasonMemory
	}
	return "failed"
}

// chargePartial charges the incomplete event that is buffered, and reports whether it may be.
func (s *requestState) chargePartial(a *bufferlimiter.Account) bool {
	charge := max(0, s.sequencer.Buffered()-bufferlimiter.Headroom)
	more := charge - s.chargedPartial
	if more > 0 && !a.GrowResponse(more) {
		return false
	}
	if more < 0 {
		a.AddResponse(more)
	}
	s.chargedPartial = charge
	return true
}

// limitWrites bounds the time for which writes to the caller may block from now on.
func (g *Gateway) limitWrites(req *request, until time.Time) {
	if g.Buffers != nil {
		_ = http.NewResponseController(req.w).SetWriteDeadline(until) // not supported only in tests
	}
}

// refuseBody refuses a request whose body could not be read, and reports whether it did. The connection is closed, as the
// rest of the body is not read.
func (g *Gateway) refuseBody(req *request, err error) bool {
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		g.refuse(req, rejection{status: http.StatusRequestEntityTooLarge, reason: "body-too-large"})
	case errors.Is(err, chargedreader.ErrRefused):
		g.refuseForMemory(req, "")
	case errors.Is(err, errCut):
		g.refuseForMemory(req, causeNoProgress)
	case errors.Is(err, os.ErrDeadlineExceeded):
		req.w.Header().Set("Connection", "close")
		g.refuse(req, rejection{status: http.StatusRequestTimeout, reason: reasonSlowBody})
	case isMalformed(err):
		req.w.Header().Set("Connection", "close")
		g.refuse(req, rejection{status: http.StatusBadRequest, reason: "malformed-body"})
	default:
		return false
	}
	return true
}

// isMalformed reports whether a body ended neither early nor with its connection, but because its framing is not valid.
func isMalformed(err error) bool {
	var netErr net.Error
	return !errors.As(err, &netErr) && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, http.ErrBodyReadAfterClose)
}

// refuseForMemory refuses a request before the bound of the process is reached.
func (g *Gateway) refuseForMemory(req *request, cause string) {
	req.w.Header().Set("Connection", "close")
	u := g.Buffers.Usage()
	g.refuse(req, rejection{
		status: http.StatusServiceUnavailable, reason: reasonMemory, retryAfter: g.RetryAfter(req.Remaining - time.Since(req.arrivedAt)),
		cause: cause, details: log.Fields{"buffered": u.Bytes, "requests": u.Requests, "slow": u.SlowCallers},
	})
}
