// Package dialer makes TCP connections that notice a peer that fell silent.
package dialer

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// DefaultTimeout bounds the making of a connection: several round trips between the farthest regions.
	DefaultTimeout = time.Second
	// DefaultSilence is how long a peer may leave sent bytes or a probe unanswered: four lost packets in a row.
	DefaultSilence = 2 * time.Second
	probes         = 3
	maxIdle        = 4
)

// Dialer dials. Set its fields before use.
type Dialer struct {
	// Timeout bounds the making of a connection; zero means the default.
	Timeout time.Duration
	// Silence is how long a peer may stay silent at the level of TCP; zero means the default.
	Silence time.Duration
}

// DialContext connects to an address by IP number.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	timeout, silence := d.Timeout, d.Silence
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	if silence == 0 {
		silence = DefaultSilence
	}
	dialer := net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: time.Second, Interval: max(time.Second, silence/probes), Count: probes,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failed
		},
	}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", address, err)
	}
	return conn, nil
}

// FreshClient returns an HTTP client that keeps no idle connections, for a peer that takes few of them.
func (d *Dialer) FreshClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: d.DialContext, DisableKeepAlives: true, DisableCompression: true}}
}

// Client returns an HTTP client for calls that may be repeated. It keeps few idle connections.
func (d *Dialer) Client() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: d.DialContext, MaxIdleConnsPerHost: maxIdle, IdleConnTimeout: 10 * time.Second, DisableCompression: true,
	}}
}
