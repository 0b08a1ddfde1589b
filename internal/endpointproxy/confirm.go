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

// ConfirmWeights checks that the engine's weights are unchanged since a request was admitted. It returns an error if
// they changed or cannot be confirmed.
type ConfirmWeights func(ctx context.Context) error

// checkWeightSet compares the weight set that a response names with the one that the request is pinned to. It detects
// an engine that loaded other weights after the request passed the gate and before the engine received it.
func (p *Proxy) checkWeightSet(r *http.Request, resp *http.Response) error {
	if p.WatchWeights == nil {
		return nil
	}
	want, got := r.Header.Get(headers.WeightSet), resp.Header.Get(headers.WeightSet)
	clientError := resp.StatusCode >= http.StatusBadRequest && resp.StatusCode < http.StatusInternalServerError
	if got == want || (got == "" && clientError) {
		return nil
	}
	return &outcome.Error{
		Kind: outcome.Unknown, Reason: outcome.Mismatch,
		Message: fmt.Sprintf("answer was made by weight set %.12q, the request is pinned to %.12q", got, want),
	}
}

// newConfirm returns the check of the weights for one request, or nil if the back end has no weights.
func (p *Proxy) newConfirm(r *http.Request) ConfirmWeights {
	if p.WatchWeights == nil {
		return nil
	}
	return p.WatchWeights(ident.WeightSet(r.Header.Get(headers.WeightSet)))
}

// doneMark ends every complete streamed response.
var doneMark = []byte(engineapi.DoneData)

// confirmedBody is a response body whose end is withheld until the engine's weights are confirmed. The end is the
// "[DONE]" mark of a stream, and the last byte of any other response. Without it, the caller sees an incomplete
// response.
type confirmedBody struct {
	io.ReadCloser
	ctx     context.Context
	confirm ConfirmWeights
	stream  bool

	buffered []byte
	err      error
	// weightsChanged says that the weights were not confirmed.
	weightsChanged bool
}

// Read reads the bytes that may be passed on.
func (b *confirmedBody) Read(p []byte) (int, error) {
	for {
		if n := copy(p, b.releasable()); n > 0 {
			b.buffered = b.buffered[n:]
			return n, nil
		}
		if b.err != nil {
			return b.readEnd(p)
		}
		buf := make([]byte, len(p))
		n, err := b.ReadCloser.Read(buf)
		b.buffered = append(b.buffered, buf[:n]...)
		b.err = err
	}
}

// releasable returns the buffered bytes before the end of the response.
func (b *confirmedBody) releasable() []byte {
	if b.confirm == nil {
		return b.buffered
	}
	if !b.stream {
		return b.buffered[:max(0, len(b.buffered)-1)]
	}
	if i := bytes.Index(b.buffered, doneMark); i >= 0 {
		return b.buffered[:i]
	}
	for n := min(len(doneMark)-1, len(b.buffered)); n > 0; n-- {
		if bytes.HasSuffix(b.buffered, doneMark[:n]) {
			return b.buffered[:len(b.buffered)-n]
		}
	}
	return b.buffered
}

// readEnd confirms the weights and returns the end of the response, or the error if the weights are not confirmed.
func (b *confirmedBody) readEnd(p []byte) (int, error) {
	if b.confirm != nil && errors.Is(b.err, io.EOF) {
		if err := b.confirm(b.ctx); err != nil {
			b.weightsChanged = true
			b.err = err
			b.buffered = nil
		}
	}
	b.confirm = nil
	if len(b.buffered) == 0 {
		return 0, b.err
	}
	n := copy(p, b.buffered)
	b.buffered = b.buffered[n:]
	return n, nil
}
