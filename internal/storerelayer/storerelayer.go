// Package storerelayer lets one entry host of a zone read the platform's store and gives what it reads to the others of the
// zone. Any host may read the store itself, so a reader that fails costs calls and no time; hosts that disagree on who the
// reader is do no harm.
package storerelayer

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/messages"
	"github.com/nutmegdock/nutmegdock/internal/watcher"
)

const (
	// askTime bounds a call to the reader beyond its wait, and longestWait that wait: together they leave half of the time
	// for a change to be in force to a read of the store.
	askTime     = 300 * time.Millisecond
	longestWait = 400 * time.Millisecond
	// graceTime is how late an answer of the store may be before the reader does not speak for the store any more, and
	// pauseTime how long it may pause between two calls.
	graceTime = 400 * time.Millisecond
	pauseTime = 1100 * time.Millisecond
	// banTime is how long a reader that failed is not asked.
	banTime = time.Second
	// keptBytes bounds the records that are kept for others: several configurations of a thousand routes.
	keptBytes = 2 << 20
	// packBytes is the size from which an answer is compressed.
	packBytes = 4 << 10
)

// Relayer is one host's way to the store. Set its fields before use.
type Relayer struct {
	// Reader returns the control address of the zone's reader, or nothing if this host reads itself.
	Reader func(banned func(address string) bool) string
	// Store reads the store.
	Store func(ctx context.Context, topic string, from int64, wait time.Duration) (watcher.Batch, error)
	// Ask asks the reader.
	Ask func(ctx context.Context, address string, q messages.RecordsQuery) (messages.RecordsAnswer, error)

	mu     sync.Mutex
	topics map[string]*tail
	bans   map[ban]time.Time
}

// ban is a reader that does not speak for the store in one topic.
type ban struct {
	address, topic string
}

// tail is the end of a topic, as far as it is kept.
type tail struct {
	first, next int64
	records     []watcher.Change
	bytes       int
	// until is how long this host may speak for the store.
	until time.Time
	news  chan struct{}
}

func (r *Relayer) tail(topic string) *tail {
	if r.topics == nil {
		r.topics = make(map[string]*tail)
		r.bans = make(map[ban]time.Time)
	}
	t := r.topics[topic]
	if t == nil {
		t = &tail{news: make(chan struct{})}
		r.topics[topic] = t
	}
	return t
}

func (r *Relayer) banned(topic string) func(address string) bool {
	return func(address string) bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return time.Since(r.bans[ban{address, topic}]) < banTime
	}
}

// Changes returns the records of a topic from an offset on, from the reader or the store.
func (r *Relayer) Changes(ctx context.Context, topic string, from int64, wait time.Duration) (watcher.Batch, error) {
	if reader := r.Reader(r.banned(topic)); reader != "" {
		b, err := r.ask(ctx, reader, topic, from, min(wait, longestWait))
		if err == nil {
			r.keep(topic, from, b)
			return b, nil
		}
		r.mu.Lock()
		r.tail(topic)
		r.bans[ban{reader, topic}] = time.Now()
		r.mu.Unlock()
		wait = 0
	}
	r.begin(topic, wait)
	b, err := r.Store(ctx, topic, from, wait)
	r.end(topic, err == nil)
	if err == nil {
		r.keep(topic, from, b)
	}
	return b, err
}

// begin lets this host speak for the store during a call that waits, if the call before it was answered.
func (r *Relayer) begin(topic string, wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.tail(topic); time.Now().Before(t.until) {
		t.until = time.Now().Add(wait + graceTime)
	}
}

// end lets this host speak for the store until the next call, or no longer if the store gave no answer.
func (r *Relayer) end(topic string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tail(topic)
	t.until = time.Time{}
	if ok {
		t.until = time.Now().Add(pauseTime)
		return
	}
	// Those that wait here hear that they have to read the store themselves.
	close(t.news)
	t.news = make(chan struct{})
}

