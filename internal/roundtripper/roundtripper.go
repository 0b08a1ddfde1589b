// Package roundtripper sends HTTP requests over connections whose responses are checked before net/http reads them, and whose end is
// verified.
package roundtripper

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/nutmegdock/nutmegdock/internal/endverifier"
	"github.com/nutmegdock/nutmegdock/internal/headchecker"
	"github.com/nutmegdock/nutmegdock/internal/headreader"
)

// RoundTripper is the transport of an HTTP client. A response whose head or trailer is not valid is an error, a
// *headchecker.Error, and its connection is closed. Use New.
type RoundTripper struct {
	// OnRefusal is told of these responses.
	OnRefusal headchecker.RefusalFunc

	transport *http.Transport
}

// New returns a round tripper that uses t, and changes how t connects. The DialContext of t must be set.
func New(t *http.Transport) *RoundTripper {
	dial := t.DialContext
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		netConn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newConn(netConn), nil
	}
	return &RoundTripper{transport: t}
}

// Default returns a round tripper with the settings of http.DefaultTransport. It checks no responses over TLS.
func Default() *RoundTripper {
	return New(http.DefaultTransport.(*http.Transport).Clone())
}

// RoundTrip sends one request.
func (rt *RoundTripper) RoundTrip(req *http.Request) (*http.Response, error) {
	var used use
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*conn); ok {
			used = c.begin()
		}
	}}
	resp, err := rt.transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		if refusal := used.refusal(); refusal != nil {
			err = rt.OnRefusal.Report(req.URL.Host, refusal)
		}
		return nil, err
	}
	if !used.isChecked() {
		used.close()
		_ = resp.Body.Close() // the response is refused
		return nil, rt.OnRefusal.Report(req.URL.Host, &headchecker.Error{Part: headchecker.Order, Text: resp.Status})
	}
	if len(resp.TransferEncoding) > 0 {
		resp.Body = &trailerChecker{ReadCloser: resp.Body, check: func(end error) error {
			err := headchecker.CheckEnd(resp.Trailer, end)
			var headErr *headchecker.Error
			if errors.As(err, &headErr) {
				used.close()
			}
			return rt.OnRefusal.Report(req.URL.Host, err)
		}}
	}
	return resp, nil
}

// CloseIdleConnections closes the connections that are not in use.
func (rt *RoundTripper) CloseIdleConnections() {
	rt.transport.CloseIdleConnections()
}

// conn is a connection for one request after the other.
type conn struct {
	net.Conn
	head headreader.Reader
	// uses is the number of requests.
	uses atomic.Int64
}

func newConn(netConn net.Conn) *conn {
	verified := endverifier.New(netConn)
	c := &conn{Conn: verified}
	c.head.Source = verified
	return c
}

// Read reads the next bytes. Those of a head are withheld until it is complete and valid.
func (c *conn) Read(p []byte) (int, error) {
	return c.head.Read(p)
}

// begin is called before each request is written.
func (c *conn) begin() use {
	c.head.Expect()
	return use{conn: c, number: c.uses.Add(1)}
}

// use is the use of a connection for one request. The zero value has none.
type use struct {
	conn   *conn
	number int64
}

func (u use) refusal() error {
	if u.conn == nil {
		return nil
	}
	return u.conn.head.Refusal()
}

// isChecked reports whether the head of the response has been checked. That of a response that was sent before its request may
// have been read before it was expected.
func (u use) isChecked() bool {
	return u.conn == nil || u.conn.head.FinalHeads() >= u.number
}

// close closes the connection, unless another request uses it.
func (u use) close() {
	if u.conn != nil && u.conn.uses.Load() == u.number {
		_ = u.conn.Close() // the response is an error already
	}
}

// trailerChecker is the body of a response in chunks.
type trailerChecker struct {
	io.ReadCloser
	// check is called with the error that ends the body, and returns the one that takes its place.
	check func(end error) error
}

// Read reads the body.
func (b *trailerChecker) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		err = b.check(err)
	}
	return n, err
}
