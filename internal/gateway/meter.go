package gateway

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Meter counts requests. Make it with NewMeter.
type Meter struct {
	answers *prometheus.CounterVec
	refused *prometheus.CounterVec
	cuts    *prometheus.CounterVec
	took    prometheus.Histogram
	first   prometheus.Histogram
}

// NewMeter registers the metrics and returns their meter.
func NewMeter(r prometheus.Registerer) *Meter {
	seconds := []float64{.01, .025, .05, .1, .15, .2, .3, .4, .5, .75, 1, 1.5, 2, 3, 6}
	m := &Meter{
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "nutmegdock_gateway_answers_total", Help: "Answers of endpoints, by status."}, []string{"status"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "nutmegdock_gateway_refusals_total", Help: "Answers of the gateway itself, by status and reason."}, []string{"status", "reason"}),
		cuts:    prometheus.NewCounterVec(prometheus.CounterOpts{Name: "nutmegdock_gateway_cuts_total", Help: "Answers that were broken off, by reason."}, []string{"reason"}),
		took:    prometheus.NewHistogram(prometheus.HistogramOpts{Name: "nutmegdock_gateway_answer_seconds", Help: "Time from arrival to the end of the answer.", Buckets: seconds}),
		first:   prometheus.NewHistogram(prometheus.HistogramOpts{Name: "nutmegdock_gateway_first_seconds", Help: "Time from arrival to the first event of a stream.", Buckets: seconds}),
	}
	r.MustRegister(m.answers, m.refused, m.cuts, m.took, m.first)
	return m
}

// Answered counts a whole answer of an endpoint.
func (m *Meter) Answered(status int, took time.Duration) {
	m.answers.WithLabelValues(strconv.Itoa(status)).Inc()
	m.took.Observe(took.Seconds())
}

// Refused counts an answer of the gateway itself.
func (m *Meter) Refused(status int, reason string) {
	m.refused.WithLabelValues(strconv.Itoa(status), reason).Inc()
}

// Cut counts an answer that was broken off.
func (m *Meter) Cut(reason string) {
	m.cuts.WithLabelValues(reason).Inc()
}

// First counts the first event of a stream.
func (m *Meter) First(took time.Duration) {
	m.first.Observe(took.Seconds())
}
