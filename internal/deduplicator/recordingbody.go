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

// maxRecordedBytes is the maximum size of a response that is recorded for callers who retry.
const maxRecordedBytes = 64 << 10

// recordingBody is a response body that records what is read, up to maxRecordedBytes. If it is closed early because the
// caller disconnected, it reads the remainder itself so that the record is complete.
type recordingBody struct {
	body     io.ReadCloser
	status   int
	header   http.Header
	recorded bytes.Buffer
	tooLarge bool
	once     sync.Once
	onEnd    func(r resultcache.Result)
}

func newRecordingBody(resp *http.Response, onEnd func(r resultcache.Result)) *recordingBody {
	return &recordingBody{body: resp.Body, status: resp.StatusCode, header: resp.Header.Clone(), onEnd: onEnd}
}

// Read reads from the response and records the bytes.
func (b *recordingBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if b.recorded.Len()+n > maxRecordedBytes {
		b.tooLarge = true
		b.recorded.Reset()
	}
	if !b.tooLarge {
		b.recorded.Write(p[:n])
	}
	if err != nil {
		b.finish(err)
	}
	return n, err
}

func (b *recordingBody) finish(err error) {
	b.once.Do(func() {
		if b.tooLarge || !errors.Is(err, io.EOF) {
			b.onEnd(resultcache.Result{State: resultcache.Unknown})
			return
		}
		b.onEnd(resultcache.Result{State: resultcache.Answered, Status: b.status, Header: b.header, Body: b.recorded.Bytes()})
	})
}

// Close reads the remainder of the body and closes it.
func (b *recordingBody) Close() error {
	_, err := io.Copy(io.Discard, b)
	if err != nil {
		b.finish(err)
	}
	return b.body.Close()
}

func newResponse(status int, h http.Header, body []byte) *http.Response {
	if h.Get(headers.Outcome) == "" {
		h.Set(headers.Outcome, headers.Answered)
	}
	return &http.Response{StatusCode: status, Header: h, Body: io.NopCloser(bytes.NewReader(body)), ContentLength: int64(len(body))}
}
