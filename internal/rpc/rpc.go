// Package rpc exchanges typed JSON-RPC 2.0 messages between the system's processes over long-lived TCP connections.
package rpc

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"maps"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/nutmegdock/nutmegdock/internal/dialer"
	"github.com/nutmegdock/nutmegdock/internal/idletimer"
)

const dialTimeout = time.Second

// minAcceptDelay and maxAcceptDelay bound the time until the next try after a connection could not be accepted. It doubles with
// each try.
const minAcceptDelay, maxAcceptDelay = 5 * time.Millisecond, 500 * time.Millisecond

// Handler handles the calls of one method.
type Handler func(ctx context.Context, params json.RawMessage) (any, error)

// TypedHandler makes a handler from a typed function.
func TypedHandler[Req, Res any](fn func(ctx context.Context, req Req) (Res, error)) Handler {
	return func(ctx context.Context, params json.RawMessage) (any, error) {
		var req Req
		if err := json.Unmarshal(params, &req); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		return fn(ctx, req)
	}
}

// Server serves calls. Set its fields before Serve.
type Server struct {
	// Handlers maps a method's name to its handler.
	Handlers map[string]Handler

	mu    sync.Mutex
	conns map[*jsonrpc2.Conn]bool
}

// Serve accepts connections until ctx ends, then closes them all. An error that may pass, such as a lack of descriptors, is
// followed by another try.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	stop := context.AfterFunc(ctx, func() {
		_ = ln.Close()
		s.closeConnections()
	})
	defer stop()
	delay := minAcceptDelay
	for {
		c, err := ln.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err == nil {
			delay = minAcceptDelay
			s.addConnection(ctx, c)
			continue
		}
		if !isTemporary(err) {
			return fmt.Errorf("accept control connection: %w", err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(delay):
		}
		delay = min(2*delay, maxAcceptDelay)
	}
}

// isTemporary reports whether accepting a connection failed for a reason that may pass.
func isTemporary(err error) bool {
	return dialer.IsLocal(err) || errors.Is(err, syscall.ECONNABORTED)
}

func (s *Server) addConnection(ctx context.Context, c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		s.conns = make(map[*jsonrpc2.Conn]bool)
	}
	stream := jsonrpc2.NewBufferedStream(c, limitedCodec{})
	conn := jsonrpc2.NewConn(ctx, stream, jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(s.handle)), discardLog())
	s.conns[conn] = true
	go func() {
		<-conn.DisconnectNotify()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, conn)
	}()
}

func (s *Server) closeConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

func (s *Server) handle(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	h, ok := s.Handlers[req.Method]
	if !ok {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no method " + req.Method}
	}
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	return h(ctx, params)
}

// Client calls the server at one address over one connection, which it opens again after it was lost.
type Client struct {
	// Address is the server's TCP address: an IP address and a port.
	Address string
	// Dial opens the connection. If it is nil, a net.Dialer with dialTimeout does.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	mu   sync.Mutex
	conn *jsonrpc2.Conn
	// dialing is closed when the connection attempt under way ends; nil if there is none.
	dialing chan struct{}
	// timers are the idle timers of the calls under way.
	timers map[*idletimer.Timer]bool
}

// Call sends one typed request and returns the typed response. Bytes that arrive from the server meanwhile count as progress for the
// idle timer of ctx, if it has one.
func Call[Res, Req any](ctx context.Context, c *Client, method string, req Req) (Res, error) {
	var res Res
	conn, err := c.connect(ctx)
	if err != nil {
		return res, err
	}
	if t := idletimer.From(ctx); t != nil {
		c.addTimer(t)
		defer c.removeTimer(t)
	}
	if err := conn.Call(ctx, method, req, &res); err != nil {
		if errors.Is(err, context.DeadlineExceeded) || ctx.Err() != nil && errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
			// If the server hangs, every later call over this connection would time out too.
			c.dropConnection(conn)
		}
		return res, fmt.Errorf("call %s at %s: %w", method, c.Address, err)
	}
	return res, nil
}

func (c *Client) addTimer(t *idletimer.Timer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.timers == nil {
		c.timers = make(map[*idletimer.Timer]bool)
	}
	c.timers[t] = true
}

func (c *Client) removeTimer(t *idletimer.Timer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.timers, t)
}

// reportProgress reports progress to the calls under way.
func (c *Client) reportProgress() {
	c.mu.Lock()
	timers := slices.Collect(maps.Keys(c.timers))
	c.mu.Unlock()
	for _, t := range timers {
		t.Report()
	}
}

// progressConn reports each read as progress of the calls under way.
type progressConn struct {
	net.Conn
	client *Client
}

func (c *progressConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.client.reportProgress()
	}
	return n, err
}

// connect returns the open connection, or opens one. Only one attempt is made at a time; the other calls wait for it within their own
// timeouts.
func (c *Client) connect(ctx context.Context) (*jsonrpc2.Conn, error) {
	for {
		c.mu.Lock()
		if conn := c.openConnection(); conn != nil {
			c.mu.Unlock()
			return conn, nil
		}
		dialing := c.dialing
		if dialing == nil {
			c.dialing = make(chan struct{})
			c.mu.Unlock()
			return c.open(ctx)
		}
		c.mu.Unlock()
		select {
		case <-dialing:
		case <-ctx.Done():
			return nil, fmt.Errorf("connect to %s: %w", c.Address, context.Cause(ctx))
		}
	}
}

// openConnection returns the connection unless it is known to be lost. The caller must hold c.mu.
func (c *Client) openConnection() *jsonrpc2.Conn {
	if c.conn == nil {
		return nil
	}
	select {
	case <-c.conn.DisconnectNotify():
		return nil
	default:
		return c.conn
	}
}

// open opens a connection and ends the attempt.
func (c *Client) open(ctx context.Context) (*jsonrpc2.Conn, error) {
	dial := c.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	nc, err := dial(ctx, "tcp", c.Address)
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.dialing)
	c.dialing = nil
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", c.Address, err)
	}
	stream := jsonrpc2.NewBufferedStream(&progressConn{nc, c}, limitedCodec{})
	c.conn = jsonrpc2.NewConn(context.WithoutCancel(ctx), stream, jsonrpc2.HandlerWithError(rejectCall), discardLog())
	return c.conn, nil
}

// discardLog keeps the library from writing to the standard logger. Callers get its errors.
func discardLog() jsonrpc2.ConnOpt {
	return jsonrpc2.SetLogger(log.New(io.Discard, "", 0))
}

// rejectCall handles calls from the server, which the client does not support.
func rejectCall(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "this side answers no calls"}
}

// dropConnection closes a connection in the background, so that the next call opens a new one.
func (c *Client) dropConnection(conn *jsonrpc2.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == conn {
		c.conn = nil
	}
	go func() { _ = conn.Close() }()
}

// Close closes the connection.
func (c *Client) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == nil {
		return nil
	}
	return c.conn.Close()
}
