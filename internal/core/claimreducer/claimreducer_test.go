package claimreducer_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/claimreducer"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

func claim(key claimreducer.KeyDigest, attempt ident.RequestID) claimreducer.Record {
	return claimreducer.Record{Claims: []claimreducer.Claim{{Key: key, Attempt: attempt}}}
}

func release(key claimreducer.KeyDigest, attempt ident.RequestID) claimreducer.Record {
	return claimreducer.Record{Releases: []claimreducer.Release{{Key: key, Attempt: attempt}}}
}

func holder(r *claimreducer.Reducer) ident.RequestID {
	held, _, _ := r.Holder("k")
	return held.Attempt
}

func TestFirstLiveClaimHoldsKey(t *testing.T) {
	is := is.New(t)
	var r claimreducer.Reducer
	r.Apply(0, claim("k", "a"))
	r.Apply(1, claim("k", "b"))
	r.Apply(1, claim("k", "again")) // already applied offset
	is.Equal(holder(&r), ident.RequestID("a"))
	r.Apply(2, release("k", "a"))
	is.Equal(holder(&r), ident.RequestID("b")) // holds until its host releases it too
	r.Apply(3, release("k", "b"))
	is.Equal(r.Len(), 0)
}

func TestClaimAfterItsReleaseIsIgnored(t *testing.T) {
	is := is.New(t)
	var r claimreducer.Reducer
	r.Apply(0, release("k", "late"))
	r.Apply(1, claim("k", "late"))
	is.Equal(r.Len(), 0)
}

// TestDiscardKeepsLaterClaim checks that a reader that has discarded an expired claim and one that never applied it
// agree on the claim that holds the key next.
func TestDiscardKeepsLaterClaim(t *testing.T) {
	is := is.New(t)
	var slow, quick claimreducer.Reducer
	slow.Apply(0, claim("k", "a"))
	slow.Apply(1, claim("k", "b"))
	slow.DiscardBefore(1)
	quick.DiscardBefore(1)
	quick.Apply(1, claim("k", "b"))
	is.Equal(holder(&slow), ident.RequestID("b"))
	is.Equal(holder(&quick), ident.RequestID("b"))
	is.Equal(slow.NextOffset(), quick.NextOffset())
}

func TestEncodedRecordDecodesToSameContent(t *testing.T) {
	is := is.New(t)
	record := claimreducer.Record{
		Claims: []claimreducer.Claim{
			{Key: "00ff", RequestDigest: "abcd", Attempt: "6ba7b810-9dad-11d1-80b4-00c04fd430c8", ControlAddress: "10.0.0.1:1"},
			{Key: "text", RequestDigest: "", Attempt: "request-1", ControlAddress: "10.0.0.2:1"},
			{Key: "AB", RequestDigest: "0", Attempt: "6BA7B810-9DAD-11D1-80B4-00C04FD430C8", ControlAddress: "10.0.0.1:1"},
		},
		Releases: []claimreducer.Release{{Key: "00ff", Attempt: "a"}},
	}
	data, err := record.Encode()
	is.NoErr(err)
	got, err := claimreducer.Decode(data)
	is.NoErr(err)
	is.Equal(got, record)
	for n := range data {
		_, err := claimreducer.Decode(data[:n])
		is.True(err != nil) // truncated records do not parse
	}
}
