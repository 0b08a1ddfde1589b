package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/nutmegdock/nutmegdock/internal/gateway"
)

// foreignFields are the fields of heads that are not those of the endpoint's response to the request, with the reason.
var foreignFields = map[string]struct{ fields, reason string }{
	"neither id nor signature": {"", "no-id"},
	"no signature":             {"Id: id1\r\n", "not-signed"},
	"empty signature":          {"Id: id1\r\nSigned:\r\n", "not-signed"},
	"two signatures":           {"Id: id1\r\nSigned: s\r\nSigned: t\r\n", "not-signed"},
	"no id":                    {"Signed: s\r\n", "no-id"},
	"empty id":                 {"Signed: s\r\nId:\r\n", "no-id"},
	"two ids":                  {"Signed: s\r\nId: id1\r\nId: id2\r\n", "many-ids"},
	"encoded body":             {"Signed: s\r\nId: id1\r\nEncoded: gzip\r\n", "encoded"},
}

// Callers got a success without the signature of an endpoint, or with another body than the endpoint's: whole, without end,
// with other statuses and as a stream.
func TestResponsesThatAreNotTheEndpointsAreNotForwarded(t *testing.T) {
	events := streamBody(1, 2)
	endless := func(head string) step { return floodOf(head+"\r\n", "x", new(atomic.Int64)) }
	for name, foreign := range foreignFields {
		for _, status := range []int{200, 203, 299} {
			head := fmt.Sprintf("HTTP/1.1 %d X\r\n%s", status, foreign.fields)
			for _, c := range []struct {
				form, path  string
				first, next step
				status      int
				want        string
				sent        int
			}{
				{"whole", "/once/", rawResponse(head + "Content-Length: 2\r\n\r\nno"), response(200, "ok"), 502, "", 1},
				{"whole", "/read/", rawResponse(head + "Content-Length: 2\r\n\r\nno"), response(200, "ok"), 200, "ok", 2},
				{"empty", "/read/", rawResponse(head + "Content-Length: 0\r\n\r\n"), response(200, "ok"), 200, "ok", 2},
				{"without end", "/read/", endless(head), response(200, "ok"), 200, "ok", 2},
				{"without end", "/once/", endless(head), response(200, "ok"), 502, "", 1},
				{"large", "/read/", rawResponse(head + "Content-Length: 2000000\r\n\r\n" + strings.Repeat("x", 2000000)), response(200, "ok"), 200, "ok", 2},
				{"stream", "/stream/", rawResponse(head + "\r\n" + events), streamOf(1, 4, true), 200, streamBody(1, 4), 2},
				{"stream", "/fixed/", rawResponse(head + "\r\n" + events), streamOf(1, 4, true), 502, "", 1},
				{"stream without end", "/stream/", endless(head), streamOf(1, 4, true), 200, streamBody(1, 4), 2},
			} {
				t.Run(fmt.Sprint(name, " ", status, " ", c.form, c.path), func(t *testing.T) {
					t.Parallel()
					is := is.NewRelaxed(t)
					f := startFleet(t, []step{c.first}, []step{c.next})
					registry := prometheus.NewRegistry()
					f.gateway.Meter = gateway.NewMeter(registry)
					f.configure(1)
					startTime := time.Now()
					status, body, h, err := f.send(c.path, nil)
					is.NoErr(err)
					is.Equal(status, c.status)
					is.True(strings.HasPrefix(body, c.want)) // the gateway's own failure has another body
					is.True(c.status == http.StatusOK || h.Get("Signed") == "" && h.Get("Retry-After") == "")
					is.Equal(len(f.requests()), c.sent)
					is.True(time.Since(startTime) < time.Second) // refused at once
					is.NoErr(testutil.GatherAndCompare(registry, strings.NewReader(unattributedMetric(foreign.reason)), "nutmegdock_gateway_unattributed_responses_total"))
				})
			}
		}
	}
}

// unattributedMetric returns the metric after one response was refused for the given reason.
func unattributedMetric(reason string) string {
	const name = "nutmegdock_gateway_unattributed_responses_total"
	out := "# HELP " + name + " Responses that are not those of an endpoint to the request, by reason.\n# TYPE " + name + " counter\n"
	for _, r := range []string{"encoded", "many-ids", "no-id", "not-signed", "other"} {
		count := 0
		if r == reason {
			count = 1
		}
		out += fmt.Sprintf("%s{reason=%q} %d\n", name, r, count)
	}
	return out
}

// A stream went on with the events of a response that is not the endpoint's.
func TestStreamsResumeOnlyWithTheEndpointsResponse(t *testing.T) {
	for name, foreign := range foreignFields {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.NewRelaxed(t)
			f := startFleet(t, []step{streamOf(1, 2, false)}, []step{rawResponse("HTTP/1.1 200 X\r\n" + foreign.fields + "\r\n" + streamBody(3, 9))}, []step{streamOf(3, 4, true)})
			f.configure(1)
			status, body, _, err := f.send("/stream/", nil)
			is.NoErr(err)
			is.Equal(status, 200)
			is.Equal(body, streamBody(1, 4))
		})
	}
}

// What a response says that is not the endpoint's changed how the endpoint was used: a pause, a limit, or that it leaves.
func TestResponsesThatAreNotTheEndpointsSayNothingAboutIt(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, []step{rawResponse("HTTP/1.1 200 X\r\nLeaving: 1\r\nLimit: 0.001\r\nContent-Length: 0\r\n\r\n")})
	f.configure(1)
	status, _, _, err := f.send("/once/", nil)
	is.NoErr(err)
	is.Equal(status, 502)
	is.True(!f.gateway.Assigner.Limit(f.endpoints[0]).IsKnown())
	is.True(f.gateway.Assigner.RecordLeaving(f.endpoints[0])) // news
}

// A response to another request may come before the one to this request, also if it is encoded or lacks a signature.
func TestResponseToOtherRequestIsSkipped(t *testing.T) {
	is := is.New(t)
	const late = "HTTP/1.1 200 X\r\nId: id0\r\nContent-Length: 2\r\n\r\nno"
	f := startFleet(t, []step{rawResponse(late + "HTTP/1.1 200 X\r\nSigned: s\r\nId: id1\r\nContent-Length: 2\r\n\r\nok")},
		[]step{rawResponse(late + "HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nno"), response(200, "ok")})
	f.configure(1)
	status, body, _, err := f.send("/once/", nil)
	is.NoErr(err)
	is.Equal(status, 200)
	is.Equal(body, "ok")
	// What follows it is checked in the same way.
	status, _, _, err = f.send("/once/", nil)
	is.NoErr(err)
	is.Equal(status, 502)
}
