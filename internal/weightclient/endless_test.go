package weightclient_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/bodyreader"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/manifest"
	"github.com/nutmegdock/nutmegdock/internal/weightclient"
)

// floodBytes ends a body that would have no end.
const floodBytes = 64 << 20

const (
	chunkBytes = 32 << 10
	bodyStart  = "HTTP/1.1 200 OK\r\n\r\n"
)

// newClient returns a client whose peer reads the request and calls serve. closed is closed after that.
func newClient(serve func(c net.Conn)) (client *weightclient.Client, closed chan struct{}) {
	closed = make(chan struct{})
	dial := func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			defer close(closed)
			defer far.Close()
			_, _ = far.Read(make([]byte, 4<<10))
			serve(far)
		}()
		return near, nil
	}
	return &weightclient.Client{HTTP: &http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true}}}, closed
}

func noProgress(context.Context, int) error { return nil }

var testChunk = manifest.Chunk{Digest: manifest.DigestOf([]byte("x")), Size: chunkBytes}

func TestBodyWithoutEndIsBounded(t *testing.T) {
	for name, call := range map[string]func(ctx context.Context, c *weightclient.Client) error{
		"name": func(ctx context.Context, c *weightclient.Client) error {
			_, err := c.Resolve(ctx, "http://p", "m", "1")
			return err
		},
		"manifest": func(ctx context.Context, c *weightclient.Client) error {
			_, err := c.Artifact(ctx, "http://p", "d")
			return err
		},
		"chunk": func(ctx context.Context, c *weightclient.Client) error {
			data, err := c.Chunk(ctx, "http://p", testChunk, "z", noProgress)
			if err == nil && len(data) == chunkBytes {
				err = &bodyreader.SizeError{} // the digest decides on the part of that size
			}
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				sent := 0
				c, closed := newClient(func(conn net.Conn) {
					text := strings.Repeat("x", 32<<10)
					for _, err := io.WriteString(conn, bodyStart); err == nil && sent < floodBytes; sent += len(text) {
						_, err = io.WriteString(conn, text)
					}
				})
				var sizeErr *bodyreader.SizeError
				is.True(errors.As(call(t.Context(), c), &sizeErr))
				<-closed
				is.True(sent <= 17<<20)
			})
		})
	}
}

// A chunk that arrives a byte now and then is not progress for ever.
func TestSlowChunkIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, closed := newClient(func(conn net.Conn) {
			for _, err := io.WriteString(conn, bodyStart); err == nil; _, err = io.WriteString(conn, "x") {
				time.Sleep(50 * time.Millisecond)
			}
		})
		startTime := time.Now()
		_, err := c.Chunk(t.Context(), "http://p", testChunk, "z", noProgress)
		var slowErr *weightclient.SlowError
		is.True(errors.As(err, &slowErr))
		is.True(time.Since(startTime) < 4*time.Second)
		<-closed
	})
}

// A chunk over a narrow link, and one whose reader pauses itself, is read to its end.
func TestChunkOverNarrowLinkIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const partBytes = 1 << 10
		c, _ := newClient(func(conn net.Conn) {
			for _, err := io.WriteString(conn, bodyStart); err == nil; _, err = io.WriteString(conn, strings.Repeat("x", partBytes)) {
				time.Sleep(200 * time.Millisecond)
			}
		})
		data, err := c.Chunk(t.Context(), "http://p", testChunk, "z", noProgress)
		is.NoErr(err)
		is.Equal(len(data), chunkBytes)
		c, _ = newClient(func(conn net.Conn) { _, _ = io.WriteString(conn, bodyStart+strings.Repeat("x", chunkBytes)) })
		pauses := 0
		data, err = c.Chunk(t.Context(), "http://p", testChunk, "z", func(context.Context, int) error {
			if pauses++; pauses <= 3 {
				time.Sleep(10 * time.Second)
			}
			return nil
		})
		is.NoErr(err)
		is.Equal(len(data), chunkBytes)
	})
}

// A corrupt digest of a name must not be published: no content would ever match it.
func TestCorruptDigestOfNameIsNotResolved(t *testing.T) {
	is := is.New(t)
	data, err := manifest.Artifact{Name: "m", Version: "1", Size: chunkBytes, Chunks: []manifest.Chunk{testChunk}}.Encode()
	is.NoErr(err)
	for _, d := range []ident.Digest{manifest.DigestOf(data), manifest.DigestOf([]byte("corrupt"))} {
		dial := func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			go func() {
				defer far.Close()
				request := make([]byte, 4<<10)
				n, _ := far.Read(request)
				body := data
				if strings.Contains(string(request[:n]), "/names/") {
					body = []byte(d)
				}
				_, _ = io.WriteString(far, bodyStart+string(body))
			}()
			return near, nil
		}
		c := &weightclient.Client{HTTP: &http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true}}}
		_, err := c.ResolveArtifact(t.Context(), "http://p", "m", "1")
		is.Equal(err == nil, d == manifest.DigestOf(data))
	}
}
