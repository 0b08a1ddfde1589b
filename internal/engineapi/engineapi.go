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

// DoneMark is the data of the last server-sent event of a complete streamed response.
const DoneMark = "[DONE]"

// State is the engine's state as it reports it.
type State struct {
	// Set is the loaded weight set, or empty if none is loaded.
	Set ident.WeightSet `json:"set"`
	// Fence is the highest fencing token of the load commands that the engine has accepted.
	Fence ident.Fence `json:"fence"`
	// Loads is the number of load commands that the engine has accepted since its start.
	Loads int64 `json:"loads"`
	// Loading marks a load in progress.
	Loading bool `json:"loading,omitempty"`
	// Running is the number of requests in flight.
	Running int `json:"running"`
	// Slots is the number of requests that the engine can run concurrently.
	Slots int `json:"slots"`
	// Birth identifies the incarnation of the engine process: it changes at every start.
	Birth int64 `json:"birth"`
}

// Order is the load command: the engine is to load the weight set made of the artifacts.
type Order struct {
	// Fence is the fencing token. The engine refuses a command whose token is not higher than that of the last command
	// it accepted, unless it does not support fencing.
	Fence     ident.Fence    `json:"fence"`
	Artifacts []ident.Digest `json:"artifacts"`
	// Source is the base address from which the engine reads manifests and chunks.
	Source string `json:"source"`
}

// Message is one turn of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Request requests a completion. Resume is the number of tokens that the caller has already received.
type Request struct {
	Model    string    `json:"model"`
	Prompt   string    `json:"prompt,omitempty"`
	Messages []Message `json:"messages,omitempty"`
	Tokens   int       `json:"max_tokens,omitempty"`
	Stream   bool      `json:"stream,omitempty"`
	Resume   int       `json:"resume,omitempty"`
}

// Choice is one alternative of a completion.
type Choice struct {
	Index   int      `json:"index"`
	Text    string   `json:"text,omitempty"`
	Delta   *Message `json:"delta,omitempty"`
	Message *Message `json:"message,omitempty"`
	Finish  *string  `json:"finish_reason"`
}

// Answer is a complete completion, or one event of a streamed completion.
type Answer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
}
