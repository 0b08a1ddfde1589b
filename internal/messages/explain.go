package messages

import "github.com/nutmegdock/nutmegdock/internal/core/ident"

// ExplainPath is the path on the metrics server of an entry host that explains where a request would go.
const ExplainPath = "/explain"

// RequestExplanation is the response: what an entry host would do with a request now. Times are in milliseconds.
type RequestExplanation struct {
	Zone         ident.Zone         `json:"zone"`
	Revision     int64              `json:"revision"`
	Route        string             `json:"route,omitempty"`
	Organisation ident.Organisation `json:"organisation,omitempty"`
	Pool         ident.Pool         `json:"pool,omitempty"`
	// AllowedZones lists the zones in which the request may run.
	AllowedZones []ident.Zone `json:"allowed_zones"`
	// Endpoint is the endpoint that the request would be sent to, or Refusal the reason why it would be refused.
	Endpoint   string               `json:"endpoint,omitempty"`
	Refusal    string               `json:"refusal,omitempty"`
	Candidates []ExplainedCandidate `json:"candidates"`
}

// ExplainedCandidate is one endpoint of the pool of the request.
type ExplainedCandidate struct {
	Endpoint string     `json:"endpoint"`
	Zone     ident.Zone `json:"zone"`
	// State is "available", or the reason why the endpoint gets no requests. Fits says whether it could serve the request in
	// time.
	State string `json:"state"`
	Fits  bool   `json:"fits"`
	// Requests and PendingPromptTokens are the load of all entry hosts. LoadAge is its age, or -1 if the mean of the pool is
	// taken because the load is not known.
	Requests            int   `json:"requests"`
	PendingPromptTokens int   `json:"pending_prompt_tokens"`
	LoadAge             int64 `json:"load_age_ms"`
	// Predicted is the predicted time to the first event, and Margin by how much it must be earlier than in the own zone.
	Predicted int64 `json:"predicted_ms"`
	Margin    int64 `json:"margin_ms"`
}
