// Package engineapi defines the messages between an endpoint host and its model engine.
package engineapi

import "github.com/nutmegdock/nutmegdock/internal/core/ident"

// Paths of the engine's HTTP interface.
const (
	StatePath       = "/state"
	LoadPath        = "/load"
	CompletionsPath = "/v1/completions"
	ChatPath        = "/v1/chat/completions"
)

// DoneData is the data of the last server-sent event of a complete streamed response.
const DoneData = "[DONE]"

// State is the engine's state as it reports it.
type State struct {
	// WeightSet is the loaded weight set, or empty if none is loaded.
	WeightSet ident.WeightSet `json:"set"`
	// FencingToken is the highest fencing token of the load commands that the engine has accepted.
	FencingToken ident.FencingToken `json:"fence"`
	// AcceptedLoads is the number of load commands that the engine has accepted since its start.
	AcceptedLoads int64 `json:"loads"`
	// Loading marks a load in progress.
	Loading bool `json:"loading,omitempty"`
	// InFlight is the number of requests in flight.
	InFlight int `json:"running"`
	// Slots is the number of requests that the engine can run concurrently.
	Slots int `json:"slots"`
	// StartTime identifies the incarnation of the engine process: it changes at every start.
	StartTime int64 `json:"birth"`
}

// LoadCommand commands the engine to load the weight set made of the artifacts.
type LoadCommand struct {
	// FencingToken orders the load commands. The engine refuses a command whose token is not higher than that of the
	// last command it accepted, unless it does not support fencing.
	FencingToken ident.FencingToken `json:"fence"`
	Artifacts    []ident.Digest     `json:"artifacts"`
	// Source is the base address from which the engine reads manifests and chunks.
	Source string `json:"source"`
}

// Message is one turn of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Request requests a completion. ReceivedTokens is the number of tokens that the caller has already received.
type Request struct {
	Model          string    `json:"model"`
	Prompt         string    `json:"prompt,omitempty"`
	Messages       []Message `json:"messages,omitempty"`
	MaxTokens      int       `json:"max_tokens,omitempty"`
	Stream         bool      `json:"stream,omitempty"`
	ReceivedTokens int       `json:"resume,omitempty"`
}

// Choice is one alternative of a completion.
type Choice struct {
	Index        int      `json:"index"`
	Text         string   `json:"text,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Completion is a full completion, or one event of a streamed completion.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
}
