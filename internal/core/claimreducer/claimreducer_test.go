package claimreducer_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/claimreducer"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

func claim(key claimreducer.Key, attempt ident.Request) claimreducer.Record {
	return claimreducer.Record{Claims: []claimreducer.Claim{{Key: key, Attempt: attempt}}}
}

func release(key claimreducer.Key, attempt ident.Request) claimreducer.Record {
	return claimreducer.Record{Releases: []claimreducer.Release{{Key: key, Attempt: attempt}}}
}

func holder(c *claimreducer.Reducer) ident.Request {
	h, _, _ := c.Holder("k")
	return h.Attempt
}

func TestFirstClaimHolds(t *testing.T) {
	is := is.New(t)
	var c claimreducer.Reducer
	c.Apply(0, claim("k", "a"))
	c.Apply(1, claim("k", "b"))
	c.Apply(1, claim("k", "again")) // known offset
	is.Equal(holder(&c), ident.Request("a"))
	c.Apply(2, release("k", "a"))
	is.Equal(holder(&c), ident.Request("b")) // until its host releases it too
	c.Apply(3, release("k", "b"))
	is.Equal(c.Len(), 0)
}

func TestReleaseBeforeLateClaim(t *testing.T) {
	is := is.New(t)
	var c claimreducer.Reducer
	c.Apply(0, release("k", "late"))
	c.Apply(1, claim("k", "late"))
	is.Equal(c.Len(), 0)
}

// A reader that trimmed a claim and one that did not yet must agree on who may run after it.
func TestTrimKeepsLaterClaim(t *testing.T) {
	is := is.New(t)
	var slow, quick claimreducer.Reducer
	slow.Apply(0, claim("k", "a"))
	slow.Apply(1, claim("k", "b"))
	slow.Trim(1)
	quick.Trim(1)
	quick.Apply(1, claim("k", "b"))
	is.Equal(holder(&slow), ident.Request("b"))
	is.Equal(holder(&quick), ident.Request("b"))
	is.Equal(slow.Next(), quick.Next())
}

func TestRecordKeepsItsContent(t *testing.T) {
	is := is.New(t)
	r := claimreducer.Record{
		Claims: []claimreducer.Claim{
			{Key: "00ff", Body: "abcd", Attempt: "6ba7b810-9dad-11d1-80b4-00c04fd430c8", Control: "10.0.0.1:1"},
			{Key: "text", Body: "", Attempt: "request-1", Control: "10.0.0.2:1"},
			{Key: "AB", Body: "0", Attempt: "6BA7B810-9DAD-11D1-80B4-00C04FD430C8", Control: "10.0.0.1:1"},
		},
		Releases: []claimreducer.Release{{Key: "00ff", Attempt: "a"}},
	}
	data, err := r.Encode()
	is.NoErr(err)
	got, err := claimreducer.Decode(data)
	is.NoErr(err)
	is.Equal(got, r)
	for n := range data {
		_, err := claimreducer.Decode(data[:n])
		is.True(err != nil) // cut records do not parse
	}
}
