package rpc_test

import (
	"context"
	"encoding/json"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/rpc"
)

// failingListener fails to accept a number of times.
type failingListener struct {
	net.Listener
	left atomic.Int64
	err  error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.left.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: l.err}
	}
	return l.Listener.Accept()
}

// Guards against a control server that ends its process when descriptors are short for a moment (review/3).
func TestServerGoesOnAfterFailureToAccept(t *testing.T) {
	for _, c := range []struct {
		err         syscall.Errno
		isTemporary bool
	}{{syscall.EMFILE, true}, {syscall.ENFILE, true}, {syscall.ECONNABORTED, true}, {syscall.ENOBUFS, true}, {syscall.EINVAL, false}} {
		t.Run(c.err.Error(), func(t *testing.T) {
			is := is.New(t)
			ln, err := net.Listen("tcp4", "127.0.0.1:0")
			is.NoErr(err)
			failing := &failingListener{Listener: ln, err: c.err}
			failing.left.Store(5)
			ctx, cancel := context.WithCancel(t.Context())
			served := make(chan error, 1)
			echo := func(_ context.Context, params json.RawMessage) (any, error) { return params, nil }
			go func() { served <- (&rpc.Server{Handlers: map[string]rpc.Handler{"echo": echo}}).Serve(ctx, failing) }()
			if !c.isTemporary {
				is.True(<-served != nil)
				cancel()
				return
			}
			client := &rpc.Client{Address: ln.Addr().String()}
			callCtx, stop := context.WithTimeout(ctx, 5*time.Second)
			defer stop()
			res, err := rpc.Call[int](callCtx, client, "echo", 7)
			is.NoErr(err)
			is.Equal(res, 7)
			is.NoErr(client.Close())
			cancel()
			is.NoErr(<-served)
		})
	}
}
