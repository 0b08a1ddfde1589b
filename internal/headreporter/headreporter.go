// Package headreporter logs and counts the responses that a process has refused because they are not valid HTTP.
package headreporter

import (
	"net/http"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/nutmegdock/nutmegdock/internal/event"
	"github.com/nutmegdock/nutmegdock/internal/headchecker"
	"github.com/nutmegdock/nutmegdock/internal/roundtripper"
)

// Reporter is the collector of the metric nutmegdock_refused_responses_total. Use New.
type Reporter struct {
	*prometheus.CounterVec
	logger log.Interface
}

// New returns a reporter that logs with logger.
func New(logger log.Interface) *Reporter {
	return &Reporter{logger: logger, CounterVec: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "nutmegdock_refused_responses_total", Help: "Responses that were refused because they are not valid HTTP, by the part that is not valid.",
	}, []string{"part"})}
}

// Report logs and counts one response from an address.
func (r *Reporter) Report(address string, err *headchecker.Error) {
	r.WithLabelValues(string(err.Part)).Inc()
	event.ResponseRefused.Log(r.logger, log.Fields{"address": address, "part": string(err.Part), "cause": err.Error()})
}

// Observe makes a client report the responses that it refuses, and returns the client. Its transport must be a round tripper
// of roundtripper.
func (r *Reporter) Observe(client *http.Client) *http.Client {
	client.Transport.(*roundtripper.RoundTripper).OnRefusal = r.Report
	return client
}
