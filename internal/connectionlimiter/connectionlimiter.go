// Package connectionlimiter bounds the connections that other hosts may open, so that they leave descriptors for callers.
package connectionlimiter

import (
	"net"
	"sync"
	"sync/atomic"
)

// Limiter bounds the open connections of several listeners together. Set Max before use.
type Limiter struct {
	// Max is the number of connections that may be open. Zero sets no limit.
	Max int

	open atomic.Int64
}

// Listen returns a listener that closes each connection beyond the limit at once. The other host connects again.
func (l *Limiter) Listen(ln net.Listener) net.Listener {
	if l.Max <= 0 {
		return ln
	}
	return &listener{Listener: ln, limiter: l}
}

type listener struct {
	net.Listener
	limiter *Limiter
}

// Accept waits for a connection for which there is room.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.limiter.open.Add(1) <= int64(l.limiter.Max) {
			return &conn{Conn: c, release: sync.OnceFunc(func() { l.limiter.open.Add(-1) })}, nil
		}
		l.limiter.open.Add(-1)
		_ = c.Close() // nothing was read or sent
	}
}

type conn struct {
	net.Conn
	release func()
}

// Close closes the connection and makes room for another one.
func (c *conn) Close() error {
	defer c.release()
	return c.Conn.Close()
}
