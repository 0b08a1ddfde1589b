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
func (r *Reducer) Next() ident.Offset {
	return r.next
}

// Apply folds the record at an offset. Offsets below Next are ignored; an offset above it is a gap, after which the
// records in between count as expired.
func (r *Reducer) Apply(offset ident.Offset, rec Record) {
	if offset < r.next {
		return
	}
	r.next = offset + 1
	if r.claims == nil {
		r.claims = make(map[Key][]placed)
		r.released = make(map[ident.Request]bool)
	}
	for _, cl := range rec.Claims {
		r.add(offset, cl)
	}
	for _, rel := range rec.Releases {
		r.release(offset, rel)
	}
}

func (r *Reducer) add(offset ident.Offset, cl Claim) {
	if r.released[cl.Attempt] {
		return
	}
	for _, p := range r.claims[cl.Key] {
		if p.claim.Attempt == cl.Attempt {
			return
		}
	}
	r.claims[cl.Key] = append(r.claims[cl.Key], placed{claim: cl, offset: offset})
	r.order = append(r.order, mark{offset: offset, key: cl.Key, attempt: cl.Attempt})
}

func (r *Reducer) release(offset ident.Offset, rel Release) {
	r.remove(rel.Key, rel.Attempt)
	if r.released[rel.Attempt] {
		return
	}
	r.released[rel.Attempt] = true
	r.order = append(r.order, mark{offset: offset, key: rel.Key, attempt: rel.Attempt, release: true})
}

func (r *Reducer) remove(key Key, attempt ident.Request) {
	var kept []placed
	for _, p := range r.claims[key] {
		if p.claim.Attempt != attempt {
			kept = append(kept, p)
		}
	}
	if len(kept) == 0 {
		delete(r.claims, key)
		return
	}
	r.claims[key] = kept
}

// Trim forgets what stood in records below first, which the log no longer keeps.
func (r *Reducer) Trim(first ident.Offset) {
	n := 0
	for n < len(r.order) && r.order[n].offset < first {
		m := r.order[n]
		if m.release {
			delete(r.released, m.attempt)
		} else {
			r.remove(m.key, m.attempt)
		}
		n++
	}
	r.order = r.order[n:]
	r.next = max(r.next, first)
}

// Holder returns the first live claim on a key and its offset.
func (r *Reducer) Holder(key Key) (Claim, ident.Offset, bool) {
	ps := r.claims[key]
	if len(ps) == 0 {
		return Claim{}, 0, false
	}
	return ps[0].claim, ps[0].offset, true
}

// Has tells whether an attempt's claim on a key is live.
func (r *Reducer) Has(key Key, attempt ident.Request) bool {
	for _, p := range r.claims[key] {
		if p.claim.Attempt == attempt {
			return true
		}
	}
	return false
}

// Len returns the number of keys with a live claim.
func (r *Reducer) Len() int {
	return len(r.claims)
}
