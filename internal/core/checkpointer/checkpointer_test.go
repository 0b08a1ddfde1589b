package checkpointer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/reducer"
)

// randomState returns a state after n random records, some of them refused, repeated or malformed.
func randomState(t testing.TB, seed uint64, n int) *reducer.Reducer {
	t.Helper()
	rnd := rand.New(rand.NewPCG(seed, 1))
	r := reducer.New()
	for range n {
		r.Apply(randomRecord(t, r, rnd))
	}
	return r
}

func randomRecord(t testing.TB, r *reducer.Reducer, rnd *rand.Rand) []byte {
	t.Helper()
	rec := catalog.Record{ID: ident.ChangeID(fmt.Sprint(rnd.IntN(500))), Author: "a"}
	switch rnd.IntN(4) {
	case 0:
		rec.Object = ident.ObjectPath(fmt.Sprintf("organisation/o%d", rnd.IntN(3)))
		rec.Organisation = &catalog.Organisation{Key: ident.Digest(fmt.Sprint(rnd.IntN(4)))}
	case 1:
		rec.Object = ident.ObjectPath(fmt.Sprintf("template/t%d", rnd.IntN(3)))
		rec.Template = &catalog.Template{
			Kind: catalog.KindEngine, Pool: "p", Model: &catalog.ArtifactRef{Name: "m", Version: "1", Digest: ident.Digest(fmt.Sprint(rnd.IntN(9)))},
		}
	case 2:
		rec.Object = ident.ObjectPath(fmt.Sprintf("deployment/o%d/d", rnd.IntN(3)))
		rec.Deployment = &catalog.Deployment{Template: ident.Template(fmt.Sprintf("t%d", rnd.IntN(3)))}
	default:
		rec.Object = ident.ObjectPath(fmt.Sprintf("template/t%d", rnd.IntN(3)))
		rec.Delete = true
	}
	if rnd.IntN(20) == 0 {
		return []byte("{")
	}
	e, _ := r.Object(rec.Object)
	rec.Base = e.Revision
	data, err := rec.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// TestRestoredStateEqualsOriginal compares both states after the restore and again after more records.
func TestRestoredStateEqualsOriginal(t *testing.T) {
	for seed := range uint64(20) {
		is := is.New(t)
		r := randomState(t, seed, 300)
		encoded, err := Encode(r)
		is.NoErr(err)
		restored, err := Decode(encoded.Parts, encoded.PartsDigest)
		is.NoErr(err)
		if diff := cmp.Diff(r.Deployments(), restored.Deployments()); diff != "" {
			t.Fatalf("seed %d: %s", seed, diff)
		}
		rnd := rand.New(rand.NewPCG(seed, 2))
		for range 100 {
			data := randomRecord(t, r, rnd)
			if diff := cmp.Diff(r.Apply(data), restored.Apply(data)); diff != "" {
				t.Fatalf("seed %d: %s", seed, diff)
			}
		}
		is.Equal(restored.Digest(), r.Digest())
		if diff := cmp.Diff(r.Deployments(), restored.Deployments()); diff != "" {
			t.Fatalf("seed %d: %s", seed, diff)
		}
		if diff := cmp.Diff(r.History(), restored.History()); diff != "" {
			t.Fatalf("seed %d: %s", seed, diff)
		}
	}
}

func TestDecodeRejectsCorruptData(t *testing.T) {
	is := is.New(t)
	encoded, err := Encode(randomState(t, 1, 50))
	is.NoErr(err)
	corrupt := append([]byte(nil), encoded.Parts[0]...)
	corrupt[len(corrupt)/2] ^= 1
	_, err = Decode([][]byte{corrupt}, encoded.PartsDigest)
	is.True(err != nil)
	_, err = DecodeCompletionMark([]byte(`{"offset":1}`))
	is.True(err != nil)
}

func TestCheckpointIsDueByAgeRecordsAndLogStart(t *testing.T) {
	is := is.New(t)
	base := Conditions{Offset: 100, LatestOffset: 90, LogStart: 50, Interval: time.Minute}
	is.True(!base.IsDue())
	old := base
	old.LatestAge = time.Minute
	is.True(old.ShouldWrite())
	old.Rank = 2
	is.True(!old.ShouldWrite()) // a host of a later rank waits first
	old.DueFor = 2 * RankDelay
	is.True(old.ShouldWrite())
	expired := base
	expired.LogStart = 95
	is.True(expired.IsDue())
	behind := expired
	behind.Offset = 94
	is.True(!behind.IsDue()) // the log cannot continue a state that ends before its start
	none := base
	none.LatestOffset = -1
	is.True(none.IsDue())
	long := base
	long.Offset = base.LatestOffset + MaxRecordsBetween
	is.True(long.IsDue())
}
