package gateway_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/nutmegdock/nutmegdock/internal/core/assigner"
	"github.com/nutmegdock/nutmegdock/internal/core/crashsuspector"
	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/zonebalancer"
	"github.com/nutmegdock/nutmegdock/internal/core/zonerestrictor"
	"github.com/nutmegdock/nutmegdock/internal/gateway"
	"github.com/nutmegdock/nutmegdock/internal/messages"
)

// explainedGateway returns a gateway in zone a without a network. Engines a0 and b0 are busy, a1 leaves, c0 is in a region
// that the organisation excludes, and the load at b1 is not known.
func explainedGateway() *gateway.Gateway {
	a := &assigner.Assigner{Zone: "a", Random: func() float64 { return 0 }, Balancer: &zonebalancer.Balancer{Zone: "a"}}
	a.SetPools(map[ident.Pool]*fleetconfig.Pool{"p": {Name: "p", Engine: &fleetconfig.EngineProfile{
		Slots: 12, StepsPerPass: 5, StepTime: 9 * time.Millisecond, PrefillRate: 20000, PromptTokens: 900, ResponseTokens: 90,
	}}})
	var endpoints []fleetconfig.Endpoint
	for _, id := range []string{"a0", "a1", "b0", "b1", "c0"} {
		endpoints = append(endpoints, fleetconfig.Endpoint{ID: id, Pool: "p", Zone: ident.Zone(id[:1]), Models: []fleetconfig.ServedModel{{Model: "m", Release: 3}}})
	}
	a.SetEndpoints(endpoints)
	a.RecordLeaving(endpoints[1])
	a.SetReport(endpoints[0], assigner.Load{Requests: 20, PendingPromptTokens: 9000})
	a.SetReport(endpoints[4], assigner.Load{})
	time.Sleep(100 * time.Millisecond)
	a.SetReport(endpoints[2], assigner.Load{Requests: 5, PendingPromptTokens: 900})
	time.Sleep(20 * time.Millisecond)
	a.Balancer.RecordRoundTrip("b", 2*time.Millisecond)
	g := &gateway.Gateway{
		Assigner: a, OldestRelease: func(fleetconfig.Model) fleetconfig.Release { return 2 }, Suspector: &crashsuspector.Suspector{},
		Logger: &log.Logger{Handler: discard.New(), Level: log.InfoLevel}, Meter: gateway.NewMeter(prometheus.NewRegistry()),
		Restrictor: zonerestrictor.Restrictor{Regions: map[ident.Zone]ident.Region{"a": "ra", "b": "rb", "c": "rc"}},
	}
	config := &fleetconfig.Config{Revision: 7, Keys: map[fleetconfig.Key]*fleetconfig.Organisation{
		"k": {Name: "org", Regions: []ident.Region{"ra", "rb"}}, "nowhere": {Name: "other", Regions: []ident.Region{"rd"}},
	}}
	config.SetRoutes([]fleetconfig.Route{{
		Name: "chat", Host: "api.example", Prefix: "/v1", Kind: fleetconfig.Stream, Pools: []fleetconfig.PoolShare{{Pool: "p", Weight: 1}}, Objective: 400 * time.Millisecond,
	}})
	g.SetConfig(config)
	return g
}

func explain(g *gateway.Gateway, method, key string, values url.Values) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	r := httptest.NewRequest(method, messages.ExplainPath+"?"+values.Encode(), nil)
	r.Header.Set("Authorization", "Bearer "+key)
	g.ServeExplanation(w, r)
	return w
}

var chatRequest = url.Values{"host": {"api.example"}, "path": {"/v1/chat"}, "model": {"m"}, "tokens": {"900"}, "prefix": {"part"}}

// Guards against an explanation that differs from the decision, and against one that changes what it explains.
func TestExplanationOfRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := explainedGateway()
		w := explain(g, http.MethodGet, "k", chatRequest)
		is.Equal(w.Code, http.StatusOK)
		var got bytes.Buffer
		is.NoErr(json.Indent(&got, w.Body.Bytes(), "", "  "))
		want, err := os.ReadFile("testdata/explanation.golden")
		is.NoErr(err)
		is.Equal(got.String(), string(want))
		is.Equal(len(g.Assigner.LoadedEndpoints()), 0)
		again := explain(g, http.MethodGet, "k", chatRequest)
		var second bytes.Buffer
		is.NoErr(json.Indent(&second, again.Body.Bytes(), "", "  "))
		is.Equal(second.String(), got.String())
		choice, refusal := g.Assigner.Assign(assigner.Query{
			Pool: "p", Model: "m", Release: 2, PromptTokens: 900, TimeLeft: 400 * time.Millisecond, MayUse: func(z ident.Zone) bool { return z != "c" },
			Among: map[string]bool{"a0": true, "a1": true, "b0": true, "b1": true, "c0": true},
		})
		is.Equal(refusal, assigner.Refusal(""))
		is.Equal(choice.Endpoint.ID, "b0")
	})
}

// Guards against refusals that are not named, and against queries that a browser or a typing error produces.
func TestExplanationOfRefusedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := explainedGateway()
		reason := func(key, host, tokens string) string {
			var out messages.RequestExplanation
			values := url.Values{"host": {host}, "path": {"/v1/chat"}, "model": {"m"}, "tokens": {tokens}}
			is.NoErr(json.Unmarshal(explain(g, http.MethodGet, key, values).Body.Bytes(), &out))
			is.Equal(out.Endpoint, "")
			return out.Refusal
		}
		is.Equal(reason("unknown", "api.example", "900"), "unknown-key")
		is.Equal(reason("k", "other.example", "900"), "no-route")
		is.Equal(reason("nowhere", "api.example", "900"), "restricted")
		is.Equal(reason("k", "api.example", "90000"), "overload")
		is.Equal(explain(g, http.MethodPost, "k", chatRequest).Code, http.StatusMethodNotAllowed)
		for _, tokens := range []string{"-1", "x", "NaN", "Inf"} {
			values := url.Values{"host": {"api.example"}, "path": {"/v1"}, "tokens": {tokens}}
			is.Equal(explain(g, http.MethodGet, "k", values).Code, http.StatusBadRequest)
		}
		is.Equal(explain(g, http.MethodGet, "k", nil).Code, http.StatusBadRequest)
		var empty gateway.Gateway
		empty.Assigner = &assigner.Assigner{}
		is.True(bytes.Contains(explain(&empty, http.MethodGet, "k", chatRequest).Body.Bytes(), []byte("no-configuration")))
	})
}

// Guards against an explanation that ignores the quarantine of a part of the prompt.
func TestExplanationOfQuarantinedRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := explainedGateway()
		g.Suspector.OnQuarantine, g.Suspector.OnLift = g.HandleQuarantine, g.HandleLift
		feature := crashsuspector.Feature(xxhash.Sum64String("part\x00part"))
		for i := range 3 {
			g.Suspector.RecordCrash(crashsuspector.CrashID(i+1), []crashsuspector.Feature{feature})
			time.Sleep(time.Second)
		}
		var out messages.RequestExplanation
		is.NoErr(json.Unmarshal(explain(g, http.MethodGet, "k", chatRequest).Body.Bytes(), &out))
		is.Equal(out.Refusal, "quarantined")
	})
}
