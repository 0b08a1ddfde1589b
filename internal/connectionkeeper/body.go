package connectionkeeper

import (
	"errors"
	"io"
	"net/http"

	"github.com/nutmegdock/nutmegdock/internal/core/progressmeter"
)

// body is the body of a request.
type body struct {
	io.ReadCloser
	conn     *conn
	progress progressmeter.Meter
	isRead   bool
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
	hasProgress := b.progress.Add(n)
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
