// Package claimreducer applies a log stream of claims on idempotency keys and determines which claim holds each key.
package claimreducer

import (
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

// KeyDigest is the digest of an organisation, a deployment and a caller's idempotency key.
type KeyDigest string

// Claim is a request for the exclusive right to run the request of an idempotency key.
type Claim struct {
	Key KeyDigest `json:"key"`
	// RequestDigest is the digest of the request's method, path and body.
	RequestDigest string `json:"body"`
	// Attempt identifies the request that runs if the claim wins.
	Attempt ident.RequestID `json:"attempt"`
	// ControlAddress is the control address of the entry host that runs the attempt and caches its result.
	ControlAddress string `json:"control"`
}

// Release withdraws a claim whose attempt was not run and will not be run.
type Release struct {
	Key     KeyDigest       `json:"key"`
	Attempt ident.RequestID `json:"attempt"`
}

// Record is one log record of a claim stream. Its claims are applied before its releases.
type Record struct {
	Claims   []Claim
	Releases []Release
}

// Reducer holds the live claims of one stream in log order. A claim is live until it is released or its log record
// expires. The zero value is the state before the first record. It is not safe for concurrent use.
type Reducer struct {
	nextOffset ident.Offset
	claims     map[KeyDigest][]loggedClaim
	released   map[ident.RequestID]bool
	entries    []logEntry
}

type loggedClaim struct {
	claim  Claim
	offset ident.Offset
}

// logEntry is a claim or a release with the offset of its log record. DiscardBefore uses it to find what has expired.
type logEntry struct {
	offset    ident.Offset
	key       KeyDigest
	attempt   ident.RequestID
	isRelease bool
}

// NextOffset returns the offset of the next record to apply.
func (r *Reducer) NextOffset() ident.Offset {
	return r.nextOffset
}

// Apply applies the record at an offset. It ignores offsets below NextOffset. If the offset is above NextOffset, the
// records in between count as expired.
func (r *Reducer) Apply(offset ident.Offset, rec Record) {
	if offset < r.nextOffset {
		return
	}
	r.nextOffset = offset + 1
	if r.claims == nil {
		r.claims = make(map[KeyDigest][]loggedClaim)
		r.released = make(map[ident.RequestID]bool)
	}
	for _, cl := range rec.Claims {
		r.addClaim(offset, cl)
	}
	for _, rel := range rec.Releases {
		r.applyRelease(offset, rel)
	}
}

func (r *Reducer) addClaim(offset ident.Offset, cl Claim) {
	if r.released[cl.Attempt] {
		return
	}
	for _, lc := range r.claims[cl.Key] {
		if lc.claim.Attempt == cl.Attempt {
			return
		}
	}
	r.claims[cl.Key] = append(r.claims[cl.Key], loggedClaim{claim: cl, offset: offset})
	r.entries = append(r.entries, logEntry{offset: offset, key: cl.Key, attempt: cl.Attempt})
}

func (r *Reducer) applyRelease(offset ident.Offset, rel Release) {
	r.removeClaim(rel.Key, rel.Attempt)
	if r.released[rel.Attempt] {
		return
	}
	r.released[rel.Attempt] = true
	r.entries = append(r.entries, logEntry{offset: offset, key: rel.Key, attempt: rel.Attempt, isRelease: true})
}

func (r *Reducer) removeClaim(key KeyDigest, attempt ident.RequestID) {
	var kept []loggedClaim
	for _, lc := range r.claims[key] {
		if lc.claim.Attempt != attempt {
			kept = append(kept, lc)
		}
	}
	if len(kept) == 0 {
		delete(r.claims, key)
		return
	}
	r.claims[key] = kept
}

// DiscardBefore removes the claims and releases of the records below the offset first, which the log no longer holds.
func (r *Reducer) DiscardBefore(first ident.Offset) {
	n := 0
	for n < len(r.entries) && r.entries[n].offset < first {
		e := r.entries[n]
		if e.isRelease {
			delete(r.released, e.attempt)
		} else {
			r.removeClaim(e.key, e.attempt)
		}
		n++
	}
	r.entries = r.entries[n:]
	r.nextOffset = max(r.nextOffset, first)
}

// Holder returns the claim that holds a key, which is the first live claim on it, and the claim's offset.
func (r *Reducer) Holder(key KeyDigest) (Claim, ident.Offset, bool) {
	claims := r.claims[key]
	if len(claims) == 0 {
		return Claim{}, 0, false
	}
	return claims[0].claim, claims[0].offset, true
}

// HasClaim reports whether an attempt's claim on a key is live.
func (r *Reducer) HasClaim(key KeyDigest, attempt ident.RequestID) bool {
	for _, lc := range r.claims[key] {
		if lc.claim.Attempt == attempt {
			return true
		}
	}
	return false
}

// Len returns the number of keys with a live claim.
func (r *Reducer) Len() int {
	return len(r.claims)
}
