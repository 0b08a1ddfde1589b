// Package dialer makes TCP connections that fail when the peer stops responding.
package dialer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/nutmegdock/nutmegdock/internal/headreader"
	"github.com/nutmegdock/nutmegdock/internal/roundtripper"
)

const (
	// DefaultConnectTimeout bounds connecting: several round trips between the farthest regions.
	DefaultConnectTimeout = time.Second
	// DefaultUserTimeout is how long a peer may leave sent bytes or a keep-alive probe unacknowledged: four lost packets
	// in a row.
	DefaultUserTimeout = 2 * time.Second
	// MaxResponseHeaderBytes limits the response headers that HTTP clients read.
	MaxResponseHeaderBytes = headreader.MaxHeadBytes
	keepAliveProbes        = 3
	maxIdleConnsPerHost    = 4
)

// Dialer connects over TCP with keep-alive and a TCP user timeout. Set its fields before use.
type Dialer struct {
	// ConnectTimeout bounds connecting; zero means the default.
	ConnectTimeout time.Duration
	// UserTimeout is how long a peer may leave data unacknowledged at the level of TCP; zero means the default.
	UserTimeout time.Duration
	// Buffer is the size of the receive buffer and of the send buffer in bytes, which the kernel doubles; zero lets them grow
	// as needed.
	Buffer int
}

// SetBuffers sets the size in bytes of the receive buffer and of the send buffer of a socket, which the kernel doubles.
func SetBuffers(fd uintptr, n int) error {
	return errors.Join(
		unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, n),
		unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, n),
	)
}

// DialContext connects to an IP address and port.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	timeout, userTimeout := d.ConnectTimeout, d.UserTimeout
	if timeout == 0 {
		timeout = DefaultConnectTimeout
	}
	if userTimeout == 0 {
		userTimeout = DefaultUserTimeout
	}
	dialer := net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: time.Second, Interval: max(time.Second, userTimeout/keepAliveProbes), Count: keepAliveProbes,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var optErr error
			err := raw.Control(func(fd uintptr) {
				optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
				if d.Buffer > 0 && optErr == nil {
					optErr = SetBuffers(fd, d.Buffer)
				}
			})
			if err != nil {
				return err
			}
			return optErr
		},
	}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", address, err)
	}
	return conn, nil
}

// NoKeepAliveClient returns an HTTP client that keeps no idle connections, for a peer that accepts few connections.
func (d *Dialer) NoKeepAliveClient() *http.Client {
	return &http.Client{Transport: roundtripper.New(&http.Transport{
		DialContext: d.DialContext, DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: MaxResponseHeaderBytes,
	})}
}

// Client returns an HTTP client for calls that may be retried. It keeps few idle connections.
func (d *Dialer) Client() *http.Client {
	return &http.Client{Transport: roundtripper.New(&http.Transport{
		DialContext: d.DialContext, MaxIdleConnsPerHost: maxIdleConnsPerHost, IdleConnTimeout: 10 * time.Second, DisableCompression: true,
		MaxResponseHeaderBytes: MaxResponseHeaderBytes,
	})}
}
