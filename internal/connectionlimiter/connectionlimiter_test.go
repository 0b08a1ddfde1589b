package connectionlimiter_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/connectionlimiter"
)

// Guards against connections of other hosts beyond the limit of two listeners together, and against a limit that closed
// connections still count towards.
func TestConnectionsBeyondLimitAreClosed(t *testing.T) {
	is := is.New(t)
	l := connectionlimiter.Limiter{Max: 2}
	accepted := make(chan net.Conn, 4)
	var addresses []string
	for range 2 {
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		is.NoErr(err)
		t.Cleanup(func() { _ = ln.Close() })
		addresses = append(addresses, ln.Addr().String())
		go func(ln net.Listener) {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				accepted <- c
			}
		}(l.Listen(ln))
	}
	dial := func(i int) net.Conn {
		c, err := net.Dial("tcp4", addresses[i])
		is.NoErr(err)
		t.Cleanup(func() { _ = c.Close() })
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		return c
	}
	dial(0)
	dial(1)
	first := <-accepted
	<-accepted
	_, err := dial(0).Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	is.NoErr(first.Close())
	dial(1)
	<-accepted // there is room again
}
