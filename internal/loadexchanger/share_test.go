package loadexchanger_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/assigner"
	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/loadexchanger"
)

// Two hosts serve different organisations. Only the responder beside the engine sees that one of them is above its share.
func TestResponderTellsShareOfOrganisation(t *testing.T) {
	is := is.New(t)
	responderConn, responder := listen(t)
	run(t, &loadexchanger.Exchanger{Host: "engine", Conn: responderConn})
	large := assigner.Requester{Rank: 1, Organisation: ident.Organisation("large").Key()}
	small := assigner.Requester{Rank: 1, Organisation: ident.Organisation("small").Key()}
	type share struct{ used, fair float64 }
	var mu sync.Mutex
	got := make(map[assigner.Requester]share)
	start := func(name ident.Host, started []assigner.Requester) *host {
		h := startHost(t, name, responder)
		h.TakeStarted = func(fleetconfig.Endpoint) []assigner.Requester {
			mu.Lock()
			defer mu.Unlock()
			out := started
			started = nil
			return out
		}
		h.OnShare = func(_ fleetconfig.Endpoint, r assigner.Requester, used, fair float64) {
			mu.Lock()
			defer mu.Unlock()
			got[r] = share{used, fair}
		}
		return h
	}
	many := make([]assigner.Requester, 12)
	for i := range many {
		many[i] = large
	}
	a, b := start("a", many), start("b", []assigner.Requester{small, small})
	query := func(h *host, r assigner.Requester) share {
		h.QueryFor(context.Background(), []fleetconfig.Endpoint{endpoint}, loadexchanger.Asker{Requester: r, IsFirst: true})
		mu.Lock()
		defer mu.Unlock()
		return got[r]
	}
	isAbove := func(s share) bool { return s.used > 1.5*s.fair }
	for end := time.Now().Add(5 * time.Second); !isAbove(query(a, large)) && time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for range 3 {
			query(a, large)
			query(b, small)
		}
	}
	is.True(isAbove(query(a, large)))
	is.True(!isAbove(query(b, small)))
	other := assigner.Requester{Rank: 0, Organisation: large.Organisation}
	is.True(!isAbove(query(a, other))) // it has had nothing of the other rank
}
