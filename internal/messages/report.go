package messages

import (
	"strconv"
	"strings"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/rolloutlimiter"
)

// ReportMethod carries an endpoint host's Report to an entry host.
const ReportMethod = "report"

// Report is an endpoint host's state, as entry hosts use it for routing and status.
type Report struct {
	Host    ident.Host   `json:"host"`
	Zone    ident.Zone   `json:"zone"`
	Region  ident.Region `json:"region"`
	Pool    ident.Pool   `json:"pool"`
	Data    string       `json:"data"`
	Birth   int64        `json:"birth"`
	Offset  ident.Offset `json:"offset"`
	Open    bool         `json:"open"`
	Leaving bool         `json:"leaving"`
	// Unfenced marks an engine that does not check who orders it.
	Unfenced bool            `json:"unfenced,omitempty"`
	Set      ident.WeightSet `json:"set,omitempty"`
	Want     ident.WeightSet `json:"want,omitempty"`
	// Since is the configuration offset at which Want became what it is.
	Since   ident.Offset `json:"since,omitempty"`
	Running int          `json:"running"`
	Slots   int          `json:"slots"`
	Chunks  int          `json:"chunks"`
	Total   int          `json:"total"`
	// Bytes is where the host's chunks came from since it started.
	Bytes SourceBytes `json:"bytes,omitzero"`
	// Time is when the report was made, in milliseconds since Birth by a clock that is never set.
	Time int64 `json:"time"`
	// Every is the longest time in seconds until the receiver hears of the host again.
	Every int `json:"every"`
}

// LoadMethod notifies an entry host of a Load.
const LoadMethod = "load"

// Load brings an endpoint host's last Report up to date, between one and the next.
type Load struct {
	Host    ident.Host   `json:"host"`
	Birth   int64        `json:"birth"`
	Time    int64        `json:"time"`
	Offset  ident.Offset `json:"offset"`
	Running int          `json:"running"`
	Slots   int          `json:"slots"`
}

// Ack answers a Report with the receiver's offset. Wave is given while the reporting host is to leave the set it serves.
type Ack struct {
	Offset ident.Offset           `json:"offset"`
	Wave   []rolloutlimiter.Count `json:"wave,omitempty"`
}

// Header returns the load as a header field of an answer: birth, time, offset, running and slots.
func (l Load) Header() string {
	b := make([]byte, 0, 64)
	for _, n := range []int64{l.Birth, l.Time, int64(l.Offset), int64(l.Running), int64(l.Slots)} {
		b = strconv.AppendInt(b, n, 10)
		b = append(b, ' ')
	}
	return string(b[:len(b)-1])
}

// ParseLoad reads the header field of an answer of a host.
func ParseLoad(h ident.Host, field string) (Load, bool) {
	var n [5]int64
	for i := range n {
		word, rest, _ := strings.Cut(field, " ")
		v, err := strconv.ParseInt(word, 10, 64)
		if err != nil {
			return Load{}, false
		}
		n[i] = v
		field = rest
	}
	l := Load{Host: h, Birth: n[0], Time: n[1], Offset: ident.Offset(n[2]), Running: int(n[3]), Slots: int(n[4])}
	return l, field == ""
}
