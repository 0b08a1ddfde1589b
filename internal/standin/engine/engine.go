// Package engine stands in for a model engine in tests and in the dev command.
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
	defaultSlots  = 8
	defaultTokens = 16
	maxBodyBytes  = 1 << 20
)

// Engine streams tokens that are a function of the weight set, the prompt and the position. Set its fields before the
// first request.
type Engine struct {
	// Slots bounds the requests that run at once; zero means eight.
	Slots int
	// TokenTime is the time between tokens.
	TokenTime time.Duration
	// IgnoreFence makes the engine take orders with old fencing numbers.
	IgnoreFence bool
	// Poison is a text in a prompt that crashes the engine; empty means none.
	Poison string
	// Restart is how long the engine is down after a crash.
	Restart time.Duration
	// HTTP fetches weights from the source that an order names.
	HTTP *http.Client

	mu           sync.Mutex
	set          ident.WeightSet
	loaded       map[ident.Digest]bool
	loads        int64
	loading      int
	fencingToken ident.FencingToken
	running      int
	startTime    int64
	downTo       time.Time
	crash        chan struct{}
	slots        chan struct{}
}

// Handler returns the engine's routes.
func (e *Engine) Handler() http.Handler {
	if e.Slots == 0 {
		e.Slots = defaultSlots
	}
	e.slots = make(chan struct{}, e.Slots)
	e.crash = make(chan struct{})
	e.startTime = time.Now().UnixNano()
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+engineapi.StatePath, e.state)
	mux.HandleFunc("POST "+engineapi.LoadPath, e.load)
	mux.HandleFunc("POST "+engineapi.CompletionsPath, e.complete)
	mux.HandleFunc("POST "+engineapi.ChatPath, e.complete)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		down := time.Now().Before(e.downTo)
		e.mu.Unlock()
		if down {
			panic(http.ErrAbortHandler)
		}
		mux.ServeHTTP(w, r)
	})
}

func (e *Engine) state(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	s := engineapi.State{WeightSet: e.set, FencingToken: e.fencingToken, AcceptedLoads: e.loads, Loading: e.loading > 0, InFlight: e.running, Slots: e.Slots, StartTime: e.startTime}
	e.mu.Unlock()
	reply(w, s)
}

func (e *Engine) load(w http.ResponseWriter, r *http.Request) {
	var o engineapi.LoadCommand
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	stale := o.FencingToken <= e.fencingToken && !e.IgnoreFence
	if !stale {
		e.fencingToken = o.FencingToken
		e.set = ""
		e.loads++
		e.loading++
	}
	loaded := e.loaded
	e.mu.Unlock()
	if stale {
		http.Error(w, "fencing number is too old", http.StatusConflict)
		return
	}
	defer e.endLoad()
	for _, d := range o.Artifacts {
		if loaded[d] {
			continue
		}
		if err := e.readArtifact(r.Context(), o.Source, d); err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
	}
	e.mu.Lock()
	if e.fencingToken == o.FencingToken || e.IgnoreFence {
		e.set = manifest.WeightSetOf(o.Artifacts...)
		e.loaded = make(map[ident.Digest]bool)
		for _, d := range o.Artifacts {
			e.loaded[d] = true
		}
	}
	e.mu.Unlock()
	e.state(w, r)
}

func (e *Engine) endLoad() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loading--
}

func (e *Engine) readArtifact(ctx context.Context, source string, d ident.Digest) error {
	data, err := e.get(ctx, source+"/artifacts/"+string(d))
	if err != nil {
		return err
	}
	a, err := manifest.Decode(data, d)
	if err != nil {
		return err
	}
	for _, c := range a.Chunks {
		data, err := e.get(ctx, source+"/chunks/"+string(c.Digest))
		if err != nil {
			return err
		}
		if manifest.DigestOf(data) != c.Digest {
			return fmt.Errorf("chunk %s from %s is corrupt", c.Digest, source)
		}
	}
	return nil
}

