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

const (
	targetZones     = 13
	targetEntries   = 25
	targetEndpoints = 154
	// controlBytesBound is the control traffic that a daemon may cause, in bytes per second.
	controlBytesBound = 9000
	// packetHeaderBytes is the size of the TCP and IP headers of one message.
	packetHeaderBytes = 52
)

// membersPerZone returns count members of a role for each zone at the target size.
func membersPerZone(role membership.Role, count int) []membership.Member {
	var out []membership.Member
	for z := range targetZones {
		for i := range count {
			out = append(out, membership.Member{
				Host: ident.Host(fmt.Sprintf("%s-%02d-%03d", role, z, i)), Role: role, Zone: ident.Zone(fmt.Sprintf("zone-%02d", z)),
			})
		}
	}
	return out
}

// wireBytes returns the size of a message with its framing, and of the response if it has one.
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

// TestMeasureRequestBytes computes the traffic of load reports at the target size, when every endpoint's load changes
// all the time.
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
	entries, endpoints := membersPerZone(membership.RoleEntry, targetEntries), membersPerZone(membership.RoleEndpoint, targetEndpoints)
	received := make(map[ident.Host]float64)
	knownEndpoints := make(map[ident.Host]int)
	maxSent := 0.0
	for _, e := range endpoints {
		targets := reporter.TargetSelector{Host: e.Host, Zone: e.Zone}.Select(entries, endpoints, len(endpoints))
		sent := 0.0
		for _, g := range targets.List {
			rate := loadBytes/reporter.MaxFarInterval.Seconds() + fullBytes/reporter.FullReportInterval.Seconds()
			if g.Near {
				rate = loadBytes/targets.MinLoadInterval.Seconds() + fullBytes/reporter.FullReportInterval.Seconds()
			}
			sent += rate
			received[g.Host] += rate
			knownEndpoints[g.Host]++
		}
		maxSent = max(maxSent, sent)
	}
	maxReceived, sum := 0.0, 0.0
	minKnown := len(endpoints)
	for h, n := range received {
		maxReceived = max(maxReceived, n)
		sum += n
		minKnown = min(minKnown, knownEndpoints[h])
	}
	bound(t, "bytes.entry.worst", maxReceived, "bytes/s", measure.AtMost, controlBytesBound)
	report(t, "bytes.entry.mean", sum/float64(len(received)), "bytes/s")
	bound(t, "bytes.endpoint.worst", maxSent, "bytes/s", measure.AtMost, controlBytesBound)
	report(t, "bytes.entry.knows", float64(minKnown), "endpoints, least")
}
