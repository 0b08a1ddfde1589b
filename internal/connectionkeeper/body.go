package connectionkeeper

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/progressmeter"
	"github.com/nutmegdock/nutmegdock/internal/core/workpacer"
)

// body is the body of a request. It is read at the pace of the keeper if its framing costs much work.
type body struct {
	io.ReadCloser
	ctx   context.Context
	conn  *conn
	meter workpacer.Meter
	// received is the number of bytes that had arrived on the connection when the body was last read.
	received int
	progress progressmeter.Meter
	isRead   bool
	// isCostly is set once the body was held up for its framing. It makes no progress from then on.
	isCostly bool
}

// IsCostly reports whether the framing of the body costs so much work that it is read at a pace.
func (b *body) IsCostly() bool {
	return b.isCostly
}

// begin records that the body is not complete.
func (b *body) begin() {
	b.conn.setInBody(true)
	k := b.conn.keeper
	k.mu.Lock()
	defer k.mu.Unlock()
	k.budget.BeginBody(b.conn)
}

// recordProgress records that n bytes have arrived, and whether the body is complete.
func (b *body) recordProgress(n int) {
	if b.isRead {
		b.conn.setInBody(false)
	}
	hasProgress := b.progress.Add(n) && !b.isCostly
	if !hasProgress && !b.isRead {
		return
	}
	k := b.conn.keeper
	k.mu.Lock()
	defer k.mu.Unlock()
	if b.isRead {
		k.budget.EndBody(b.conn)
		return
	}
	k.budget.Progress(b.conn)
}

// Read reads a part of the body.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !b.isRead {
		b.isRead = errors.Is(err, io.EOF)
		b.recordProgress(n)
	}
	received := b.conn.receivedBytes()
	framing := b.meter.Add(n, received-b.received)
	b.received = received
	if framing > 0 && err == nil && b.conn.keeper.Pacer != nil {
		b.isCostly = true
		select {
		case <-b.ctx.Done():
		case <-time.After(b.conn.keeper.Pacer.Take(time.Now(), framing)):
		}
	}
	return n, err
}

// end ends the connection after the response if the body was not read to its end.
func (b *body) end() {
	if !b.isRead {
		b.conn.endUnread()
	}
}

// responseWriter closes the connection after a response that is sent before the body was read to its end, so that the server does
// not wait for the rest of the body before it sends the response.
type responseWriter struct {
	http.ResponseWriter
	body *body
}

// WriteHeader sends the header of the response.
func (w *responseWriter) WriteHeader(status int) {
	if !w.body.isRead && status >= http.StatusOK {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the writer of the server. See http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}