func (e *Engine) get(ctx context.Context, url string) ([]byte, error) {
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

// Token returns the token that an engine with the given set gives at a position of its answer to a prompt.
func Token(set ident.WeightSet, prompt string, position int) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s\x00%s\x00%d", set, prompt, position))
	return hex.EncodeToString(sum[:3]) + " "
}

// Text returns the whole answer of an engine with the given set.
func Text(set ident.WeightSet, prompt string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(Token(set, prompt, i))
	}
	return b.String()
}

// Prompt returns the text that the answer to a request depends on.
func Prompt(q engineapi.Request) string {
	if len(q.Messages) == 0 {
		return q.Prompt
	}
	var b strings.Builder
	for _, m := range q.Messages {
		b.WriteString(m.Role + ": " + m.Content + "\n")
	}
	return b.String()
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var q engineapi.Request
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if q.MaxTokens <= 0 {
		q.MaxTokens = defaultTokens
	}
	prompt := Prompt(q)
	if e.Poison != "" && strings.Contains(prompt, e.Poison) {
		e.die()
		panic(http.ErrAbortHandler)
	}
	select {
	case e.slots <- struct{}{}:
		defer func() { <-e.slots }()
	case <-r.Context().Done():
		return
	}
	set, crash := e.begin()
	defer e.end()
	if set == "" {
		http.Error(w, "no weight set is loaded", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set(headers.WeightSet, string(set))
	w.Header().Set(headers.RequestID, r.Header.Get(headers.RequestID))
	run := &run{engine: e, crash: crash, chat: r.URL.Path == engineapi.ChatPath, prompt: prompt, q: q, id: r.Header.Get(headers.RequestID)}
	if q.Stream {
		run.stream(w, r)
		return
	}
	run.whole(w, r)
}

func (e *Engine) begin() (ident.WeightSet, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running++
	return e.set, e.crash
}

// current returns the set that makes the next token. It changes when the engine is ordered while it answers.
func (e *Engine) current() ident.WeightSet {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.set
}

func (e *Engine) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

func (e *Engine) die() {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.crash)
	e.crash = make(chan struct{})
	e.set = ""
	e.loaded = nil
	e.loads = 0
	e.downTo = time.Now().Add(e.Restart)
	e.startTime = time.Now().UnixNano()
}

type run struct {
	engine *Engine
	crash  <-chan struct{}
	chat   bool
	prompt string
	id     string
	q      engineapi.Request
}

func (u *run) wait(ctx context.Context) {
	select {
	case <-u.crash:
		panic(http.ErrAbortHandler)
	case <-ctx.Done():
		panic(http.ErrAbortHandler)
	case <-time.After(u.engine.TokenTime):
	}
}

func (u *run) stream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	for i := u.q.ReceivedTokens; i < u.q.MaxTokens; i++ {
		u.wait(r.Context())
		u.event(w, u.answer(Token(u.engine.current(), u.prompt, i), true, nil))
		_ = rc.Flush()
	}
	stop := "stop"
	u.event(w, u.answer("", true, &stop))
	_, _ = fmt.Fprintf(w, "data: %s\n\n", engineapi.DoneData)
}

func (u *run) event(w io.Writer, a engineapi.Completion) {
	data, err := json.Marshal(a)
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
}

func (u *run) whole(w http.ResponseWriter, r *http.Request) {
	var text strings.Builder
	for i := range u.q.MaxTokens {
		u.wait(r.Context())
		text.WriteString(Token(u.engine.current(), u.prompt, i))
	}
	stop := "stop"
	reply(w, u.answer(text.String(), false, &stop))
}

func (u *run) answer(text string, chunk bool, finish *string) engineapi.Completion {
	a := engineapi.Completion{ID: u.id, Object: "text_completion", Created: time.Now().Unix(), Model: u.q.Model}
	c := engineapi.Choice{Text: text, FinishReason: finish}
	if u.chat {
		m := &engineapi.Message{Role: "assistant", Content: text}
		c.Text = ""
		a.Object = "chat.completion"
		if chunk {
			a.Object = "chat.completion.chunk"
			c.Delta = m
		} else {
			c.Message = m
		}
	}
	a.Choices = []engineapi.Choice{c}
	return a
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
