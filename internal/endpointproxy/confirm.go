package endpointproxy

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/outcome"
	"github.com/nutmegdock/nutmegdock/internal/engineapi"
	"github.com/nutmegdock/nutmegdock/internal/headers"
)

// Confirm tells by its error that the engine has changed its weights since a request was let in.
type Confirm func(ctx context.Context) error

// check compares the weight set that an answer names with the one that the request is pinned to. An engine that
// was given other weights between the check at the gate and the hand-over is found out here.
func (p *Proxy) check(r *http.Request, resp *http.Response) error {
	if p.Watch == nil {
		return nil
	}
	want, got := r.Header.Get(headers.Set), resp.Header.Get(headers.Set)
	refused := resp.StatusCode >= http.StatusBadRequest && resp.StatusCode < http.StatusInternalServerError
	if got == want || (got == "" && refused) {
		return nil
	}
	return &outcome.Error{
		Kind: outcome.Unknown, Reason: outcome.Mismatch,
		Text: fmt.Sprintf("answer was made by weight set %.12q, the request is pinned to %.12q", got, want),
	}
}

// watch returns the confirmation for one request, or nil where the back end has no weights.
func (p *Proxy) watch(r *http.Request) Confirm {
	if p.Watch == nil {
		return nil
	}
	return p.Watch(ident.WeightSet(r.Header.Get(headers.Set)))
}

// endMark is what makes a streamed answer whole.
var endMark = []byte(engineapi.DoneMark)

// sealed passes a body on, but holds back its end until the engine's weights are confirmed. The end is the end mark of
// a stream, and the last byte of any other answer.
type sealed struct {
	io.ReadCloser
	ctx     context.Context
	confirm Confirm
	stream  bool

	held []byte
	err  error
	// mixed tells that the weights were not confirmed.
	mixed bool
}

// Read returns the next bytes that may be passed on.
func (s *sealed) Read(p []byte) (int, error) {
	for {
		if n := copy(p, s.passable()); n > 0 {
			s.held = s.held[n:]
			return n, nil
		}
		if s.err != nil {
			return s.finish(p)
		}
		buf := make([]byte, len(p))
		n, err := s.ReadCloser.Read(buf)
		s.held = append(s.held, buf[:n]...)
		s.err = err
	}
}

// passable returns the held bytes that lie before the end.
func (s *sealed) passable() []byte {
	if s.confirm == nil {
		return s.held
	}
	if !s.stream {
		return s.held[:max(0, len(s.held)-1)]
	}
	if i := bytes.Index(s.held, endMark); i >= 0 {
		return s.held[:i]
	}
	for n := min(len(endMark)-1, len(s.held)); n > 0; n-- {
		if bytes.HasSuffix(s.held, endMark[:n]) {
			return s.held[:len(s.held)-n]
		}
	}
	return s.held
}

func (s *sealed) finish(p []byte) (int, error) {
	if s.confirm != nil && errors.Is(s.err, io.EOF) {
		if err := s.confirm(s.ctx); err != nil {
			s.mixed = true
			s.err = err
			s.held = nil
		}
	}
	s.confirm = nil
	if len(s.held) == 0 {
		return 0, s.err
	}
	n := copy(p, s.held)
	s.held = s.held[n:]
	return n, nil
}
