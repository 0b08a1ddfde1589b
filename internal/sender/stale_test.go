package sender_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/outcome"
	"github.com/nutmegdock/nutmegdock/internal/sender"
)

// recordingConn counts the bytes that are written, also after it has been closed.
type recordingConn struct {
	net.Conn
	written int
}

func (c *recordingConn) Write(p []byte) (int, error) {
	c.written += len(p)
	return len(p), nil
}

// Guards against a process that is suspended once the endpoint is connected, and sends the request when it goes on,
// although the caller has stopped waiting: the endpoint ran it for nobody, and it counted as possibly run.
func TestRequestIsNotWrittenAfterItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		near, far := net.Pipe()
		defer far.Close()
		conn := &recordingConn{Conn: near}
		s := &sender.Sender{Dial: func(context.Context, string, string) (net.Conn, error) { return conn, nil }}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := s.Send(ctx, sender.Attempt{Address: "e:80", Method: http.MethodPost, Target: "/", Host: "h.example", Body: []byte("body"), BeforeWrite: func() outcome.Reason {
			time.Sleep(2 * time.Second) // suspended
			return ""
		}})
		var o *outcome.Error
		is.True(errors.As(err, &o))
		is.Equal(o.Kind, outcome.NotRun)
		is.Equal(o.Reason, outcome.Deadline)
		is.Equal(conn.written, 0)
		_, err = far.Read(make([]byte, 1))
		is.Equal(err, io.EOF) // the connection is closed
	})
}
