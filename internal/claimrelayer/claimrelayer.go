// Package claimrelayer sends claims to the one entry host of the availability zone that writes their stream, so that
// few hosts append to and read each stream.
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
	// claimTimeout limits the call that sends a claim to a writer.
	claimTimeout = 1500 * time.Millisecond
	// releaseTimeout limits the call that sends a release to a writer.
	releaseTimeout = time.Second
	// avoidDuration is how long no claims are sent to a writer that did not respond.
	avoidDuration = 5 * time.Second
	// rankKey is the key by which entry hosts are ranked as writers.
	rankKey = "claims"
)

// Relayer chooses the writer of each claim. Set its fields before use.
//
// If a writer does not respond to a claim, another writer repeats the claim. This is safe: the record identifies the
// attempt, a second record of the same attempt changes nothing, and all readers of the log reach the same decision.
// Writers never release a claim on their own, because only the attempt's host knows whether the attempt was run.
type Relayer struct {
	// LocalHost is this entry host.
	LocalHost ident.Host
	// ZoneMembers returns the entry hosts of this availability zone that are not leaving.
	ZoneMembers func() []membership.Member
	// LocalWriter writes the claims for which this host is the writer, and those for which the other writer did not
	// respond.
	LocalWriter *claimwriter.Writer
	// Send sends a claim or a release to another entry host's claim writer.
	Send func(ctx context.Context, control string, q messages.ClaimQuery) (messages.ClaimResponse, error)

	mu           sync.Mutex
	avoidedUntil map[ident.Host]time.Time
}

// Claim claims a key. Its errors are those of claimwriter.Writer.Claim.
func (r *Relayer) Claim(ctx context.Context, c claimreducer.Claim) (claimwriter.Decision, error) {
	w, ok := r.remoteWriter(c.Key)
	if !ok {
		return r.LocalWriter.Claim(ctx, c)
	}
	callCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	a, err := r.sendRecord(callCtx, w, claimreducer.Record{Claims: []claimreducer.Claim{c}})
	if err == nil {
		return decisionFrom(c, a)
	}
	r.avoidHost(w.Host)
	d, err := r.LocalWriter.Claim(ctx, c)
	d.MayBeLogged = true // the writer that did not respond may have appended it
	return d, err
}

func (r *Relayer) sendRecord(ctx context.Context, w membership.Member, rec claimreducer.Record) (messages.ClaimResponse, error) {
	data, err := rec.Encode()
	if err != nil {
		return messages.ClaimResponse{}, err
	}
	return r.Send(ctx, w.ControlAddress, messages.ClaimQuery{Record: data})
}

func decisionFrom(c claimreducer.Claim, a messages.ClaimResponse) (claimwriter.Decision, error) {
	d := claimwriter.Decision{Stream: claimwriter.StreamName(c.Key), Offset: a.Offset, Won: a.Won, MayBeLogged: a.MayBeLogged}
	switch {
	case a.Won:
		d.Holder = c
	case a.Undecided || a.Holder == nil:
		return d, claimwriter.LogUnavailable("the log service cannot be reached")
	default:
		d.Holder = *a.Holder
	}
	return d, nil
}

// Release withdraws a claim whose attempt was not run and will not be run.
func (r *Relayer) Release(k claimreducer.KeyDigest, attempt ident.RequestID) {
	w, ok := r.remoteWriter(k)
	if !ok {
		r.LocalWriter.Release(k, attempt)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		if _, err := r.sendRecord(ctx, w, claimreducer.Record{Releases: []claimreducer.Release{{Key: k, Attempt: attempt}}}); err != nil {
			r.avoidHost(w.Host)
			r.LocalWriter.Release(k, attempt)
		}
	}()
}

// HandleQuery writes a claim or a release that another entry host sent.
func (r *Relayer) HandleQuery(ctx context.Context, q messages.ClaimQuery) (messages.ClaimResponse, error) {
	rec, err := claimreducer.Decode(q.Record)
	if err != nil {
		return messages.ClaimResponse{}, err
	}
	for _, rel := range rec.Releases {
		r.LocalWriter.Release(rel.Key, rel.Attempt)
	}
	if len(rec.Claims) != 1 {
		return messages.ClaimResponse{}, nil
	}
	d, err := r.LocalWriter.Claim(ctx, rec.Claims[0])
	a := messages.ClaimResponse{Offset: d.Offset, Won: d.Won, MayBeLogged: d.MayBeLogged, Undecided: err != nil}
	if err == nil && !d.Won {
		a.Holder = &d.Holder
	}
	return a, nil
}

// remoteWriter returns the entry host that writes a key's stream. It returns false if that is this host.
func (r *Relayer) remoteWriter(k claimreducer.KeyDigest) (membership.Member, bool) {
	members := make(map[ident.Host]membership.Member)
	hosts := []ident.Host{r.LocalHost}
	for _, m := range r.ZoneMembers() {
		if m.Host != r.LocalHost && !r.isAvoided(m.Host) {
			members[m.Host] = m
			hosts = append(hosts, m.Host)
		}
	}
	// The streams are assigned to different hosts if there are enough hosts.
	ranked := ranker.Rank(rankKey, hosts)
	m, ok := members[ranked[claimwriter.StreamIndex(k)%len(ranked)]]
	return m, ok
}

func (r *Relayer) avoidHost(h ident.Host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.avoidedUntil == nil {
		r.avoidedUntil = make(map[ident.Host]time.Time)
	}
	r.avoidedUntil[h] = time.Now().Add(avoidDuration)
}

func (r *Relayer) isAvoided(h ident.Host) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Now().Before(r.avoidedUntil[h])
}
