package gateway

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/nutmegdock/nutmegdock/internal/core/bufferlimiter"
	"github.com/nutmegdock/nutmegdock/internal/core/outcome"
	"github.com/nutmegdock/nutmegdock/internal/event"
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
	// firstReadBytes is the first size of the buffer of a body.
	firstReadBytes = 4 << 10
)

// errMemory ends the read of a body that may not be buffered.
var errMemory = errors.New("too much is buffered")

// readCharged reads a body to its end. It calls grow before its buffer grows, and returns errMemory with what it has read
// if it may not. size is the length of the body, or -1 if it is unknown.
func readCharged(r io.Reader, size int64, grow func(n int) bool) ([]byte, error) {
	var data []byte
	for {
		if len(data) == cap(data) {
			next := max(firstReadBytes, 2*cap(data))
			if size >= 0 && int64(cap(data)) <= size {
				next = min(next, int(size)+1) // a byte more shows the end
			}
			if !grow(next - cap(data)) {
				return data, errMemory
			}
			data = append(make([]byte, 0, next), data...)
		}
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return data, err
		}
	}
}

// readBodyCharged reads the body of a request within the bounds of memory and by the deadline of the request.
func (g *Gateway) readBodyCharged(req *request, body io.Reader) ([]byte, error) {
	ctl := http.NewResponseController(req.w)
	_ = ctl.SetReadDeadline(req.deadline) // not supported only in tests
	data, err := readCharged(body, req.r.ContentLength, req.account.GrowBody)
	_ = ctl.SetReadDeadline(time.Time{})
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
	case errors.Is(err, errMemory):
		g.refuseForMemory(req)
	case errors.Is(err, os.ErrDeadlineExceeded):
		req.w.Header().Set("Connection", "close")
		g.refuse(req, rejection{status: http.StatusRequestTimeout, reason: reasonSlowBody})
	default:
		return false
	}
	return true
}

// refuseForMemory refuses a request before the bound of the process is reached.
func (g *Gateway) refuseForMemory(req *request) {
	req.w.Header().Set("Connection", "close")
	u := g.Buffers.Usage()
	g.refuse(req, rejection{
		status: http.StatusServiceUnavailable, reason: reasonMemory, retryAfter: g.RetryAfter(req.Remaining - time.Since(req.arrivedAt)),
		details: log.Fields{"buffered": u.Bytes, "requests": u.Requests, "slow": u.SlowCallers},
	})
}

// HandleMemoryPressure records that requests are refused because too much is buffered, or that this has ended.
func (g *Gateway) HandleMemoryPressure(isReached bool, used int) {
	f := log.Fields{"buffered": used, "bound": g.Buffers.Process}
	if isReached {
		event.BufferBoundReached.Log(g.Logger, f)
		return
	}
	event.BufferBoundCleared.Log(g.Logger, f)
}

// RegisterBuffers exports what is buffered as metrics.
func RegisterBuffers(r prometheus.Registerer, l *bufferlimiter.Limiter) {
	gauge := func(name, help string, value func(u bufferlimiter.Usage) int) {
		r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 { return float64(value(l.Usage())) }))
	}
	gauge("nutmegdock_gateway_buffered_bytes", "Bytes buffered for callers and endpoints.", func(u bufferlimiter.Usage) int { return u.Bytes })
	gauge("nutmegdock_gateway_buffered_bytes_bound", "Bound of the bytes buffered for callers and endpoints.", func(bufferlimiter.Usage) int { return l.Process })
	gauge("nutmegdock_gateway_endpoint_unsent_bytes", "Bytes of requests that one endpoint has not read, of the endpoint with the most.", func(u bufferlimiter.Usage) int { return u.MostUnsent })
	gauge("nutmegdock_gateway_slow_callers", "Responses that are read on for callers that do not read.", func(u bufferlimiter.Usage) int { return u.SlowCallers })
}
