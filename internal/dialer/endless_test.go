package dialer_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/bytecounter"
	"github.com/nutmegdock/nutmegdock/internal/dialer"
	"github.com/nutmegdock/nutmegdock/internal/forwarder"
)

// startPeer accepts connections, and responds to a request on each with start and then repeats unit. Unless interval is zero, it writes one
// byte per interval. A byte is sent on the channel when a connection has been closed by the client.
func startPeer(t *testing.T, start, unit string, interval time.Duration) (string, chan struct{}) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = ln.Close() })
	closed := make(chan struct{}, 16)
	text := strings.Repeat(unit, 16<<10)
	if interval > 0 {
		text = unit
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close(); closed <- struct{}{} }()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				for _, err := io.WriteString(c, start); err == nil; _, err = io.WriteString(c, text) {
					time.Sleep(interval)
				}
			}()
		}
	}()
	return "http://" + ln.Addr().String(), closed
}

func clients() map[string]*http.Client {
	d := &dialer.Dialer{}
	return map[string]*http.Client{
		"client": d.Client(), "client without keep-alive": d.NoKeepAliveClient(), "forwarder": forwarder.NewClient(),
		"single use": forwarder.NewSingleUseClient(), "counting": (&bytecounter.Counter{}).Client(),
	}
}

func TestHeaderWithoutEndIsBounded(t *testing.T) {
	const maxAllocated = 8 << 20
	for name, client := range clients() {
		for part, unit := range map[string]string{"line": "x", "lines": "A: x\r\n", "informational responses": "\r\nHTTP/1.1 102 X\r\n"} {
			t.Run(name+", "+part, func(t *testing.T) {
				is := is.New(t)
				start := "HTTP/1.1 200 OK\r\nA: "
				if part == "lines" {
					start = "HTTP/1.1 200 OK\r\n"
				}
				url, closed := startPeer(t, start, unit, 0)
				ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
				defer cancel()
				req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
				is.NoErr(err)
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				resp, err := client.Do(req)
				runtime.ReadMemStats(&after)
				if err == nil {
					_ = resp.Body.Close()
				}
				is.True(err != nil)
				is.NoErr(ctx.Err())
				if allocated := after.TotalAlloc - before.TotalAlloc; allocated > maxAllocated {
					t.Errorf("%d bytes allocated", allocated)
				}
				<-closed
			})
		}
	}
}

func TestSlowHeaderEndsAtDeadline(t *testing.T) {
	for name, client := range clients() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			url, closed := startPeer(t, "HTTP/1.1 200 OK\r\nA: ", "x", 5*time.Millisecond)
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
			is.NoErr(err)
			startTime := time.Now()
			_, err = client.Do(req)
			is.True(err != nil)
			is.True(time.Since(startTime) < time.Second)
			<-closed
		})
	}
}
