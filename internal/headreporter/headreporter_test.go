package headreporter_test

import (
	"io"
	"net"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/nutmegdock/nutmegdock/internal/dialer"
	"github.com/nutmegdock/nutmegdock/internal/headreporter"
)

func TestRefusalIsLoggedAndCounted(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	go func() {
		if c, err := ln.Accept(); err == nil {
			defer c.Close()
			_, _ = c.Read(make([]byte, 1))
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nServer Name: x\r\n\r\n")
			_, _ = io.Copy(io.Discard, c) // until the client closes
		}
	}()
	lines := memory.New()
	r := headreporter.New(&log.Logger{Handler: lines, Level: log.InfoLevel})
	_, err = r.Observe((&dialer.Dialer{}).Client()).Get("http://" + ln.Addr().String())
	is.True(err != nil)
	is.Equal(testutil.ToFloat64(r.WithLabelValues("name")), 1.0)
	is.Equal(len(lines.Entries), 1)
	is.Equal(lines.Entries[0].Fields["address"], ln.Addr().String())
	is.Equal(lines.Entries[0].Fields["cause"], `response has an invalid name: "Server Name"`)
}
