// Package endtest has a server that responds before it has read a long request, with a body that ends with its connection, for the
// tests of all that reads such bodies.
package endtest

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// UploadBytes is the length of a request body that does not fit into the buffers of a connection.
const UploadBytes = 4 << 20

const (
	// readOnBytes is how much of the request some servers read after their response.
	readOnBytes = 64 << 10
	endDelay    = 2 * time.Millisecond
)

// Form is a way in which the server responds.
type Form struct {
	Name string
	// IsWhole is set if the response is complete. HasReset is set if the connection is reset after that.
	IsWhole, HasReset bool
	// version is the one in the status line, if it is not HTTP/1.1.
	version string
	// isEmpty is set if nothing of the body is sent.
	isEmpty bool
	// end ends the response, and the connection unless it is closed afterwards.
	end func(c *net.TCPConn)
}

// Forms are the ways in which the server responds.
var Forms = []Form{
	{Name: "part, reset", end: reset},
	{Name: "part, reset in HTTP/1.0", version: "HTTP/1.0", end: reset},
	{Name: "part, reset a little later", end: func(c *net.TCPConn) { time.Sleep(endDelay); reset(c) }},
	{Name: "part, reset after reading some more", end: func(c *net.TCPConn) { _, _ = io.CopyN(io.Discard, c, readOnBytes); reset(c) }},
	{Name: "part, closed with unread bytes", end: func(c *net.TCPConn) { _, _ = io.CopyN(io.Discard, c, 1); _ = c.Close() }},
	{Name: "nothing of the body, reset", isEmpty: true, end: reset},
	{Name: "whole, half-closed, reads on", IsWhole: true, end: func(c *net.TCPConn) { _ = c.CloseWrite(); _, _ = io.Copy(io.Discard, c) }},
	{Name: "whole, half-closed a little later, reads on", IsWhole: true, end: func(c *net.TCPConn) {
		time.Sleep(endDelay)
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, c)
	}},
	{Name: "whole, half-closed, closed with unread bytes", IsWhole: true, HasReset: true, end: func(c *net.TCPConn) {
		_ = c.CloseWrite()
		time.Sleep(endDelay)
		_ = c.Close()
	}},
	{Name: "whole, half-closed, reset", IsWhole: true, HasReset: true, end: func(c *net.TCPConn) { _ = c.CloseWrite(); time.Sleep(endDelay); reset(c) }},
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// Respond responds with the given fields, each of which ends with CRLF, and the body.
func (f Form) Respond(c *net.TCPConn, fields, body string) {
	if f.isEmpty {
		body = ""
	}
	_, _ = fmt.Fprintf(c, "%s 200 OK\r\n%s\r\n%s", cmp.Or(f.version, "HTTP/1.1"), fields, body)
	f.end(c)
}

// Start starts a server that responds to the head of one request on each connection, until stop is called.
func (f Form) Start(fields, body string) (address string, stop func(), err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, fmt.Errorf("start server: %w", err)
	}
	go f.serve(ln, fields, body)
	return ln.Addr().String(), func() { _ = ln.Close() }, nil
}

func (f Form) serve(ln net.Listener, fields, body string) {
	for {
		netConn, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer netConn.Close()
			if _, err := http.ReadRequest(bufio.NewReader(netConn)); err == nil {
				f.Respond(netConn.(*net.TCPConn), fields, body)
			}
		}()
	}
}
