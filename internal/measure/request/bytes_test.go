package request

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/measure"
	"github.com/nutmegdock/nutmegdock/internal/membership"
	"github.com/nutmegdock/nutmegdock/internal/messages"
	"github.com/nutmegdock/nutmegdock/internal/reporter"
)

// The target size of the system is targetZones availability zones with entriesPerZone entry hosts and endpointsPerZone
// endpoint hosts each.
const (
	targetZones      = 13
	entriesPerZone   = 25
	endpointsPerZone = 154
	// controlBytesBound is the control traffic that a daemon may cause, in bytes per second.
	controlBytesBound = 9000
	// packetHeaderBytes is the size of the TCP and IP headers of one message.
	packetHeaderBytes = 52
)

// newMembers returns countPerZone members of a role in each zone of the target size.
func newMembers(role membership.Role, countPerZone int) []membership.Member {
	var out []membership.Member
	for z := range targetZones {
		for i := range countPerZone {
			out = append(out, membership.Member{
				Host: ident.Host(fmt.Sprintf("%s-%02d-%03d", role, z, i)), Role: role, Zone: ident.Zone(fmt.Sprintf("zone-%02d", z)),
			})
		}
	}
	return out
}

// wireBytes returns the size of a message on the network in bytes, with its framing and headers. It includes the
// response if the message has one.
func wireBytes(t *testing.T, method string, params any, hasResponse bool) float64 {
	t.Helper()
	request := jsonrpc2.Request{Method: method, Notif: !hasResponse, ID: jsonrpc2.ID{Num: 1e6}}
	if err := request.SetParams(params); err != nil {
		t.Fatal(err)
	}
	data, err := json.Marshal(request)
	if err != nil {
		t.Fatal(err)
	}
	n := float64(len(data) + 2 + packetHeaderBytes)
	if hasResponse {
		response := jsonrpc2.Response{ID: request.ID}
		if err := response.SetResult(messages.ReportAck{Offset: 1e6}); err != nil {
			t.Fatal(err)
		}
		data, _ := json.Marshal(response)
		n += float64(len(data) + 2 + packetHeaderBytes)
	}
	return n
}

// TestMeasureRequestBytes computes the traffic of load reports at the target size if the load of every endpoint changes
// continuously.
func TestMeasureRequestBytes(t *testing.T) {
	full := messages.Report{
		Host: "endpoint-00-000", Zone: "zone-00", Region: "region-0", Pool: "lm-fleet", DataAddress: "10.100.100.100:10000", StartTime: time.Now().UnixNano(),
		Offset: 1e6, GateOpen: true, ServedSet: ident.WeightSet(strings.Repeat("a", 64)), AssignedSet: ident.WeightSet(strings.Repeat("a", 64)),
		InFlight: 15, Slots: 16, HeldChunks: 100, TotalChunks: 100, SentMs: 1e9, MaxIntervalSeconds: 15, AssignedSince: 1e6,
	}
	load := messages.LoadUpdate{Host: full.Host, StartTime: full.StartTime, SentMs: full.SentMs, Offset: full.Offset, InFlight: 15, Slots: 16}
	fullBytes := wireBytes(t, messages.ReportMethod, full, true)
	loadBytes := wireBytes(t, messages.LoadUpdateMethod, load, false)
	report(t, "bytes.report", fullBytes, "bytes")
	report(t, "bytes.load", loadBytes, "bytes")
	entries, endpoints := newMembers(membership.RoleEntry, entriesPerZone), newMembers(membership.RoleEndpoint, endpointsPerZone)
	receivedRates := make(map[ident.Host]float64)
	knownEndpoints := make(map[ident.Host]int)
	maxSentRate := 0.0
	for _, e := range endpoints {
		targets := reporter.TargetSelector{Host: e.Host, Zone: e.Zone}.Select(entries, endpoints, len(endpoints))
		sentRate := 0.0
		for _, target := range targets.List {
			rate := loadBytes/reporter.MaxFarInterval.Seconds() + fullBytes/reporter.FullReportInterval.Seconds()
			if target.Near {
				rate = loadBytes/targets.MinLoadInterval.Seconds() + fullBytes/reporter.FullReportInterval.Seconds()
			}
			sentRate += rate
			receivedRates[target.Host] += rate
			knownEndpoints[target.Host]++
		}
		maxSentRate = max(maxSentRate, sentRate)
	}
	maxReceivedRate, totalRate := 0.0, 0.0
	minKnown := len(endpoints)
	for host, rate := range receivedRates {
		maxReceivedRate = max(maxReceivedRate, rate)
		totalRate += rate
		minKnown = min(minKnown, knownEndpoints[host])
	}
	reportBounded(t, "bytes.entry.worst", maxReceivedRate, "bytes/s", measure.AtMost, controlBytesBound)
	report(t, "bytes.entry.mean", totalRate/float64(len(receivedRates)), "bytes/s")
	reportBounded(t, "bytes.endpoint.worst", maxSentRate, "bytes/s", measure.AtMost, controlBytesBound)
	report(t, "bytes.entry.knows", float64(minKnown), "endpoints, least")
}
