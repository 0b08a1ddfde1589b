// Package closewatcher lets an HTTP server notice that a caller has closed its connection, also after the caller has sent bytes
// beyond its request. The server of net/http stops looking once it has read one such byte.
package closewatcher

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// maxAhead limits the bytes that are read ahead of the server on one connection. A close behind more bytes is noticed once the
// server reads them.
const maxAhead = 4 << 10

// Listener accepts connections that are watched. The server must use its ConnContext.
type Listener struct {
	net.Listener
}

// Accept waits for a connection.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, cancel: func() {}}, nil
}

// ConnContext returns the context of a connection, which ends when the caller closes it.
func (l *Listener) ConnContext(ctx context.Context, c net.Conn) context.Context {
	watched, ok := c.(*conn)
	if !ok {
		return ctx
	}
	ctx, watched.cancel = context.WithCancel(ctx)
	return ctx
}

// conn is a connection whose bytes are read ahead while the server is not interested in them.
type conn struct {
	net.Conn
	cancel context.CancelFunc

	mu sync.Mutex
	// ahead holds the bytes that were read ahead, and err is the error behind them.
	ahead []byte
	err   error
	// watched is closed when the goroutine that reads ahead has ended; nil if there is none. isStopping makes it end.
	watched      chan struct{}
	isStopping   bool
	readDeadline time.Time
}

// Read returns the bytes that were read ahead, and then those of the connection. While it handles a request, the server reads a
// single byte: the caller is watched from then on until the next call.
func (c *conn) Read(p []byte) (int, error) {
	c.stopWatching()
	n, err := c.readAhead(p)
	if n == 0 && err == nil {
		n, err = c.Conn.Read(p)
	}
	if len(p) == 1 && n == 1 && err == nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.watched = make(chan struct{})
		go c.watch(c.watched)
	}
	return n, err
}

func (c *conn) readAhead(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.ahead) == 0 {
		return 0, c.err
	}
	n := copy(p, c.ahead)
	c.ahead = c.ahead[n:]
	return n, nil
}

func (c *conn) watch(done chan struct{}) {
	defer close(done)
	buf := make([]byte, maxAhead)
	for {
		c.mu.Lock()
		room := maxAhead - len(c.ahead)
		isOver := c.isStopping || room <= 0 || c.err != nil
		c.mu.Unlock()
		if isOver {
			return
		}
		n, err := c.Conn.Read(buf[:room])
		c.mu.Lock()
		c.ahead = append(c.ahead, buf[:n]...)
		isTimeout := errors.Is(err, os.ErrDeadlineExceeded)
		if err != nil && !isTimeout {
			c.err = err
		}
		c.mu.Unlock()
		if err != nil {
			if !isTimeout {
				c.cancel()
			}
			return
		}
	}
}

// stopWatching ends the goroutine that reads ahead.
func (c *conn) stopWatching() {
	c.mu.Lock()
	defer c.mu.Unlock()
	done := c.watched
	if done == nil {
		return
	}
	c.isStopping = true
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // fails only if the connection is closed, which ends the read as well
	c.mu.Unlock()
	<-done
	c.mu.Lock()
	c.watched, c.isStopping = nil, false
	_ = c.Conn.SetReadDeadline(c.readDeadline) // the next read reports a connection that is closed
}

// SetReadDeadline sets the deadline of reads.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline sets the deadlines of reads and writes.
func (c *conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// NetConn returns the connection that is watched.
func (c *conn) NetConn() net.Conn {
	return c.Conn
}

// Close closes the connection and ends its context.
func (c *conn) Close() error {
	defer c.cancel()
	return c.Conn.Close()
}
