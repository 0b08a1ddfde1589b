// Package meter counts the requests of an entry host for its metrics page.
package meter

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/outcome"
)

const (
	// maxPairs bounds the pairs of organisation and deployment with labels of their own.
	maxPairs = 100
	other    = "other"
)

// Owner is what a request is counted under.
type Owner struct {
	Organisation ident.Organisation
	Deployment   ident.Deployment
}

// Meter holds the metrics of requests. Make it with New.
type Meter struct {
	first    *prometheus.HistogramVec
	gap      *prometheus.HistogramVec
	queue    *prometheus.HistogramVec
	outcomes *prometheus.CounterVec
	refusals *prometheus.CounterVec
	retries  *prometheus.CounterVec

	mu    sync.Mutex
	pairs map[Owner]*Series
}

// Series are the metrics of one owner.
type Series struct {
	meter  *Meter
	labels []string
	first  prometheus.Observer
	gap    prometheus.Observer
	queue  prometheus.Observer
	retry  prometheus.Counter
}

// New registers the metrics and returns their meter.
func New(r prometheus.Registerer) *Meter {
	labels := []string{"organisation", "deployment"}
	histogram := func(name, help string, buckets []float64) *prometheus.HistogramVec {
		h := prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: name, Help: help, Buckets: buckets}, labels)
		r.MustRegister(h)
		return h
	}
	counter := func(name, help string, more ...string) *prometheus.CounterVec {
		c := prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, append(more, labels...))
		r.MustRegister(c)
		return c
	}
	return &Meter{
		first: histogram("nutmegdock_request_first_seconds", "Time from arrival to the first part of the answer.",
			[]float64{.01, .025, .05, .1, .2, .3, .45, .67, 1, 2, 5, 10}),
		gap: histogram("nutmegdock_request_gap_seconds", "Time between parts of a streamed answer.",
			[]float64{.005, .01, .02, .03, .047, .07, .1, .25, 1}),
		queue: histogram("nutmegdock_request_queue_seconds", "Time in the queue of the entry host.",
			[]float64{.001, .005, .02, .05, .1, .2, .3, .5, 1, 2, 5}),
		outcomes: counter("nutmegdock_requests_total", "Requests by outcome.", "outcome"),
		refusals: counter("nutmegdock_refusals_total", "Requests that were not answered, by reason.", "reason"),
		retries:  counter("nutmegdock_retries_total", "Attempts after the first."),
		pairs:    make(map[Owner]*Series),
	}
}

// Series returns the metrics of an owner. Owners beyond a bounded number share one series.
func (m *Meter) Series(o Owner) *Series {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s, ok := m.pairs[o]; ok {
		return s
	}
	rest := Owner{Organisation: other, Deployment: other}
	if len(m.pairs) >= maxPairs {
		o = rest
		if s, ok := m.pairs[o]; ok {
			return s
		}
	}
	labels := []string{string(o.Organisation), string(o.Deployment)}
	s := &Series{
		meter: m, labels: labels,
		first: m.first.WithLabelValues(labels...),
		gap:   m.gap.WithLabelValues(labels...),
		queue: m.queue.WithLabelValues(labels...),
		retry: m.retries.WithLabelValues(labels...),
	}
	m.pairs[o] = s
	return s
}

// First observes the time to the first part of an answer.
func (s *Series) First(d time.Duration) {
	s.first.Observe(d.Seconds())
}

// Gap observes the time between two parts of an answer.
func (s *Series) Gap(d time.Duration) {
	s.gap.Observe(d.Seconds())
}

// Queue observes the time in the queue.
func (s *Series) Queue(d time.Duration) {
	s.queue.Observe(d.Seconds())
}

// Retry counts an attempt after the first.
func (s *Series) Retry() {
	s.retry.Inc()
}

// End counts a request by its outcome.
func (s *Series) End(k outcome.Kind) {
	s.meter.outcomes.WithLabelValues(append([]string{string(k)}, s.labels...)...).Inc()
}

// Fail counts a request that was not answered by its reason.
func (s *Series) Fail(r outcome.Reason) {
	s.meter.refusals.WithLabelValues(append([]string{string(r)}, s.labels...)...).Inc()
}
