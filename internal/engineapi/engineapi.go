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

// DoneMark is the data of the last server-sent event of a whole answer.
const DoneMark = "[DONE]"

// State is the engine's report on itself. Loading tells that a load is in progress; Loads counts the orders to load that it took since its birth.
type State struct {
	Set     ident.WeightSet `json:"set"`
	Fence   ident.Fence     `json:"fence"`
	Loads   int64           `json:"loads"`
	Loading bool            `json:"loading,omitempty"`
	Running int             `json:"running"`
	Slots   int             `json:"slots"`
	Birth   int64           `json:"birth"`
}

// Order tells the engine to load a weight set from a source of artifacts and chunks.
type Order struct {
	Fence     ident.Fence    `json:"fence"`
	Artifacts []ident.Digest `json:"artifacts"`
	Source    string         `json:"source"`
}

// Message is one turn of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Request asks for a completion. Resume is the number of tokens that the caller already has.
type Request struct {
	Model    string    `json:"model"`
	Prompt   string    `json:"prompt,omitempty"`
	Messages []Message `json:"messages,omitempty"`
	Tokens   int       `json:"max_tokens,omitempty"`
	Stream   bool      `json:"stream,omitempty"`
	Resume   int       `json:"resume,omitempty"`
}

// Choice is one alternative of an answer.
type Choice struct {
	Index   int      `json:"index"`
	Text    string   `json:"text,omitempty"`
	Delta   *Message `json:"delta,omitempty"`
	Message *Message `json:"message,omitempty"`
	Finish  *string  `json:"finish_reason"`
}

// Answer is a whole completion, or one event of a streamed one.
type Answer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
}
