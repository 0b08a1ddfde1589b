package forwarder_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/outcome"
	"github.com/nutmegdock/nutmegdock/internal/forwarder"
	"github.com/nutmegdock/nutmegdock/internal/headers"
)

// startBreakingServer starts a server that responds to the first request on each connection and closes the connection
// after it has read the second one. It returns the server's URL, and counts requests with the header field "Counted".
func startBreakingServer(t *testing.T, counted *atomic.Int64) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for i := range 2 {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					if req.Header.Get("Counted") != "" {
						counted.Add(1)
					}
					if i == 0 {
						_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
					}
				}
			}()
		}
	}()
	return "http://" + ln.Addr().String()
}

// TestLostRequestIsSentOnce verifies that a request that was lost on a reused connection is not sent again, whatever
// its method and idempotency key.
// TestPlainClientSendsLostRequestTwice shows that the plain client of net/http sends it twice.
func TestLostRequestIsSentOnce(t *testing.T) {
	for _, c := range []struct{ method, key string }{{"POST", ""}, {"POST", "k"}, {"PUT", ""}, {"DELETE", ""}, {"GET", ""}} {
		t.Run(c.method+c.key, func(t *testing.T) {
			is := is.New(t)
			var counted atomic.Int64
			f := &forwarder.Forwarder{HTTP: forwarder.NewClient()}
			req := forwarder.Request{Method: c.method, URL: startBreakingServer(t, &counted), Header: http.Header{}}
			resp, err := f.Send(context.Background(), req)
			is.NoErr(err)
			_, _ = io.Copy(io.Discard, resp.Body)
			is.NoErr(resp.Body.Close())
			req.Header = http.Header{"Counted": {"1"}}
			if c.key != "" {
				req.Header.Set(headers.CallerIdempotencyKey, c.key)
			}
			_, err = f.Send(context.Background(), req)
			var o *outcome.Error
			is.True(errors.As(err, &o))
			is.Equal(o.Kind, outcome.Unknown)
			is.Equal(counted.Load(), int64(1))
		})
	}
}

func TestPlainClientSendsLostRequestTwice(t *testing.T) {
	is := is.New(t)
	var counted atomic.Int64
	url := startBreakingServer(t, &counted)
	client := &http.Client{Transport: &http.Transport{}}
	for _, value := range []string{"", "1"} {
		req, err := http.NewRequest(http.MethodPost, url, strings.NewReader("x"))
		is.NoErr(err)
		req.Header.Set(headers.CallerIdempotencyKey, "k")
		if value != "" {
			req.Header.Set("Counted", value)
		}
		resp, err := client.Do(req)
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
	}
	is.Equal(counted.Load(), int64(2))
}

func TestSendClassifiesOutcomes(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := ln.Addr().String()
	send := func(f *forwarder.Forwarder, headerTimeout time.Duration) *outcome.Error {
		resp, err := f.Send(context.Background(), forwarder.Request{Method: "POST", URL: "http://" + address, Header: http.Header{}, HeaderTimeout: headerTimeout})
		if err == nil {
			_ = resp.Body.Close()
			return &outcome.Error{Kind: outcome.Answered}
		}
		var o *outcome.Error
		is.True(errors.As(err, &o))
		return o
	}
	f := &forwarder.Forwarder{HTTP: forwarder.NewClient()}
	is.Equal(send(f, 50*time.Millisecond).Reason, outcome.Stalled) // no server accepts the connection
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headers.Outcome, headers.NotRun)
		w.WriteHeader(http.StatusServiceUnavailable)
	})}
	go func() { _ = srv.Serve(ln) }()
	is.Equal(send(f, 0).Kind, outcome.NotRun)
	is.Equal(send(&forwarder.Forwarder{HTTP: f.HTTP, IgnoreOutcome: true}, 0).Kind, outcome.Answered) // the outcome header of a back end is ignored
	is.NoErr(srv.Close())
	is.Equal(send(&forwarder.Forwarder{HTTP: forwarder.NewSingleUseClient()}, 0).Kind, outcome.NotRun) // connection refused
}
