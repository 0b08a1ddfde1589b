// Package bytecounter counts the bytes on a process's control connections: JSON-RPC, log service and membership.
package bytecounter

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/nutmegdock/nutmegdock/internal/dialer"
	"github.com/nutmegdock/nutmegdock/internal/roundtripper"
)

const dialTimeout = time.Second

// Counter counts bytes in both directions, including HTTP headers. The zero value is ready for use.
type Counter struct {
	in  atomic.Int64
	out atomic.Int64
}

// RegisterMetrics exports the counts as the metric nutmegdock_control_bytes_total.
func (c *Counter) RegisterMetrics(registry prometheus.Registerer) error {
	for direction, count := range map[string]*atomic.Int64{"in": &c.in, "out": &c.out} {
		err := registry.Register(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name:        "nutmegdock_control_bytes_total",
			Help:        "Bytes of control connections.",
			ConstLabels: prometheus.Labels{"direction": direction},
		}, func() float64 { return float64(count.Load()) }))
		if err != nil {
			return err
		}
	}
	return nil
}

// Listener wraps a listener so that the bytes of its connections are counted.
func (c *Counter) Listener(inner net.Listener) net.Listener {
	return &listener{Listener: inner, counter: c}
}

// Dial connects to an address. The bytes of the connection are counted.
func (c *Counter) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	netConn, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: netConn, counter: c}, nil
}

// Client returns an HTTP client that counts the bytes of its connections.
func (c *Counter) Client() *http.Client {
	return &http.Client{Transport: roundtripper.New(&http.Transport{DialContext: c.Dial, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: dialer.MaxResponseHeaderBytes})}
}

type listener struct {
	net.Listener
	counter *Counter
}

// Accept waits for a connection and wraps it to count its bytes.
func (l *listener) Accept() (net.Conn, error) {
	netConn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: netConn, counter: l.counter}, nil
}

type conn struct {
	net.Conn
	counter *Counter
}

// NetConn returns the connection below.
func (c *conn) NetConn() net.Conn {
	return c.Conn
}

// Read counts the bytes received.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.in.Add(int64(n))
	return n, err
}

// Write counts the bytes sent.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.out.Add(int64(n))
	return n, err
}