func (r *Relayer) ask(ctx context.Context, reader, topic string, from int64, wait time.Duration) (watcher.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+askTime)
	defer cancel()
	a, err := r.Ask(ctx, reader, messages.RecordsQuery{Topic: topic, From: from, Wait: wait.Milliseconds()})
	if err != nil {
		return watcher.Batch{}, err
	}
	if a.Unknown {
		return watcher.Batch{}, fmt.Errorf("reader %s does not hold %s from %d", reader, topic, from)
	}
	records, err := unpack(a)
	return watcher.Batch{Changes: records, Next: a.Next}, err
}

// keep adds records to the tail that is kept for others.
func (r *Relayer) keep(topic string, from int64, b watcher.Batch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tail(topic)
	if len(t.records) == 0 || t.next != from {
		t.first, t.next, t.records, t.bytes = from, from, nil, 0
	}
	if b.Next-from != int64(len(b.Changes)) {
		// Some records were not changes, so that offsets cannot be told from places.
		t.first, t.next, t.records, t.bytes = b.Next, b.Next, nil, 0
		return
	}
	t.next = b.Next
	t.records = append(t.records, b.Changes...)
	for _, c := range b.Changes {
		t.bytes += len(c.Key) + len(c.Value)
	}
	for t.bytes > keptBytes {
		t.bytes -= len(t.records[0].Key) + len(t.records[0].Value)
		t.records = t.records[1:]
		t.first++
	}
	if len(b.Changes) > 0 {
		close(t.news)
		t.news = make(chan struct{})
	}
}

// Answer gives another host what this one holds. It says that it does not know if the store has not answered for a while.
func (r *Relayer) Answer(ctx context.Context, q messages.RecordsQuery) (messages.RecordsAnswer, error) {
	end := time.Now().Add(min(longestWait, time.Duration(q.Wait)*time.Millisecond))
	for {
		r.mu.Lock()
		t := r.tail(q.Topic)
		isKnown := time.Now().Before(t.until) && q.From >= t.first && q.From <= t.next
		var records []watcher.Change
		if isKnown {
			records = t.records[q.From-t.first:]
		}
		next, news := t.next, t.news
		r.mu.Unlock()
		if !isKnown {
			return messages.RecordsAnswer{Unknown: true}, nil
		}
		left := time.Until(end)
		if len(records) > 0 || left <= 0 {
			return pack(records, next)
		}
		select {
		case <-ctx.Done():
			return messages.RecordsAnswer{Unknown: true}, nil
		case <-news:
		case <-time.After(left):
		}
	}
}

func pack(records []watcher.Change, next int64) (messages.RecordsAnswer, error) {
	a := messages.RecordsAnswer{Next: next}
	if len(records) == 0 {
		return a, nil
	}
	data, err := json.Marshal(records)
	if err != nil {
		return a, fmt.Errorf("encode records: %w", err)
	}
	if len(data) < packBytes {
		a.Data = data
		return a, nil
	}
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if _, err := w.Write(data); err != nil {
		return a, fmt.Errorf("compress records: %w", err)
	}
	if err := w.Close(); err != nil {
		return a, fmt.Errorf("compress records: %w", err)
	}
	a.Data, a.Packed = b.Bytes(), true
	return a, nil
}

func unpack(a messages.RecordsAnswer) ([]watcher.Change, error) {
	data := a.Data
	if len(data) == 0 {
		return nil, nil
	}
	if a.Packed {
		r, err := gzip.NewReader(bytes.NewReader(data))
		if err != nil {
			return nil, fmt.Errorf("decompress records: %w", err)
		}
		if data, err = io.ReadAll(r); err != nil {
			return nil, fmt.Errorf("decompress records: %w", err)
		}
	}
	var records []watcher.Change
	if err := json.Unmarshal(data, &records); err != nil {
		return nil, fmt.Errorf("decode records: %w", err)
	}
	return records, nil
}
