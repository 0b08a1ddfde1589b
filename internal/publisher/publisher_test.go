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

var errResponseLost = errors.New("response lost")

func record() catalog.Record {
	return catalog.Record{ID: "c1", Object: "organisation/a", Organisation: &catalog.Organisation{Key: "k"}}
}

// fakeLog applies appended records immediately. It can lose responses or be down.
type fakeLog struct {
	state           *reducer.Reducer
	appends         int
	responsesToLose int
	down            bool
}

func (l *fakeLog) publisher() *Publisher {
	return &Publisher{Append: l.append, FindAudit: l.state.FindChange, Changed: func() <-chan struct{} { return nil }}
}

func (l *fakeLog) append(_ context.Context, data []byte) (ident.Offset, error) {
	l.appends++
	if l.down {
		return 0, errors.New("down")
	}
	a := l.state.Apply(data)
	if l.responsesToLose > 0 {
		l.responsesToLose--
		return 0, errResponseLost
	}
	return a.Offset, nil
}

func TestChangeIsFoundInTheStateAfterALostResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := &fakeLog{state: reducer.New(), responsesToLose: 1}
		a, err := l.publisher().Publish(t.Context(), record())
		is.NoErr(err)
		is.Equal(a.Verdict, reducer.Accepted)
		is.Equal(l.appends, 1)
	})
}

func TestChangeWithAKnownIDIsNotAppendedAgain(t *testing.T) {
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

func TestOutageOfTheLogGivesUnconfirmedError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := &fakeLog{state: reducer.New(), down: true}
		begin := time.Now()
		_, err := l.publisher().Publish(t.Context(), record())
		var unconfirmed *UnconfirmedError
		is.True(errors.As(err, &unconfirmed))
		is.Equal(unconfirmed.ID, ident.ChangeID("c1"))
		is.Equal(time.Since(begin), publishTimeout)
		is.True(l.appends > 1) // the publisher appends again with the same id
	})
}
