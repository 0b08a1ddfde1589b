// Package resultcache caches the results of the attempts that this entry host has claimed, for callers that repeat a
// request.
package resultcache

import (
	"sync"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

// State is the state of an attempt, as far as this process knows it.
type State string

// States of attempts.
const (
	// NotFound means that the attempt is unknown to this process.
	NotFound State = "none"
	// Running means that the attempt has no result yet.
	Running State = "running"
	// NotRun means that the attempt was not run and will not be run.
	NotRun State = "not-run"
	// Answered means that the attempt has a cached result.
	Answered State = "answered"
	// Unknown means that the attempt may have been run but has no result.
	Unknown State = "unknown"
)

// Result is the result of an attempt.
type Result struct {
	State  State               `json:"state"`
	Status int                 `json:"status,omitempty"`
	Header map[string][]string `json:"header,omitempty"`
	Body   []byte              `json:"body,omitempty"`
}

// Cache holds a bounded amount of results and evicts the oldest first. Set its fields before use.
type Cache struct {
	// MaxBytes is the maximum size of the results, including the overhead of each.
	MaxBytes ident.Bytes

	mu       sync.Mutex
	attempts map[ident.RequestID]*attempt
	// endedOrder holds the finished attempts, oldest first.
	endedOrder []ident.RequestID
	size       ident.Bytes
}

type attempt struct {
	result Result
	done   chan struct{}
	ended  bool
	size   ident.Bytes
}

// attemptOverhead is the number of bytes that each attempt counts in addition to its body and header.
const attemptOverhead = 256

// Start adds a running attempt.
func (c *Cache) Start(id ident.RequestID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.attempts == nil {
		c.attempts = make(map[ident.RequestID]*attempt)
	}
	c.attempts[id] = &attempt{result: Result{State: Running}, done: make(chan struct{})}
}

// End sets the result of an attempt. Only the first call for an attempt counts.
func (c *Cache) End(id ident.RequestID, result Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.attempts[id]
	if a == nil || a.ended {
		return
	}
	a.result = result
	a.ended = true
	a.size = attemptOverhead + ident.Bytes(len(result.Body))
	for name, values := range result.Header {
		a.size += ident.Bytes(len(name))
		for _, v := range values {
			a.size += ident.Bytes(len(v))
		}
	}
	close(a.done)
	c.endedOrder = append(c.endedOrder, id)
	c.size += a.size
	c.evict()
}

// evict deletes the oldest results until the cache is within its limit.
func (c *Cache) evict() {
	for c.size > c.MaxBytes && len(c.endedOrder) > 0 {
		id := c.endedOrder[0]
		c.endedOrder = c.endedOrder[1:]
		c.size -= c.attempts[id].size
		delete(c.attempts, id)
	}
}

// Get returns the state and the result of an attempt, and a channel that is closed when it ends. The channel is nil if
// the attempt is unknown.
func (c *Cache) Get(id ident.RequestID) (Result, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.attempts[id]
	if a == nil {
		return Result{State: NotFound}, nil
	}
	return a.result, a.done
}
