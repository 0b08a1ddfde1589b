package roundtripper_test

import (
	"bufio"
	"errors"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/headchecker"
	"github.com/nutmegdock/nutmegdock/internal/roundtripper"
)

// serveTwice responds to the requests on a connection, and sends a second response shortly after some of them.
func serveTwice(c net.Conn) {
	const maxDelay = 100 * time.Microsecond
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		for startTime := time.Now(); time.Since(startTime) < rand.N(maxDelay); {
			runtime.Gosched() // a sleep would be too long
		}
		if err == nil && rand.IntN(4) == 0 {
			_, err = io.WriteString(c, "HTTP/1.1 600 X\r\nContent-Length: 2\r\n\r\nno")
		}
		if err != nil {
			return
		}
	}
}

// A response that arrives while its connection goes from one request to the next belongs to neither.
func TestResponseBeforeItsRequestIsRefused(t *testing.T) {
	const callers, requests = 8, 4000
	defer log.SetOutput(log.Writer())
	log.SetOutput(io.Discard) // net/http logs each response that it finds itself
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	is.New(t).NoErr(err)
	defer ln.Close()
	go func() {
		for c, err := ln.Accept(); err == nil; c, err = ln.Accept() {
			go serveTwice(c)
		}
	}()
	var reports atomic.Int64
	rt := roundtripper.New(&http.Transport{DialContext: (&net.Dialer{}).DialContext, MaxIdleConnsPerHost: callers})
	rt.OnRefusal = func(string, *headchecker.Error) { reports.Add(1) }
	client := &http.Client{Transport: rt}
	var refused, taken atomic.Int64
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for range requests {
				resp, err := client.Get("http://" + ln.Addr().String())
				var headErr *headchecker.Error
				if errors.As(err, &headErr) {
					refused.Add(1)
				}
				if err != nil {
					continue
				}
				body, err := io.ReadAll(resp.Body)
				if resp.StatusCode != http.StatusOK || err == nil && string(body) != "ok" {
					taken.Add(1)
				}
				_ = resp.Body.Close()
			}
		})
	}
	wg.Wait()
	t.Logf("%d of %d refused, %d taken", refused.Load(), callers*requests, taken.Load())
	is := is.New(t)
	is.Equal(taken.Load(), int64(0))
	is.Equal(reports.Load(), refused.Load())
}
