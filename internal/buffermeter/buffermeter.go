// Package buffermeter reports what a process buffers, as metrics and log events.
package buffermeter

import (
	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/nutmegdock/nutmegdock/internal/core/bufferlimiter"
	"github.com/nutmegdock/nutmegdock/internal/event"
)

// LogPressure makes a limiter log when requests are refused because too much is buffered, and when that has ended. It must be
// called before the limiter is used. A nil limiter refuses nothing.
func LogPressure(l *bufferlimiter.Limiter, logger log.Interface) {
	if l == nil {
		return
	}
	l.OnPressure = func(isReached bool, used int) {
		e := event.BufferBoundCleared
		if isReached {
			e = event.BufferBoundReached
		}
		e.Log(logger, log.Fields{"buffered": used, "bound": l.Process})
	}
}

// Register registers the metrics of a limiter. Their names begin with prefix. A nil limiter has none.
func Register(r prometheus.Registerer, prefix string, l *bufferlimiter.Limiter) {
	if l == nil {
		return
	}
	gauge := func(name, help string, value func(u bufferlimiter.Usage) int) {
		r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: prefix + name, Help: help}, func() float64 { return float64(value(l.Usage())) }))
	}
	gauge("buffered_bytes", "Bytes buffered for callers and endpoints.", func(u bufferlimiter.Usage) int { return u.Bytes })
	gauge("buffered_bytes_bound", "Bound of the bytes buffered for callers and endpoints.", func(bufferlimiter.Usage) int { return l.Process })
	gauge("buffered_head_bytes", "Part of the buffered bytes for heads of requests.", func(u bufferlimiter.Usage) int { return u.Heads })
	gauge("buffered_body_bytes", "Part of the buffered bytes for bodies of requests.", func(u bufferlimiter.Usage) int { return u.Bodies })
	gauge("endpoint_unsent_bytes", "Bytes of requests that one endpoint has not read, of the endpoint with the most.", func(u bufferlimiter.Usage) int { return u.MostUnsent })
	gauge("slow_callers", "Responses that are read on for callers that do not read.", func(u bufferlimiter.Usage) int { return u.SlowCallers })
	r.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: prefix + "cut_arrivals_total", Help: "Heads and bodies of requests that were cut because they made no progress while memory was short.",
	}, func() float64 { return float64(l.Usage().Cuts) }))
}
