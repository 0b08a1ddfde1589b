package chargedreader_test

import (
	"bytes"
	"errors"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/chargedreader"
)

// Guards against memory that is held before it is charged, or charged after it is released, and against a body of the largest
// legal size that takes more than one and a half times its size.
func TestChargesCoverWhatIsHeld(t *testing.T) {
	const limit = 4 << 20
	for _, n := range []int{0, 1, 4095, 4096, 4097, 100_000, limit - 1, limit} {
		for _, size := range []int64{int64(n), -1} {
			is := is.New(t)
			charged, most := 0, 0
			r := chargedreader.Reader{Size: size, Limit: limit, Grow: func(n int) bool {
				charged += n
				most = max(most, charged)
				return true
			}}
			want := bytes.Repeat([]byte("a"), n)
			got, err := r.ReadAll(iotest.DataErrReader(bytes.NewReader(want)))
			is.NoErr(err)
			is.True(bytes.Equal(got, want))
			is.Equal(charged, cap(got))
			is.True(most <= max(3*4096, (limit+1)*3/2))
			is.True(size < 0 || most == n+1)
		}
	}
}

// Guards against a body that is read at a pace and counts as one that makes progress.
func TestCostlyBodyMakesNoProgress(t *testing.T) {
	is := is.New(t)
	const limit, cheap = 1 << 20, 100_000
	received := 0
	r := chargedreader.Reader{
		Size: -1, Limit: limit, Grow: func(int) bool { return true }, Receive: func(n int) { received += n }, IsCostly: func() bool { return received >= cheap },
	}
	_, err := r.ReadAll(iotest.HalfReader(bytes.NewReader(make([]byte, limit))))
	is.NoErr(err)
	is.True(received >= cheap && received < limit/2)
	is.True(chargedreader.CostOf(bytes.NewReader(nil)) == nil)
}

// Guards against a body that is read on although it may not be held.
func TestRefusedBodyIsNotRead(t *testing.T) {
	is := is.New(t)
	const limit, stated = 1 << 20, 100_000
	for _, size := range []int64{stated, -1} {
		body := bytes.NewReader(make([]byte, stated))
		charged := 0
		r := chargedreader.Reader{Size: size, Limit: limit, Grow: func(n int) bool {
			ok := charged+n <= 20_000
			if ok {
				charged += n
			}
			return ok
		}}
		_, err := r.ReadAll(body)
		is.True(errors.Is(err, chargedreader.ErrRefused))
		is.True(stated-body.Len() <= 20_000)
	}
}
