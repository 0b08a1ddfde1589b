// Package bytecounter counts the bytes of a process's control connections: JSON-RPC, the log service and membership.
package bytecounter

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

const dialTimeout = time.Second

// Counter counts bytes in both directions, headers of HTTP included. The zero value is ready for use.
type Counter struct {
	in  atomic.Int64
	out atomic.Int64
}

// Register exports the counts as nutmegdock_control_bytes_total.
func (c *Counter) Register(r prometheus.Registerer) error {
	for direction, n := range map[string]*atomic.Int64{"in": &c.in, "out": &c.out} {
		err := r.Register(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name:        "nutmegdock_control_bytes_total",
			Help:        "Bytes of control connections.",
			ConstLabels: prometheus.Labels{"direction": direction},
		}, func() float64 { return float64(n.Load()) }))
		if err != nil {
			return err
		}
	}
	return nil
}

// Listener returns a listener whose connections are counted.
func (c *Counter) Listener(ln net.Listener) net.Listener {
	return &listener{Listener: ln, counter: c}
}

// Dial connects and counts the connection.
func (c *Counter) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	nc, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: nc, counter: c}, nil
}

// Client returns an HTTP client whose connections are counted.
func (c *Counter) Client() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: c.Dial, IdleConnTimeout: time.Minute}}
}

type listener struct {
	net.Listener
	counter *Counter
}

// Accept waits for a connection.
func (l *listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: nc, counter: l.counter}, nil
}

type conn struct {
	net.Conn
	counter *Counter
}

// Read reads and counts.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.in.Add(int64(n))
	return n, err
}

// Write writes and counts.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.out.Add(int64(n))
	return n, err
}
