// Package resultcache keeps the results of an entry host's own claimed attempts, for callers who ask again.
package resultcache

import (
	"sync"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

// State tells what is known of an attempt.
type State string

// States of attempts.
const (
	// None means that this process knows nothing of the attempt.
	None State = "none"
	// Running attempts have no result yet.
	Running State = "running"
	// NotRun attempts were not run and never will be.
	NotRun State = "not-run"
	// Answered attempts have a result that is kept.
	Answered State = "answered"
	// Unknown attempts may have been run; there is no result.
	Unknown State = "unknown"
)

// Result is the end of an attempt.
type Result struct {
	State  State               `json:"state"`
	Status int                 `json:"status,omitempty"`
	Header map[string][]string `json:"header,omitempty"`
	Body   []byte              `json:"body,omitempty"`
}

// Cache holds results within a bound, and drops the oldest first. Set its fields before use.
type Cache struct {
	// Limit bounds the bytes of kept bodies and headers.
	Limit ident.Bytes

	mu       sync.Mutex
	attempts map[ident.Request]*attempt
	ended    []ident.Request
	size     ident.Bytes
}

type attempt struct {
	result Result
	done   chan struct{}
	ended  bool
	size   ident.Bytes
}

// attemptBytes is the share of one attempt without its body and header.
const attemptBytes = 256

// Begin opens an attempt.
func (c *Cache) Begin(id ident.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.attempts == nil {
		c.attempts = make(map[ident.Request]*attempt)
	}
	c.attempts[id] = &attempt{result: Result{State: Running}, done: make(chan struct{})}
}

// End sets the result of an attempt. Only the first call for an attempt counts.
func (c *Cache) End(id ident.Request, res Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.attempts[id]
	if a == nil || a.ended {
		return
	}
	a.result = res
	a.ended = true
	a.size = attemptBytes + ident.Bytes(len(res.Body))
	for k, vs := range res.Header {
		a.size += ident.Bytes(len(k))
		for _, v := range vs {
			a.size += ident.Bytes(len(v))
		}
	}
	close(a.done)
	c.ended = append(c.ended, id)
	c.size += a.size
	c.shrink()
}

func (c *Cache) shrink() {
	for c.size > c.Limit && len(c.ended) > 0 {
		id := c.ended[0]
		c.ended = c.ended[1:]
		c.size -= c.attempts[id].size
		delete(c.attempts, id)
	}
}

// Get returns what is known of an attempt, and a channel that is closed at its end, nil if it has none.
func (c *Cache) Get(id ident.Request) (Result, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.attempts[id]
	if a == nil {
		return Result{State: None}, nil
	}
	return a.result, a.done
}
