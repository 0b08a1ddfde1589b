package loadexchanger

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
)

// handoverTimeout is how long after a request for it a part of the permits is accepted. It is well below the time after
// which the former responder may be entitled to it again (permitsharer.SettleTime).
const handoverTimeout = 500 * time.Millisecond

// handover passes the permits for a cold endpoint from its former responder to the present one. Share is the part that is
// passed on, in the reply.
type handover struct {
	_        struct{} `cbor:",toarray"`
	Endpoint string
	Query    uint64
	IsReply  bool
	Share    float64
}

// RequestHandover asks the former responder of an endpoint for its part of the permits. OnHandover receives it.
func (x *Exchanger) RequestHandover(endpoint string, from netip.AddrPort) {
	id := rand.Uint64() | 1 // zero means no query
	x.mu.Lock()
	x.queries[id] = &query{endpoint: fleetconfig.Endpoint{ID: endpoint}, responder: from}
	x.mu.Unlock()
	time.AfterFunc(handoverTimeout, func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		delete(x.queries, id)
	})
	x.send(message{Host: x.Host, Handover: &handover{Endpoint: endpoint, Query: id}}, from)
}

func (x *Exchanger) handleHandover(m handover, from netip.AddrPort) {
	switch {
	case !m.IsReply && x.Cede != nil:
		x.send(message{Host: x.Host, Handover: &handover{Endpoint: m.Endpoint, Query: m.Query, IsReply: true, Share: x.Cede(m.Endpoint, from.Addr().Unmap())}}, from)
	case m.IsReply && x.OnHandover != nil:
		if q := x.endQuery(m.Query); q != nil && q.endpoint.ID == m.Endpoint && m.Share > 0 {
			x.OnHandover(m.Endpoint, m.Share)
		}
	}
}
