package gateway

import (
	"encoding/json"
	"math"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/headercodec"
	"github.com/nutmegdock/nutmegdock/internal/messages"
)

// ServeExplanation serves messages.ExplainPath on the metrics server, which operators reach. It runs the decision on a
// request without sending one, and changes nothing. The query has the parameters host and path, and optionally tokens,
// model, prefix (once for each part of the prompt) and id. The key is a bearer token, so that it does not get into logs of
// addresses.
func (g *Gateway) ServeExplanation(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet {
		w.Header().Set("Allow", http.MethodGet)
		http.Error(w, "only GET is allowed", http.StatusMethodNotAllowed)
		return
	}
	query := r.URL.Query()
	tokens := 0.0
	if text := query.Get("tokens"); text != "" {
		var err error
		if tokens, err = strconv.ParseFloat(text, 64); err != nil || !(tokens >= 0) || math.IsInf(tokens, 0) {
			http.Error(w, "tokens is not a number of tokens", http.StatusBadRequest)
			return
		}
	}
	if query.Get("host") == "" || !strings.HasPrefix(query.Get("path"), "/") {
		http.Error(w, "host or path is missing", http.StatusBadRequest)
		return
	}
	key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	req := &request{
		CallerRequest: headercodec.CallerRequest{
			ID: ident.RequestID(query.Get("id")), Key: fleetconfig.Key(key), Model: fleetconfig.Model(query.Get("model")), PromptTokens: tokens, PromptParts: query["prefix"],
		},
		r:      &http.Request{Method: http.MethodPost, Host: query.Get("host"), URL: &url.URL{Path: query.Get("path")}, RequestURI: query.Get("path")},
		config: g.config.Load(), arrivedAt: time.Now(),
	}
	w.Header().Set("Content-Type", "application/json")
	// An error means that the operator has closed the connection.
	_ = json.NewEncoder(w).Encode(g.explain(req))
}

// explain returns where a request would go now.
func (g *Gateway) explain(req *request) messages.RequestExplanation {
	out := messages.RequestExplanation{Zone: g.Assigner.Zone, AllowedZones: []ident.Zone{}, Candidates: []messages.ExplainedCandidate{}}
	if req.config != nil {
		out.Revision = int64(req.config.Revision)
	}
	rej := g.resolve(req)
	if req.route != nil {
		out.Route = req.route.Name
	}
	if req.org != nil {
		out.Organisation = req.org.Name
	}
	if rej != nil {
		out.Refusal = rej.reason
		return out
	}
	out.Pool = req.pool
	explanation := g.Assigner.Explain(g.assignerQuery(req, &requestState{}))
	for z := range g.Restrictor.Regions {
		if g.mayUse(req, z) {
			out.AllowedZones = append(out.AllowedZones, z)
		}
	}
	for _, c := range explanation.Candidates {
		if !slices.Contains(out.AllowedZones, c.Zone) && g.mayUse(req, c.Zone) {
			out.AllowedZones = append(out.AllowedZones, c.Zone)
		}
		age := c.LoadAge.Milliseconds()
		if c.LoadAge < 0 {
			age = -1
		}
		out.Candidates = append(out.Candidates, messages.ExplainedCandidate{
			Endpoint: c.ID, Zone: c.Zone, State: c.State, Fits: c.Fits, Requests: c.Load.Requests, PendingPromptTokens: c.Load.PendingPromptTokens,
			LoadAge: age, Predicted: c.Predicted.Milliseconds(), Margin: c.Margin.Milliseconds(),
		})
	}
	slices.Sort(out.AllowedZones)
	req.setFeatures()
	if text, _ := g.quarantinedFeature(req); text != "" {
		out.Refusal = reasonQuarantined
		return out
	}
	out.Endpoint, out.Refusal = explanation.Endpoint, string(explanation.Refusal)
	return out
}
