package rpc_test

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/rpc"
)

const (
	// floodBytes ends a message that would have no end, so that a reader without a limit fails the test and does not use up
	// the memory.
	floodBytes = 256 << 20
	// maxRead is the most that a reader may take of it.
	maxRead     = 34 << 20
	callTimeout = 2 * time.Second
)

// messageStart returns the start of a message that announces the given length, up to the value of a string.
func messageStart(length uint64) string {
	return string(binary.AppendUvarint(nil, length)) + `{"jsonrpc":"2.0","id":0,"result":"`
}

// flood writes start and then x, as fast as it is read, and returns the number of bytes taken.
func flood(w io.Writer, start string) int {
	text := strings.Repeat("x", 64<<10)
	sent, err := io.WriteString(w, start)
	for n := 0; err == nil && sent < floodBytes; sent += n {
		n, err = io.WriteString(w, text)
	}
	return sent
}

// A message without end fails the call and closes the connection. The next call opens another one.
func TestMessageWithoutEndIsBounded(t *testing.T) {
	for name, start := range map[string]string{
		"long message": messageStart(1 << 62), "message of the greatest length": messageStart(1<<64 - 1),
		"length without end": strings.Repeat("\xff", 64),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			taken := make(chan int, 2)
			client := &rpc.Client{Dial: func(context.Context, string, string) (net.Conn, error) {
				near, far := net.Pipe()
				go func() {
					go func() { _, _ = io.Copy(io.Discard, far) }()
					taken <- flood(far, start)
				}()
				return near, nil
			}}
			for range 2 {
				ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
				_, err := rpc.Call[string](ctx, client, "method", 1)
				cancel()
				is.True(err != nil)
				is.True(<-taken <= maxRead) // the writer has ended, so the connection is closed
			}
		})
	}
}

func TestSlowMessageEndsAtDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		closed := make(chan struct{})
		client := &rpc.Client{Dial: func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			go func() { _, _ = io.Copy(io.Discard, far) }()
			go func() {
				defer close(closed)
				for _, err := io.WriteString(far, messageStart(1<<20)); err == nil; {
					time.Sleep(50 * time.Millisecond)
					_, err = io.WriteString(far, "x")
				}
			}()
			return near, nil
		}}
		ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
		defer cancel()
		startTime := time.Now()
		_, err := rpc.Call[string](ctx, client, "method", 1)
		is.True(err != nil)
		is.Equal(time.Since(startTime), callTimeout)
		<-closed
	})
}

// A client that sends a message without end to a server loses its connection, and the others are served.
func TestServerBoundsMessages(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	var calls atomic.Int64
	server := &rpc.Server{Handlers: map[string]rpc.Handler{"method": rpc.TypedHandler(func(_ context.Context, n int) (int, error) {
		calls.Add(1)
		return n + 1, nil
	})}}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, ln) }()
	c, err := net.Dial("tcp4", ln.Addr().String())
	is.NoErr(err)
	const maxSocketBuffers = 32 << 20
	is.True(flood(c, messageStart(1<<62)) <= maxRead+maxSocketBuffers)
	is.NoErr(c.Close())
	n, err := rpc.Call[int](ctx, &rpc.Client{Address: ln.Addr().String()}, "method", 1)
	is.NoErr(err)
	is.Equal(n, 2)
	is.Equal(calls.Load(), int64(1))
	cancel()
	is.NoErr(<-done)
}

// A large message is passed on unchanged.
func TestLargeMessageIsServed(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	server := &rpc.Server{Handlers: map[string]rpc.Handler{"echo": func(_ context.Context, params json.RawMessage) (any, error) { return params, nil }}}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, ln) }()
	text := strings.Repeat("x", 4<<20)
	got, err := rpc.Call[string](ctx, &rpc.Client{Address: ln.Addr().String()}, "echo", text)
	is.NoErr(err)
	is.True(got == text)
	cancel()
	is.NoErr(<-done)
}
