package gatewayserver

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"
)

// The process ends while a request that it has accepted is being answered.
func TestAcceptedRequestIsAnsweredAtTheEnd(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	address := ln.Addr().String()
	is.NoErr(ln.Close())
	accepted := make(chan struct{})
	h := &Server{Logger: &log.Logger{Handler: discard.New(), Level: log.InfoLevel}}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- h.serve(ctx, address, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			close(accepted)
			time.Sleep(100 * time.Millisecond)
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = io.WriteString(w, "refused")
		}), nil)
	}()
	go func() {
		<-accepted
		cancel()
	}()
	var resp *http.Response
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if resp, err = http.Get("http://" + address); err == nil {
			break
		}
		select {
		case <-accepted:
			is.NoErr(err) // the request was accepted
		default:
		}
	}
	is.NoErr(err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(string(body), "refused")
	is.NoErr(<-done)
}
