// Package endverifier tells a stream that the peer has ended from a connection that was reset.
//
// The kernel reports a reset to one call only. If that is a write that is under way, a read returns the end of the stream as if the
// peer had ended it. A body without a length would then count as whole wherever it was cut.
package endverifier

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"syscall"
)

// ResetError reports a connection that ended and whose peer has not ended its stream.
type ResetError struct {
	// Received is the number of bytes that had been received.
	Received int64
}

// Error names the number of bytes.
func (e *ResetError) Error() string {
	return fmt.Sprintf("connection was reset after %d bytes were received", e.Received)
}

// Unwrap returns the error of a read that is told of the reset.
func (e *ResetError) Unwrap() error {
	return syscall.ECONNRESET
}

// Conn is a connection that ends with io.EOF only if its peer has ended the stream, and else with a ResetError. All reads and writes must
// go through it. Use New.
type Conn struct {
	net.Conn

	received atomic.Int64
	// writing is the number of writes under way, and hasFailed is set before the end of one that failed.
	writing   atomic.Int64
	hasFailed atomic.Bool
}

// New returns a connection that verifies the end of another one, which nothing has been read from.
func New(conn net.Conn) *Conn {
	return &Conn{Conn: conn}
}

// Read reads the next bytes.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	received := c.received.Add(int64(n))
	if errors.Is(err, io.EOF) && !c.isEnded(received) {
		err = &ResetError{Received: received}
	}
	return n, err
}

// Write writes bytes.
func (c *Conn) Write(p []byte) (int, error) {
	defer c.writing.Add(-1)
	c.writing.Add(1)
	n, err := c.Conn.Write(p)
	if err != nil {
		c.hasFailed.Store(true)
	}
	return n, err
}

// WriteBuffers writes several parts with one call of the system if the connection allows it.
func (c *Conn) WriteBuffers(parts net.Buffers) (int64, error) {
	defer c.writing.Add(-1)
	c.writing.Add(1)
	n, err := parts.WriteTo(c.Conn)
	if err != nil {
		c.hasFailed.Store(true)
	}
	return n, err
}

// NetConn returns the connection below.
func (c *Conn) NetConn() net.Conn {
	return c.Conn
}

// isEnded reports whether the peer has ended its stream after a number of bytes. Where the system does not tell, an end amid a write, or
// after one that failed, counts as a reset.
func (c *Conn) isEnded(received int64) bool {
	if raw := systemConn(c.Conn); raw != nil {
		if isEnded, ok := hasReceivedEnd(raw, received); ok {
			return isEnded
		}
	}
	return c.writing.Load() == 0 && !c.hasFailed.Load()
}

// systemConn returns the connection of the system below all wrappers that give access to theirs, or nil.
func systemConn(conn net.Conn) syscall.RawConn {
	for conn != nil {
		switch c := conn.(type) {
		case syscall.Conn:
			raw, err := c.SyscallConn()
			if err != nil {
				return nil
			}
			return raw
		case interface{ NetConn() net.Conn }:
			conn = c.NetConn()
		default:
			return nil
		}
	}
	return nil
}
