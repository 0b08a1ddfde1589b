package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/nutmegdock/nutmegdock/platform/wirenames"
)

const (
	plainTimeout  = 2500 * time.Millisecond
	streamTimeout = 6 * time.Second
	// maxAnswerBytes is how much of an answer a client reads.
	maxAnswerBytes = 64 << 10
)

// answer is what a client got for one attempt. status is zero without an answer.
type answer struct {
	id, signature string
	status        int
	sentAt        time.Time
}

// isUnsigned reports whether the answer is a success without the proof of a server.
func (a answer) isUnsigned() bool {
	return a.status >= http.StatusOK && a.status < http.StatusMultipleChoices && a.signature == ""
}

// client sends requests to one entry host on kept channels.
type client struct {
	frontend *process
	record   *record
	// key is the API key, and header is added to each request.
	key    string
	header http.Header

	http http.Client
}

func newClient(p *process, rec *record) *client {
	return &client{frontend: p, record: rec, key: apiKey, http: http.Client{Transport: &http.Transport{DisableCompression: true, IdleConnTimeout: 12 * time.Second}}}
}

// send sends one attempt and reads its answer within the time limit.
func (c *client) send(method, path, body string, limit time.Duration) answer {
	a := answer{id: fmt.Sprintf("%016x", rand.Uint64())}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.frontend.ip+":"+callerPort+path, strings.NewReader(body))
	if err != nil {
		c.record.add("request %s cannot be made: %v", a.id, err)
		return a
	}
	r.Host = hostName
	maps.Copy(r.Header, c.header)
	r.Header.Set(wirenames.HeaderAttemptID, a.id)
	r.Header.Set(wirenames.HeaderAPIKey, c.key)
	r.Header.Set(wirenames.HeaderDeadlineRemaining, strconv.FormatInt(limit.Milliseconds(), 10))
	a.sentAt = time.Now()
	c.record.add("a client sends request %s to %s: %s %s", a.id, c.frontend.name, method, path)
	resp, err := c.http.Do(r)
	if err != nil {
		c.record.add("the client of request %s gets no answer: %v", a.id, err)
		return a
	}
	defer resp.Body.Close()
	a.status, a.signature = resp.StatusCode, resp.Header.Get(wirenames.HeaderServerSignature)
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	c.record.add("the client of request %s gets %d, signature %q, %d bytes %.30q, error %v", a.id, a.status, a.signature, len(data), data, err)
	return a
}
