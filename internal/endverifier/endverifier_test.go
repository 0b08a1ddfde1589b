package endverifier_test

import (
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/endtest"
	"github.com/nutmegdock/nutmegdock/internal/endverifier"
)

const repeats = 10

var upload = strings.Repeat("x", endtest.UploadBytes)

// opaqueConn gives no access to the connection of the system.
type opaqueConn struct {
	net.Conn
}

// transparentConn gives access to it.
type transparentConn struct {
	net.Conn
}

func (c transparentConn) NetConn() net.Conn { return c.Conn }

// Guards against a reset that only a write under way hears of, after which a read took a part of the stream for all of it. Without
// access to the system, a sound stream that ends amid a write counts as reset as well.
func TestEndAmidWrite(t *testing.T) {
	for name, wrap := range map[string]func(c net.Conn) net.Conn{
		"TCP":         func(c net.Conn) net.Conn { return c },
		"transparent": func(c net.Conn) net.Conn { return transparentConn{endverifier.New(transparentConn{c})} },
		"opaque":      func(c net.Conn) net.Conn { return opaqueConn{c} },
	} {
		for _, form := range endtest.Forms {
			t.Run(name+", "+form.Name, func(t *testing.T) {
				is := is.New(t)
				address, stop, err := form.Start("", "body")
				is.NoErr(err)
				defer stop()
				for range repeats {
					netConn, err := net.Dial("tcp", address)
					is.NoErr(err)
					c := endverifier.New(wrap(netConn))
					written := make(chan struct{})
					go func() {
						defer close(written)
						_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4194304\r\n\r\n"+upload)
					}()
					data, err := io.ReadAll(c)
					if name != "opaque" || !form.IsWhole {
						is.Equal(err == nil, form.IsWhole)
					}
					is.True(err == nil || errors.Is(err, syscall.ECONNRESET))
					is.True(err != nil || strings.HasSuffix(string(data), "\r\n\r\nbody"))
					_ = c.Close()
					<-written
				}
			})
		}
	}
}

// A stream that ends while nothing is written is whole, also on a connection that is not one of the system.
func TestEndOfPipe(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	go func() {
		_, _ = io.WriteString(far, "body")
		_ = far.Close()
	}()
	data, err := io.ReadAll(endverifier.New(near))
	is.NoErr(err)
	is.Equal(string(data), "body")
}
