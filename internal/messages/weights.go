package messages

import "github.com/nutmegdock/nutmegdock/internal/core/ident"

// HaveMethod follows which chunks of artifacts an endpoint host holds. The answer comes when there is news, and
// after a second at the latest.
const HaveMethod = "have"

// HaveQuery names the artifacts, the place in the answerer's sequence of arrivals from which to go on, and the
// asker, which the answerer takes for a peer.
type HaveQuery struct {
	Artifacts []ident.Digest `json:"artifacts"`
	Epoch     int64          `json:"epoch"`
	Count     int            `json:"count"`
	Host      ident.Host     `json:"host"`
	Zone      ident.Zone     `json:"zone"`
	Region    ident.Region   `json:"region"`
	Data      string         `json:"data"`
	Control   string         `json:"control"`
	Offset    ident.Offset   `json:"offset"`
}

// HaveAnswer lists the indices of the chunks that arrived since the query's place, for each artifact. Full tells that
// they replace what the asker knew. Ages holds the milliseconds since the last sign of progress of each stripe.
type HaveAnswer struct {
	Epoch  int64        `json:"epoch"`
	Count  int          `json:"count"`
	Full   bool         `json:"full,omitempty"`
	Added  [][]int      `json:"added,omitempty"`
	Ages   []int        `json:"ages"`
	Offset ident.Offset `json:"offset"`
}
