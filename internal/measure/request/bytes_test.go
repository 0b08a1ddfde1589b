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
	// reportBound is what a daemon may spend on control, in bytes a second.
	reportBound = 9000
	// packetBytes are the headers of TCP and IP on one message.
	packetBytes = 52
)

func members(role membership.Role, each int) []membership.Member {
	var out []membership.Member
	for z := range targetZones {
		for i := range each {
			out = append(out, membership.Member{
				Host: ident.Host(fmt.Sprintf("%s-%02d-%03d", role, z, i)), Role: role, Zone: ident.Zone(fmt.Sprintf("zone-%02d", z)),
			})
		}
	}
	return out
}

// wireBytes returns the size of a message with its framing.
func wireBytes(t *testing.T, method string, params any, answered bool) float64 {
	t.Helper()
	q := jsonrpc2.Request{Method: method, Notif: !answered, ID: jsonrpc2.ID{Num: 1e6}}
	if err := q.SetParams(params); err != nil {
		t.Fatal(err)
	}
	data, err := json.Marshal(q)
	if err != nil {
		t.Fatal(err)
	}
	n := float64(len(data) + 2 + packetBytes)
	if answered {
		a := jsonrpc2.Response{ID: q.ID}
		if err := a.SetResult(messages.ReportAck{Offset: 1e6}); err != nil {
			t.Fatal(err)
		}
		data, _ := json.Marshal(a)
		n += float64(len(data) + 2 + packetBytes)
	}
	return n
}

// TestMeasureRequestBytes works out the rate of reports at the target's size, when every endpoint's load changes all
// the time.
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
	entries, endpoints := members(membership.RoleEntry, targetEntries), members(membership.RoleEndpoint, targetEndpoints)
	in := make(map[ident.Host]float64)
	known := make(map[ident.Host]int)
	most := 0.0
	for _, e := range endpoints {
		targets := reporter.TargetSelector{Host: e.Host, Zone: e.Zone}.Select(entries, endpoints, len(endpoints))
		out := 0.0
		for _, g := range targets.List {
			rate := loadBytes/reporter.MaxFarInterval.Seconds() + fullBytes/reporter.FullReportInterval.Seconds()
			if g.Near {
				rate = loadBytes/targets.MinLoadInterval.Seconds() + fullBytes/reporter.FullReportInterval.Seconds()
			}
			out += rate
			in[g.Host] += rate
			known[g.Host]++
		}
		most = max(most, out)
	}
	worst, sum := 0.0, 0.0
	fewest := len(endpoints)
	for h, n := range in {
		worst = max(worst, n)
		sum += n
		fewest = min(fewest, known[h])
	}
	bound(t, "bytes.entry.worst", worst, "bytes/s", measure.AtMost, reportBound)
	report(t, "bytes.entry.mean", sum/float64(len(in)), "bytes/s")
	bound(t, "bytes.endpoint.worst", most, "bytes/s", measure.AtMost, reportBound)
	report(t, "bytes.entry.knows", float64(fewest), "endpoints, least")
}
