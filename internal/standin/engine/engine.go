// Package engine is a stand-in for a model engine, for tests and the dev command.
package engine

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/manifest"
	"github.com/nutmegdock/nutmegdock/internal/engineapi"
	"github.com/nutmegdock/nutmegdock/internal/headers"
)

const (
	defaultSlots     = 8
	defaultMaxTokens = 16
	maxBodyBytes     = 1 << 20
)

// Engine is a stand-in for one model engine. Its tokens depend only on the weight set, the prompt and the position. Set
// its fields before calling Handler.
type Engine struct {
	// Slots is the maximum number of requests in flight; zero means eight.
	Slots int
	// TokenInterval is the time between tokens.
	TokenInterval time.Duration
	// IgnoreFencing makes the engine accept load commands with outdated fencing tokens.
	IgnoreFencing bool
	// CrashText crashes the engine when a prompt contains it; empty disables this.
	CrashText string
	// RestartDelay is how long the engine is down after a crash.
	RestartDelay time.Duration
	// HTTP fetches weights from the source that a load command names.
	HTTP *http.Client

	mu              sync.Mutex
	weightSet       ident.WeightSet
	loadedArtifacts map[ident.Digest]bool
	acceptedLoads   int64
	activeLoads     int
	fencingToken    ident.FencingToken
	inFlight        int
	startTime       int64
	downUntil       time.Time
	// crashed is closed and replaced at each simulated crash.
	crashed       chan struct{}
	slotSemaphore chan struct{}
}

// Handler returns the engine's routes.
func (e *Engine) Handler() http.Handler {
	if e.Slots == 0 {
		e.Slots = defaultSlots
	}
	e.slotSemaphore = make(chan struct{}, e.Slots)
	e.crashed = make(chan struct{})
	e.startTime = time.Now().UnixNano()
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+engineapi.StatePath, e.serveState)
	mux.HandleFunc("POST "+engineapi.LoadPath, e.serveLoad)
	mux.HandleFunc("POST "+engineapi.CompletionsPath, e.serveCompletion)
	mux.HandleFunc("POST "+engineapi.ChatPath, e.serveCompletion)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		isDown := time.Now().Before(e.downUntil)
		e.mu.Unlock()
		if isDown {
			panic(http.ErrAbortHandler)
		}
		mux.ServeHTTP(w, r)
	})
}

func (e *Engine) serveState(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	s := engineapi.State{WeightSet: e.weightSet, FencingToken: e.fencingToken, AcceptedLoads: e.acceptedLoads, Loading: e.activeLoads > 0, InFlight: e.inFlight, Slots: e.Slots, StartTime: e.startTime}
	e.mu.Unlock()
	writeJSON(w, s)
}

func (e *Engine) serveLoad(w http.ResponseWriter, r *http.Request) {
	var command engineapi.LoadCommand
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&command); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	stale := command.FencingToken <= e.fencingToken && !e.IgnoreFencing
	if !stale {
		e.fencingToken = command.FencingToken
		e.weightSet = ""
		e.acceptedLoads++
		e.activeLoads++
	}
	loaded := e.loadedArtifacts
	e.mu.Unlock()
	if stale {
		http.Error(w, "fencing number is too old", http.StatusConflict)
		return
	}
	defer e.endLoad()
	for _, d := range command.Artifacts {
		if loaded[d] {
			continue
		}
		if err := e.readArtifact(r.Context(), command.Source, d); err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
	}
	e.mu.Lock()
	if e.fencingToken == command.FencingToken || e.IgnoreFencing {
		e.weightSet = manifest.WeightSetOf(command.Artifacts...)
		e.loadedArtifacts = make(map[ident.Digest]bool)
		for _, d := range command.Artifacts {
			e.loadedArtifacts[d] = true
		}
	}
	e.mu.Unlock()
	e.serveState(w, r)
}

func (e *Engine) endLoad() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.activeLoads--
}

// readArtifact fetches the manifest and the chunks of an artifact, verifies their digests and discards the content.
func (e *Engine) readArtifact(ctx context.Context, source string, d ident.Digest) error {
	data, err := e.fetch(ctx, source+"/artifacts/"+string(d))
	if err != nil {
		return err
	}
	a, err := manifest.Decode(data, d)
	if err != nil {
		return err
	}
	for _, c := range a.Chunks {
		data, err := e.fetch(ctx, source+"/chunks/"+string(c.Digest))
		if err != nil {
			return err
		}
		if manifest.DigestOf(data) != c.Digest {
			return fmt.Errorf("chunk %s from %s is corrupt", c.Digest, source)
		}
	}
	return nil
}

func (e *Engine) fetch(ctx context.Context, url string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, fmt.Errorf("get %s: %w", url, err)
	}
	resp, err := e.HTTP.Do(req)
	if err != nil {
		return nil, fmt.Errorf("get %s: %w", url, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("get %s: status %d", url, resp.StatusCode)
	}
	return io.ReadAll(io.LimitReader(resp.Body, int64(manifest.MaxChunkBytes)))
}

