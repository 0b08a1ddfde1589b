// Package claimrelayer brings claims to the one entry host of the availability zone that writes their stream, so that few
// hosts append and read each stream.
package claimrelayer

import (
	"context"
	"sync"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/claimwriter"
	"github.com/nutmegdock/nutmegdock/internal/core/claimreducer"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/ranker"
	"github.com/nutmegdock/nutmegdock/internal/membership"
	"github.com/nutmegdock/nutmegdock/internal/messages"
)

const (
	// callTime bounds a call to a writer.
	callTime = 1500 * time.Millisecond
	// releaseTime bounds the call that hands a release to a writer.
	releaseTime = time.Second
	// avoidTime is how long a writer that did not answer is passed over.
	avoidTime = 5 * time.Second
	// rankKey is what entry hosts are ranked by as writers.
	rankKey = "claims"
)

// Relayer chooses the writer of each claim. Set its fields before use.
//
// A claim that a writer did not answer is made again by another writer. That is safe: the record names the attempt, a
// second record of the same attempt changes nothing, and all readers of the log decide alike. Writers never release a
// claim by themselves, since only the attempt's own host knows whether it was used.
type Relayer struct {
	// Host is the own entry host.
	Host ident.Host
	// Zone returns the entry hosts of the own availability zone that are not leaving.
	Zone func() []membership.Member
	// Writer writes the claims for which the own host is the writer, or which no other takes.
	Writer *claimwriter.Writer
	// Send brings a claim to another entry host's claim writer.
	Send func(ctx context.Context, control string, q messages.ClaimQuery) (messages.ClaimAnswer, error)

	mu    sync.Mutex
	avoid map[ident.Host]time.Time
}

// Claim claims a key. Errors are as those of the claim writer.
func (r *Relayer) Claim(ctx context.Context, c claimreducer.Claim) (claimwriter.Decision, error) {
	w, ok := r.writer(c.Key)
	if !ok {
		return r.Writer.Claim(ctx, c)
	}
	call, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	a, err := r.send(call, w, claimreducer.Record{Claims: []claimreducer.Claim{c}})
	if err == nil {
		return ticketOf(c, a)
	}
	r.pass(w.Host)
	t, err := r.Writer.Claim(ctx, c)
	t.MayBeLogged = true
	return t, err
}

func (r *Relayer) send(ctx context.Context, w membership.Member, rec claimreducer.Record) (messages.ClaimAnswer, error) {
	data, err := rec.Encode()
	if err != nil {
		return messages.ClaimAnswer{}, err
	}
	return r.Send(ctx, w.Control, messages.ClaimQuery{Record: data})
}

func ticketOf(c claimreducer.Claim, a messages.ClaimAnswer) (claimwriter.Decision, error) {
	t := claimwriter.Decision{Stream: claimwriter.StreamName(c.Key), Offset: a.Offset, Won: a.Won, MayBeLogged: a.Written}
	switch {
	case a.Won:
		t.Holder = c
	case a.Failed || a.Holder == nil:
		return t, claimwriter.LogUnavailable("the log service cannot be reached")
	default:
		t.Holder = *a.Holder
	}
	return t, nil
}

// Release gives up a claim whose attempt was not run and never will be.
func (r *Relayer) Release(k claimreducer.Key, attempt ident.Request) {
	w, ok := r.writer(k)
	if !ok {
		r.Writer.Release(k, attempt)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTime)
		defer cancel()
		if _, err := r.send(ctx, w, claimreducer.Record{Releases: []claimreducer.Release{{Key: k, Attempt: attempt}}}); err != nil {
			r.pass(w.Host)
			r.Writer.Release(k, attempt)
		}
	}()
}

// Serve writes a claim or a release of another entry host.
func (r *Relayer) Serve(ctx context.Context, q messages.ClaimQuery) (messages.ClaimAnswer, error) {
	rec, err := claimreducer.Decode(q.Record)
	if err != nil {
		return messages.ClaimAnswer{}, err
	}
	for _, rel := range rec.Releases {
		r.Writer.Release(rel.Key, rel.Attempt)
	}
	if len(rec.Claims) != 1 {
		return messages.ClaimAnswer{}, nil
	}
	t, err := r.Writer.Claim(ctx, rec.Claims[0])
	a := messages.ClaimAnswer{Offset: t.Offset, Won: t.Won, Written: t.MayBeLogged, Failed: err != nil}
	if err == nil && !t.Won {
		a.Holder = &t.Holder
	}
	return a, nil
}

// writer returns the entry host that writes a key's stream; false stands for the own one.
func (r *Relayer) writer(k claimreducer.Key) (membership.Member, bool) {
	members := make(map[ident.Host]membership.Member)
	hosts := []ident.Host{r.Host}
	for _, m := range r.Zone() {
		if m.Host != r.Host && !r.isPassed(m.Host) {
			members[m.Host] = m
			hosts = append(hosts, m.Host)
		}
	}
	// The streams go to different hosts, where there are enough.
	ranked := ranker.Rank(rankKey, hosts)
	m, ok := members[ranked[claimwriter.StreamIndex(k)%len(ranked)]]
	return m, ok
}

func (r *Relayer) pass(h ident.Host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.avoid == nil {
		r.avoid = make(map[ident.Host]time.Time)
	}
	r.avoid[h] = time.Now().Add(avoidTime)
}

func (r *Relayer) isPassed(h ident.Host) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Now().Before(r.avoid[h])
}
