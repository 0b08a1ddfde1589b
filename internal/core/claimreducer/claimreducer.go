// Package claimreducer folds a stream of claims on idempotency keys into the question of who holds each key.
package claimreducer

import (
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

// Key is the digest of an organisation, a deployment and the caller's idempotency key.
type Key string

// Claim asks for the right to run the one request of a key.
type Claim struct {
	Key Key `json:"key"`
	// Body is the digest of method, path and body.
	Body string `json:"body"`
	// Attempt is the request that is run if the claim wins.
	Attempt ident.Request `json:"attempt"`
	// Control is the address for calls of the entry host that runs the attempt and keeps its result.
	Control string `json:"control"`
}

// Release gives up a claim whose attempt was not run and never will be.
type Release struct {
	Key     Key           `json:"key"`
	Attempt ident.Request `json:"attempt"`
}

// Record is one append to a stream of claims. Its claims come before its releases.
type Record struct {
	Claims   []Claim
	Releases []Release
}

// Reducer holds the live claims of one stream in log order. The zero value is the state before the first record.
// It is not safe for concurrent use.
type Reducer struct {
	next     ident.Offset
	claims   map[Key][]placed
	released map[ident.Request]bool
	order    []mark
}

type placed struct {
	claim  Claim
	offset ident.Offset
}

// mark remembers what a record brought, so that Trim finds it.
type mark struct {
	offset  ident.Offset
	key     Key
	attempt ident.Request
	release bool
}

// Next returns the offset of the next record to apply.
func (c *Reducer) Next() ident.Offset {
	return c.next
}

// Apply folds the record at an offset. Offsets below Next are ignored; an offset above it is a gap, after which the
// records in between count as expired.
func (c *Reducer) Apply(offset ident.Offset, r Record) {
	if offset < c.next {
		return
	}
	c.next = offset + 1
	if c.claims == nil {
		c.claims = make(map[Key][]placed)
		c.released = make(map[ident.Request]bool)
	}
	for _, cl := range r.Claims {
		c.add(offset, cl)
	}
	for _, rel := range r.Releases {
		c.release(offset, rel)
	}
}

func (c *Reducer) add(offset ident.Offset, cl Claim) {
	if c.released[cl.Attempt] {
		return
	}
	for _, p := range c.claims[cl.Key] {
		if p.claim.Attempt == cl.Attempt {
			return
		}
	}
	c.claims[cl.Key] = append(c.claims[cl.Key], placed{claim: cl, offset: offset})
	c.order = append(c.order, mark{offset: offset, key: cl.Key, attempt: cl.Attempt})
}

func (c *Reducer) release(offset ident.Offset, rel Release) {
	c.remove(rel.Key, rel.Attempt)
	if c.released[rel.Attempt] {
		return
	}
	c.released[rel.Attempt] = true
	c.order = append(c.order, mark{offset: offset, key: rel.Key, attempt: rel.Attempt, release: true})
}

func (c *Reducer) remove(key Key, attempt ident.Request) {
	var kept []placed
	for _, p := range c.claims[key] {
		if p.claim.Attempt != attempt {
			kept = append(kept, p)
		}
	}
	if len(kept) == 0 {
		delete(c.claims, key)
		return
	}
	c.claims[key] = kept
}

// Trim forgets what stood in records below first, which the log no longer keeps.
func (c *Reducer) Trim(first ident.Offset) {
	n := 0
	for n < len(c.order) && c.order[n].offset < first {
		m := c.order[n]
		if m.release {
			delete(c.released, m.attempt)
		} else {
			c.remove(m.key, m.attempt)
		}
		n++
	}
	c.order = c.order[n:]
	c.next = max(c.next, first)
}

// Holder returns the first live claim on a key and its offset.
func (c *Reducer) Holder(key Key) (Claim, ident.Offset, bool) {
	ps := c.claims[key]
	if len(ps) == 0 {
		return Claim{}, 0, false
	}
	return ps[0].claim, ps[0].offset, true
}

// Has tells whether an attempt's claim on a key is live.
func (c *Reducer) Has(key Key, attempt ident.Request) bool {
	for _, p := range c.claims[key] {
		if p.claim.Attempt == attempt {
			return true
		}
	}
	return false
}

// Len returns the number of keys with a live claim.
func (c *Reducer) Len() int {
	return len(c.claims)
}
