// Package meter provides the Prometheus metrics of an entry host's requests.
package meter

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/outcome"
)

const (
	// maxSeries is the maximum number of keys with separate series.
	maxSeries     = 100
	overflowLabel = "other"
)

// SeriesKey is the organisation and deployment that a request is counted under.
type SeriesKey struct {
	Organisation ident.Organisation
	Deployment   ident.Deployment
}

// Meter holds the metrics of requests. Create it with New.
type Meter struct {
	firstPart *prometheus.HistogramVec
	gap       *prometheus.HistogramVec
	queue     *prometheus.HistogramVec
	outcomes  *prometheus.CounterVec
	failures  *prometheus.CounterVec
	retries   *prometheus.CounterVec

	mu     sync.Mutex
	series map[SeriesKey]*Series
}

// Series holds the metrics of the requests under one key.
type Series struct {
	meter      *Meter
	labels     []string
	firstPart  prometheus.Observer
	gap        prometheus.Observer
	queue      prometheus.Observer
	retryCount prometheus.Counter
}

// New registers the metrics and returns a Meter for them.
func New(r prometheus.Registerer) *Meter {
	labels := []string{"organisation", "deployment"}
	histogram := func(name, help string, buckets []float64) *prometheus.HistogramVec {
		h := prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: name, Help: help, Buckets: buckets}, labels)
		r.MustRegister(h)
		return h
	}
	counter := func(name, help string, extraLabels ...string) *prometheus.CounterVec {
		c := prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, append(extraLabels, labels...))
		r.MustRegister(c)
		return c
	}
	return &Meter{
		firstPart: histogram("nutmegdock_request_first_seconds", "Time from arrival to the first part of the answer.",
			[]float64{.01, .025, .05, .1, .2, .3, .45, .67, 1, 2, 5, 10}),
		gap: histogram("nutmegdock_request_gap_seconds", "Time between parts of a streamed answer.",
			[]float64{.005, .01, .02, .03, .047, .07, .1, .25, 1}),
		queue: histogram("nutmegdock_request_queue_seconds", "Time in the queue of the entry host.",
			[]float64{.001, .005, .02, .05, .1, .2, .3, .5, 1, 2, 5}),
		outcomes: counter("nutmegdock_requests_total", "Requests by outcome.", "outcome"),
		failures: counter("nutmegdock_refusals_total", "Requests that were not answered, by reason.", "reason"),
		retries:  counter("nutmegdock_retries_total", "Attempts after the first."),
		series:   make(map[SeriesKey]*Series),
	}
}

// Series returns the metrics for a key. Keys beyond maxSeries share one series.
func (m *Meter) Series(key SeriesKey) *Series {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s, ok := m.series[key]; ok {
		return s
	}
	overflow := SeriesKey{Organisation: overflowLabel, Deployment: overflowLabel}
	if len(m.series) >= maxSeries {
		key = overflow
		if s, ok := m.series[key]; ok {
			return s
		}
	}
	labels := []string{string(key.Organisation), string(key.Deployment)}
	s := &Series{
		meter: m, labels: labels,
		firstPart:  m.firstPart.WithLabelValues(labels...),
		gap:        m.gap.WithLabelValues(labels...),
		queue:      m.queue.WithLabelValues(labels...),
		retryCount: m.retries.WithLabelValues(labels...),
	}
	m.series[key] = s
	return s
}

// ObserveFirstPart records the time to the first part of a response.
func (s *Series) ObserveFirstPart(d time.Duration) {
	s.firstPart.Observe(d.Seconds())
}

// ObserveGap records the time between two parts of a response.
func (s *Series) ObserveGap(d time.Duration) {
	s.gap.Observe(d.Seconds())
}

// ObserveQueueTime records the time that a request spent in the queue.
func (s *Series) ObserveQueueTime(d time.Duration) {
	s.queue.Observe(d.Seconds())
}

// CountRetry counts an attempt after the first.
func (s *Series) CountRetry() {
	s.retryCount.Inc()
}

// CountOutcome counts a request under its outcome.
func (s *Series) CountOutcome(k outcome.Kind) {
	s.meter.outcomes.WithLabelValues(append([]string{string(k)}, s.labels...)...).Inc()
}

// CountFailure counts, under its reason, a request that received no response.
func (s *Series) CountFailure(r outcome.Reason) {
	s.meter.failures.WithLabelValues(append([]string{string(r)}, s.labels...)...).Inc()
}
