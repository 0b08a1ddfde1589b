package assigner_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/assigner"
	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

// loadOf returns a load of requests that wait, by class, and of begun requests of the last rank.
func loadOf(begun int, waiting map[int]int, promptTokens int) assigner.Load {
	l := assigner.Load{Requests: begun}
	l.Classes[7].Requests = begun
	for c, n := range waiting {
		l.Requests += n
		l.PendingPromptTokens += n * promptTokens
		l.Classes[c].Requests += n
		l.Classes[c].Waiting += n
		l.Classes[c].PendingPromptTokens += n * promptTokens
	}
	return l
}

// predicted returns the predicted time to the first event of a request, and whether it is assigned.
func predicted(load assigner.Load, rank ident.Rank, timeLeft time.Duration) (time.Duration, bool) {
	a := &assigner.Assigner{Zone: "z", Random: func() float64 { return 0 }}
	a.SetPools(map[ident.Pool]*fleetconfig.Pool{"p": {Name: "p", Engine: billingProfile}})
	e := fleetconfig.Endpoint{ID: "e", Pool: "p", Zone: "z", Models: []fleetconfig.ServedModel{{Model: "m", Release: 1}}}
	a.SetEndpoints([]fleetconfig.Endpoint{e})
	a.SetReport(e, load)
	q := assigner.Query{Pool: "p", Model: "m", Release: 1, PromptTokens: 700, Rank: rank, TimeLeft: timeLeft}
	first := a.Snapshot(q).EarliestFirstEvent
	_, refusal := a.Assign(q)
	return first, refusal == ""
}

// A prediction that counts all waiting requests refuses urgent requests where less urgent ones wait, although the engine
// admits the urgent ones first.
func TestOnlyMoreUrgentRequestsAreAhead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		full := loadOf(12, map[int]int{2: 3}, 1000)
		first, _ := predicted(full, 0, time.Second)
		same, _ := predicted(full, 2, time.Second)
		last, _ := predicted(full, 3, time.Second)
		is.True(first < same-200*time.Millisecond)
		is.True(same <= last)
		alone, _ := predicted(loadOf(12, nil, 0), 0, time.Second)
		is.Equal(first, alone) // nothing that waits is ahead
		late, _ := predicted(loadOf(12, map[int]int{8: 3}, 1000), 7, time.Second)
		is.Equal(late, alone) // requests whose objective has passed are ahead of none in time
	})
}

// A less urgent request at a full engine waits longer the more of the slots more urgent requests use: others of them
// arrive in the meantime.
func TestMoreUrgentArrivalsAreExpected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := loadOf(12, nil, 0)
		few, _ := predicted(l, 1, 10*time.Second)
		l.Classes[0].Requests, l.Classes[7].Requests = 6, 6
		many, _ := predicted(l, 1, 10*time.Second)
		is.True(many > few+50*time.Millisecond)
	})
}

// Requests whose objective has passed must leave an engine that another of them waits at.
func TestFewLateRequestsWaitAtAnEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, ok := predicted(loadOf(6, map[int]int{8: 1}, 100), 0, -time.Second)
		is.True(ok)
		_, ok = predicted(loadOf(6, map[int]int{8: 2}, 100), 0, -time.Second)
		is.True(!ok)
	})
}
