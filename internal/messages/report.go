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
	Host        ident.Host   `json:"host"`
	Zone        ident.Zone   `json:"zone"`
	Region      ident.Region `json:"region"`
	Pool        ident.Pool   `json:"pool"`
	DataAddress string       `json:"data"`
	StartTime   int64        `json:"birth"`
	Offset      ident.Offset `json:"offset"`
	GateOpen    bool         `json:"open"`
	Leaving     bool         `json:"leaving"`
	// Unfenced is set if the engine does not check fencing tokens, and so obeys load commands from any host.
	Unfenced    bool            `json:"unfenced,omitempty"`
	ServedSet   ident.WeightSet `json:"set,omitempty"`
	AssignedSet ident.WeightSet `json:"want,omitempty"`
	// AssignedSince is the configuration offset at which AssignedSet last changed.
	AssignedSince ident.Offset `json:"since,omitempty"`
	InFlight      int          `json:"running"`
	Slots         int          `json:"slots"`
	HeldChunks    int          `json:"chunks"`
	TotalChunks   int          `json:"total"`
	// ReceivedBytes is the number of chunk bytes that the host has received since its start, by source.
	ReceivedBytes SourceBytes `json:"bytes,omitzero"`
	// SentMs is when the report was made, in milliseconds since the host's start by its monotonic clock.
	SentMs int64 `json:"time"`
	// MaxIntervalSeconds is the maximum time in seconds until the host sends its next message to the receiver.
	MaxIntervalSeconds int `json:"every"`
}

// LoadUpdateMethod notifies an entry host of an endpoint host's load.
const LoadUpdateMethod = "load"

// LoadUpdate updates an endpoint host's last Report until the next one.
type LoadUpdate struct {
	Host      ident.Host   `json:"host"`
	StartTime int64        `json:"birth"`
	SentMs    int64        `json:"time"`
	Offset    ident.Offset `json:"offset"`
	InFlight  int          `json:"running"`
	Slots     int          `json:"slots"`
}

// ReportAck is the response to a Report, with the receiver's configuration offset. RolloutCounts counts the replicas of
// the pool by weight set. It is sent only while the reporting host has to change its weight set.
type ReportAck struct {
	Offset        ident.Offset              `json:"offset"`
	RolloutCounts []rolloutlimiter.SetCount `json:"wave,omitempty"`
}

// Header encodes the load as a header field of a response: the host's start time, the time, offset,
// requests in flight and slots.
func (l LoadUpdate) Header() string {
	b := make([]byte, 0, 64)
	for _, n := range []int64{l.StartTime, l.SentMs, int64(l.Offset), int64(l.InFlight), int64(l.Slots)} {
		b = strconv.AppendInt(b, n, 10)
		b = append(b, ' ')
	}
	return string(b[:len(b)-1])
}

// ParseLoadUpdate parses the header field of a host's response.
func ParseLoadUpdate(h ident.Host, field string) (LoadUpdate, bool) {
	var n [5]int64
	for i := range n {
		word, rest, _ := strings.Cut(field, " ")
		v, err := strconv.ParseInt(word, 10, 64)
		if err != nil {
			return LoadUpdate{}, false
		}
		n[i] = v
		field = rest
	}
	l := LoadUpdate{Host: h, StartTime: n[0], SentMs: n[1], Offset: ident.Offset(n[2]), InFlight: int(n[3]), Slots: int(n[4])}
	return l, field == ""
}
