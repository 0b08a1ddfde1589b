package publisher

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/reducer"
)

var errLost = errors.New("answer lost")

func record() catalog.Record {
	return catalog.Record{ID: "c1", Object: "organisation/a", Organisation: &catalog.Organisation{Key: "k"}}
}

// log folds what is appended at once, and can lose answers or be down.
type fakeLog struct {
	state   *reducer.Reducer
	appends int
	lose    int
	down    bool
}

func (l *fakeLog) publisher() *Publisher {
	return &Publisher{Append: l.append, Find: l.state.Find, Changed: func() <-chan struct{} { return nil }}
}

func (l *fakeLog) append(_ context.Context, data []byte) (ident.Offset, error) {
	l.appends++
	if l.down {
		return 0, errors.New("down")
	}
	a := l.state.Apply(data)
	if l.lose > 0 {
		l.lose--
		return 0, errLost
	}
	return a.Offset, nil
}

func TestLostAnswerIsFoundInTheFold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := &fakeLog{state: reducer.New(), lose: 1}
		a, err := l.publisher().Publish(t.Context(), record())
		is.NoErr(err)
		is.Equal(a.Verdict, reducer.Accepted)
		is.Equal(l.appends, 1)
	})
}

func TestSameIDIsPublishedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := &fakeLog{state: reducer.New()}
		first, err := l.publisher().Publish(t.Context(), record())
		is.NoErr(err)
		second, err := l.publisher().Publish(t.Context(), record())
		is.NoErr(err)
		is.Equal(first, second)
		is.Equal(l.appends, 1)
	})
}

func TestOutageEndsAsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := &fakeLog{state: reducer.New(), down: true}
		begin := time.Now()
		_, err := l.publisher().Publish(t.Context(), record())
		var unknown *UnknownError
		is.True(errors.As(err, &unknown))
		is.Equal(unknown.ID, ident.Change("c1"))
		is.Equal(time.Since(begin), acceptTime)
		is.True(l.appends > 1) // it tried again with the same id
	})
}
