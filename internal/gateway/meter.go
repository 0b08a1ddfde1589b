package gateway

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/nutmegdock/nutmegdock/internal/core/attributor"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

// Meter counts requests. Use NewMeter.
type Meter struct {
	responses        *prometheus.CounterVec
	refusals         *prometheus.CounterVec
	truncated        *prometheus.CounterVec
	duration         prometheus.Histogram
	timeToFirstEvent prometheus.Histogram
	crashes          prometheus.Counter
	quarantined      prometheus.Gauge
	assigned         *prometheus.CounterVec
	overloads        *prometheus.CounterVec
	unpromising      prometheus.Counter
	held             prometheus.Histogram
	aboveShare       *prometheus.CounterVec
	relocations      *prometheus.CounterVec
	unattributed     *prometheus.CounterVec
}

// NewMeter registers the metrics and returns their meter.
func NewMeter(r prometheus.Registerer) *Meter {
	seconds := []float64{.01, .025, .05, .1, .15, .2, .3, .4, .5, .75, 1, 1.5, 2, 3, 6}
	m := &Meter{
		responses:        prometheus.NewCounterVec(prometheus.CounterOpts{Name: "nutmegdock_gateway_answers_total", Help: "Answers of endpoints, by status."}, []string{"status"}),
		refusals:         prometheus.NewCounterVec(prometheus.CounterOpts{Name: "nutmegdock_gateway_refusals_total", Help: "Answers of the gateway itself, by status and reason."}, []string{"status", "reason"}),
		truncated:        prometheus.NewCounterVec(prometheus.CounterOpts{Name: "nutmegdock_gateway_cuts_total", Help: "Answers that were broken off, by reason."}, []string{"reason"}),
		duration:         prometheus.NewHistogram(prometheus.HistogramOpts{Name: "nutmegdock_gateway_answer_seconds", Help: "Time from arrival to the end of the answer.", Buckets: seconds}),
		timeToFirstEvent: prometheus.NewHistogram(prometheus.HistogramOpts{Name: "nutmegdock_gateway_first_seconds", Help: "Time from arrival to the first event of a stream.", Buckets: seconds}),
		crashes:          prometheus.NewCounter(prometheus.CounterOpts{Name: "nutmegdock_gateway_crashes_total", Help: "Crashes of endpoints that this host has observed."}),
		quarantined:      prometheus.NewGauge(prometheus.GaugeOpts{Name: "nutmegdock_gateway_quarantined_features", Help: "Features of requests that are quarantined."}),
	}
	m.assigned = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "nutmegdock_gateway_assigned_total", Help: "Attempts that were assigned to an endpoint, by rank and by whether their objective had passed."}, []string{"rank", "late"})
	m.overloads = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "nutmegdock_gateway_overloads_total", Help: "Refusals for overload, by rank, by whether the objective had passed and by whether slots were reserved for more urgent requests."}, []string{"rank", "late", "reserved"})
	m.unpromising = prometheus.NewCounter(prometheus.CounterOpts{Name: "nutmegdock_gateway_unpromising_total", Help: "Refusals for overload without Retry-After, because no retry is expected to succeed."})
	m.held = prometheus.NewHistogram(prometheus.HistogramOpts{Name: "nutmegdock_gateway_held_seconds", Help: "Time for which requests were held before their last round of queries.", Buckets: []float64{.01, .02, .05, .1, .15, .2}})
	m.aboveShare = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "nutmegdock_gateway_above_share_total", Help: "Refusals for overload of organisations that had more than their fair share of the rank, by rank."}, []string{"rank"})
	m.relocations = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "nutmegdock_gateway_relocations_total", Help: "Attempts to move a request from an endpoint that stands still, by the reason why it stays; empty if it moved."}, []string{"reason"})
	m.unattributed = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "nutmegdock_gateway_unattributed_responses_total", Help: "Responses that are not those of an endpoint to the request, by reason."}, []string{"reason"})
	for _, reason := range attributor.Reasons {
		m.unattributed.WithLabelValues(string(reason))
	}
	r.MustRegister(m.unpromising, m.held, m.aboveShare, m.relocations, m.unattributed)
	r.MustRegister(m.responses, m.refusals, m.truncated, m.duration, m.timeToFirstEvent, m.crashes, m.quarantined, m.assigned, m.overloads)
	return m
}

// ObserveResponse records a complete response of an endpoint.
func (m *Meter) ObserveResponse(status int, took time.Duration) {
	m.responses.WithLabelValues(strconv.Itoa(status)).Inc()
	m.duration.Observe(took.Seconds())
}

// CountRefusal counts a response of the gateway itself.
func (m *Meter) CountRefusal(status int, reason string) {
	m.refusals.WithLabelValues(strconv.Itoa(status), reason).Inc()
}

// CountTruncated counts a response that was not completed.
func (m *Meter) CountTruncated(reason string) {
	m.truncated.WithLabelValues(reason).Inc()
}

// ObserveFirstEvent records the time to the first event of a stream.
func (m *Meter) ObserveFirstEvent(took time.Duration) {
	m.timeToFirstEvent.Observe(took.Seconds())
}

// CountCrash counts a crash of an endpoint.
func (m *Meter) CountCrash() {
	m.crashes.Inc()
}

// AddQuarantined adds to the number of quarantined features.
func (m *Meter) AddQuarantined(n int) {
	m.quarantined.Add(float64(n))
}

// CountAssigned counts an attempt that was assigned to an endpoint.
func (m *Meter) CountAssigned(rank ident.Rank, isLate bool) {
	m.assigned.WithLabelValues(strconv.Itoa(int(rank)), strconv.FormatBool(isLate)).Inc()
}

// CountOverload counts a refusal for overload.
func (m *Meter) CountOverload(rank ident.Rank, isLate, isReserved bool) {
	m.overloads.WithLabelValues(strconv.Itoa(int(rank)), strconv.FormatBool(isLate), strconv.FormatBool(isReserved)).Inc()
}

// CountUnpromising counts a refusal without a time to retry after.
func (m *Meter) CountUnpromising() {
	m.unpromising.Inc()
}

// ObserveHeld records for how long a request was held.
func (m *Meter) ObserveHeld(took time.Duration) {
	m.held.Observe(took.Seconds())
}

// CountAboveShare counts a refusal of an organisation that is above its fair share.
func (m *Meter) CountAboveShare(rank ident.Rank) {
	m.aboveShare.WithLabelValues(strconv.Itoa(int(rank))).Inc()
}

// CountRelocation counts an attempt to move a request from an endpoint that stands still. An empty reason means that it moved.
func (m *Meter) CountRelocation(reason string) {
	m.relocations.WithLabelValues(reason).Inc()
}

// CountUnattributed counts a response that is not that of an endpoint to the request.
func (m *Meter) CountUnattributed(r attributor.Reason) {
	m.unattributed.WithLabelValues(string(r)).Inc()
}
