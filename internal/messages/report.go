package messages

import (
	"strconv"
	"strings"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/rolloutlimiter"
)

// ReportMethod sends an endpoint host's Report to an entry host.
const ReportMethod = "report"

// Report is the state of an endpoint host. Entry hosts use it for routing and status.
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
	// Unfenced is set if the engine does not check fencing tokens, and so obeys load commands from any host.
	Unfenced bool            `json:"unfenced,omitempty"`
	Set      ident.WeightSet `json:"set,omitempty"`
	Want     ident.WeightSet `json:"want,omitempty"`
	// Since is the configuration offset at which Want last changed.
	Since   ident.Offset `json:"since,omitempty"`
	Running int          `json:"running"`
	Slots   int          `json:"slots"`
	Chunks  int          `json:"chunks"`
	Total   int          `json:"total"`
	// Bytes is the number of chunk bytes that the host has received since its start, by source.
	Bytes SourceBytes `json:"bytes,omitzero"`
	// Time is when the report was made, in milliseconds since the host's start by its monotonic clock.
	Time int64 `json:"time"`
	// Every is the maximum time in seconds until the host sends its next message to the receiver.
	Every int `json:"every"`
}

// LoadMethod notifies an entry host of an endpoint host's Load.
const LoadMethod = "load"

// Load updates an endpoint host's last Report until the next one.
type Load struct {
	Host    ident.Host   `json:"host"`
	Birth   int64        `json:"birth"`
	Time    int64        `json:"time"`
	Offset  ident.Offset `json:"offset"`
	Running int          `json:"running"`
	Slots   int          `json:"slots"`
}

// Ack is the response to a Report, with the receiver's configuration offset. Wave counts the replicas of the pool by
// weight set. It is sent only while the reporting host has to change its weight set.
type Ack struct {
	Offset ident.Offset           `json:"offset"`
	Wave   []rolloutlimiter.Count `json:"wave,omitempty"`
}

// Header encodes the load as a header field of a response: start time of the host, time, offset, running and slots.
func (l Load) Header() string {
	b := make([]byte, 0, 64)
	for _, n := range []int64{l.Birth, l.Time, int64(l.Offset), int64(l.Running), int64(l.Slots)} {
		b = strconv.AppendInt(b, n, 10)
		b = append(b, ' ')
	}
	return string(b[:len(b)-1])
}

// ParseLoad parses the header field of a host's response.
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
