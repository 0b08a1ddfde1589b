package dialer_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/headchecker"
	"github.com/nutmegdock/nutmegdock/internal/headtest"
	"github.com/nutmegdock/nutmegdock/internal/roundtripper"
)

// peerTimeout is how long a client may take until it has closed its connection.
const peerTimeout = time.Second

// scriptedPeer responds to the requests on its connections with its texts, in order. It closes the connection after the last
// one.
type scriptedPeer struct {
	url string
	// requests counts those that have arrived, and closed has a value for each connection that the client has closed.
	requests atomic.Int64
	closed   chan struct{}
}

func startScriptedPeer(t *testing.T, texts ...string) *scriptedPeer {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = ln.Close() })
	p := &scriptedPeer{url: "http://" + ln.Addr().String(), closed: make(chan struct{}, 8)}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go p.serve(c, texts)
		}
	}()
	return p
}

func (p *scriptedPeer) serve(c net.Conn, texts []string) {
	defer c.Close()
	if c.SetReadDeadline(time.Now().Add(peerTimeout)) != nil { // ends a client that would wait for more of a response
		return
	}
	br := bufio.NewReader(c)
	for {
		if _, err := http.ReadRequest(br); err != nil {
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				p.closed <- struct{}{}
			}
			return
		}
		i := p.requests.Add(1) - 1
		if _, err := io.WriteString(c, texts[i]); err != nil || int(i) == len(texts)-1 {
			return
		}
	}
}

func get(t *testing.T, client *http.Client, url string) (string, error) {
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return "", err
	}
	resp, err := client.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

func allClients() map[string]*http.Client {
	all := clients()
	all["default"] = &http.Client{Transport: roundtripper.Default()}
	return all
}

// A client gets no part of a broken response, closes its connection, and does not send the request again.
func TestBrokenHeadsAreRefused(t *testing.T) {
	sound := headtest.Sound[0].Text("", "sound")
	for name, client := range allClients() {
		for _, form := range headtest.Broken {
			t.Run(name+", "+form.Name, func(t *testing.T) {
				is := is.NewRelaxed(t)
				p := startScriptedPeer(t, sound, form.Text("", "no"), sound)
				body, err := get(t, client, p.url)
				is.NoErr(err)
				is.Equal(body, "sound")
				_, err = get(t, client, p.url)
				is.True(err != nil)
				var headErr *headchecker.Error
				is.True(errors.As(err, &headErr))
				is.Equal(p.requests.Load(), int64(2))
				select {
				case <-p.closed:
				case <-time.After(peerTimeout):
					t.Error("connection stays open")
				}
			})
		}
	}
}

func TestSoundHeadsAreAccepted(t *testing.T) {
	for name, client := range allClients() {
		for _, form := range headtest.Sound {
			t.Run(name+", "+form.Name, func(t *testing.T) {
				is := is.New(t)
				text := form.Text("Connection: close\r\n", "sound")
				p := startScriptedPeer(t, headtest.Sound[0].Text("", "sound"), text)
				for range 2 {
					body, err := get(t, client, p.url)
					is.NoErr(err)
					is.Equal(body, "sound")
				}
			})
		}
	}
}
