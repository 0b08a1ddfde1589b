// Package callerlistener opens the addresses that callers reach, with bounded buffers in the kernel: the bytes that wait in them
// count towards the memory of the process.
package callerlistener

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"

	"github.com/nutmegdock/nutmegdock/internal/dialer"
)

// Buffer is the size in bytes of the buffers of a connection, one for each direction. The kernel doubles it, and would otherwise
// let them grow to some megabytes: 166 MB were queued for 300 callers that did not read. At a round-trip time of 6 ms they still
// allow about 3 MB/s for one request or response.
const Buffer = 16 << 10

// Listen listens on an address. The connections inherit the buffers, which must be set before they are opened.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	cfg := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		controlErr := c.Control(func(fd uintptr) { err = dialer.SetBuffers(fd, Buffer) })
		return errors.Join(err, controlErr)
	}}
	ln, err := cfg.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return ln, nil
}