// ExpectedToken returns the token at a position of the completion that an engine with the given weight set generates.
func ExpectedToken(set ident.WeightSet, prompt string, position int) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s\x00%s\x00%d", set, prompt, position))
	return hex.EncodeToString(sum[:3]) + " "
}

// ExpectedText returns the full completion that an engine with the given weight set generates.
func ExpectedText(set ident.WeightSet, prompt string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(ExpectedToken(set, prompt, i))
	}
	return b.String()
}

// PromptText returns the prompt of a completion request, or the concatenated messages of a chat request.
func PromptText(req engineapi.Request) string {
	if len(req.Messages) == 0 {
		return req.Prompt
	}
	var b strings.Builder
	for _, m := range req.Messages {
		b.WriteString(m.Role + ": " + m.Content + "\n")
	}
	return b.String()
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var req engineapi.Request
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if req.MaxTokens <= 0 {
		req.MaxTokens = defaultMaxTokens
	}
	prompt := PromptText(req)
	if e.CrashText != "" && strings.Contains(prompt, e.CrashText) {
		e.simulateCrash()
		panic(http.ErrAbortHandler)
	}
	select {
	case e.slotSemaphore <- struct{}{}:
		defer func() { <-e.slotSemaphore }()
	case <-r.Context().Done():
		return
	}
	set, crashed := e.beginRequest()
	defer e.endRequest()
	if set == "" {
		http.Error(w, "no weight set is loaded", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set(headers.WeightSet, string(set))
	w.Header().Set(headers.RequestID, r.Header.Get(headers.RequestID))
	gen := &generation{engine: e, crashed: crashed, chat: r.URL.Path == engineapi.ChatPath, prompt: prompt, request: req, id: r.Header.Get(headers.RequestID)}
	if req.Stream {
		gen.serveStream(w, r)
		return
	}
	gen.serveFull(w, r)
}

// beginRequest counts a request in flight. It returns the loaded weight set, and a channel that is closed when the
// engine crashes.
func (e *Engine) beginRequest() (ident.WeightSet, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inFlight++
	return e.weightSet, e.crashed
}

// currentWeightSet returns the weight set that generates the next token. A load command changes the weight set even
// while completions are in flight.
func (e *Engine) currentWeightSet() ident.WeightSet {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.weightSet
}

func (e *Engine) endRequest() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inFlight--
}

// simulateCrash aborts all requests in flight, resets the engine as a restart would and starts its downtime.
func (e *Engine) simulateCrash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.crashed)
	e.crashed = make(chan struct{})
	e.weightSet = ""
	e.loadedArtifacts = nil
	e.acceptedLoads = 0
	e.downUntil = time.Now().Add(e.RestartDelay)
	e.startTime = time.Now().UnixNano()
}

// generation is one completion in flight.
type generation struct {
	engine  *Engine
	crashed <-chan struct{}
	chat    bool
	prompt  string
	id      string
	request engineapi.Request
}

// waitForToken waits for TokenInterval. It aborts the connection if the engine crashes or the client disconnects.
func (g *generation) waitForToken(ctx context.Context) {
	select {
	case <-g.crashed:
		panic(http.ErrAbortHandler)
	case <-ctx.Done():
		panic(http.ErrAbortHandler)
	case <-time.After(g.engine.TokenInterval):
	}
}

func (g *generation) serveStream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	for i := g.request.ReceivedTokens; i < g.request.MaxTokens; i++ {
		g.waitForToken(r.Context())
		g.writeEvent(w, g.completion(ExpectedToken(g.engine.currentWeightSet(), g.prompt, i), true, nil))
		_ = rc.Flush()
	}
	stop := "stop"
	g.writeEvent(w, g.completion("", true, &stop))
	_, _ = fmt.Fprintf(w, "data: %s\n\n", engineapi.DoneData)
}

func (g *generation) writeEvent(w io.Writer, completion engineapi.Completion) {
	data, err := json.Marshal(completion)
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
}

func (g *generation) serveFull(w http.ResponseWriter, r *http.Request) {
	var text strings.Builder
	for i := range g.request.MaxTokens {
		g.waitForToken(r.Context())
		text.WriteString(ExpectedToken(g.engine.currentWeightSet(), g.prompt, i))
	}
	stop := "stop"
	writeJSON(w, g.completion(text.String(), false, &stop))
}

// completion returns a response with the given text, or an event of a streamed response if isStreamed is set.
func (g *generation) completion(text string, isStreamed bool, finishReason *string) engineapi.Completion {
	out := engineapi.Completion{ID: g.id, Object: "text_completion", Created: time.Now().Unix(), Model: g.request.Model}
	choice := engineapi.Choice{Text: text, FinishReason: finishReason}
	if g.chat {
		message := &engineapi.Message{Role: "assistant", Content: text}
		choice.Text = ""
		out.Object = "chat.completion"
		if isStreamed {
			out.Object = "chat.completion.chunk"
			choice.Delta = message
		} else {
			choice.Message = message
		}
	}
	out.Choices = []engineapi.Choice{choice}
	return out
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
