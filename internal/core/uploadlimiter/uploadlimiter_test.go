package uploadlimiter

import (
	"errors"
	"testing"

	"github.com/matryer/is"
)

func TestSlotsAreBoundedApart(t *testing.T) {
	is := is.New(t)
	u := &Limiter{Inside: 1, Outside: 1}
	release, err := u.Start(true)
	is.NoErr(err)
	_, err = u.Start(true)
	var busy *BusyError
	is.True(errors.As(err, &busy))
	is.True(busy.After > 0)
	_, err = u.Start(false)
	is.NoErr(err)
	release()
	release()
	is.Equal(u.Running(), 1)
	_, err = u.Start(true)
	is.NoErr(err)
}
