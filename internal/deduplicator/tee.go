package deduplicator

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"

	"github.com/nutmegdock/nutmegdock/internal/core/resultcache"
	"github.com/nutmegdock/nutmegdock/internal/headers"
)

// maxKeptBytes bounds the answers that are kept for callers who ask again.
const maxKeptBytes = 64 << 10

// tee passes an answer on and keeps a copy within a bound. When it is closed early, because the caller left, it reads
// the rest of the answer by itself.
type tee struct {
	body   io.ReadCloser
	status int
	header http.Header
	kept   bytes.Buffer
	large  bool
	once   sync.Once
	end    func(r resultcache.Result)
}

func newTee(resp *http.Response, end func(r resultcache.Result)) *tee {
	return &tee{body: resp.Body, status: resp.StatusCode, header: resp.Header.Clone(), end: end}
}

// Read reads and keeps.
func (t *tee) Read(p []byte) (int, error) {
	n, err := t.body.Read(p)
	if t.kept.Len()+n > maxKeptBytes {
		t.large = true
		t.kept.Reset()
	}
	if !t.large {
		t.kept.Write(p[:n])
	}
	if err != nil {
		t.finish(err)
	}
	return n, err
}

func (t *tee) finish(err error) {
	t.once.Do(func() {
		if t.large || !errors.Is(err, io.EOF) {
			t.end(resultcache.Result{State: resultcache.Unknown})
			return
		}
		t.end(resultcache.Result{State: resultcache.Answered, Status: t.status, Header: t.header, Body: t.kept.Bytes()})
	})
}

// Close closes the body after it has read the rest of it.
func (t *tee) Close() error {
	_, err := io.Copy(io.Discard, t)
	if err != nil {
		t.finish(err)
	}
	return t.body.Close()
}

func response(status int, h http.Header, body []byte) *http.Response {
	if h.Get(headers.Outcome) == "" {
		h.Set(headers.Outcome, headers.Answered)
	}
	return &http.Response{StatusCode: status, Header: h, Body: io.NopCloser(bytes.NewReader(body)), ContentLength: int64(len(body))}
}
