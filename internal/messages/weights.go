package messages

import (
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/manifest"
)

// HaveMethod follows which chunks of artifacts an endpoint host holds. The answer comes when there is news, and
// after a second at the latest.
const HaveMethod = "have"

// HaveQuery names the asker and the place in the answerer's sequence of arrivals from which to go on. The first query,
// and one after the answer Unknown, also names the artifacts and describes the asker, which the answerer takes for a
// peer.
type HaveQuery struct {
	Host      ident.Host     `json:"host"`
	Epoch     int64          `json:"epoch"`
	Count     int            `json:"count"`
	Artifacts []ident.Digest `json:"artifacts,omitempty"`
	Zone      ident.Zone     `json:"zone,omitempty"`
	Region    ident.Region   `json:"region,omitempty"`
	Seed      bool           `json:"seed,omitempty"`
	Data      string         `json:"data,omitempty"`
	Control   string         `json:"control,omitempty"`
	Offset    ident.Offset   `json:"offset,omitempty"`
}

// HaveAnswer lists the indices of the chunks that arrived since the query's place, for each artifact. Full tells that
// they replace what the asker knew. Ages holds the milliseconds since the last sign of progress of each stripe.
// Unknown tells that the answerer has to be told the artifacts again.
type HaveAnswer struct {
	Epoch   int64 `json:"epoch"`
	Count   int   `json:"count"`
	Unknown bool  `json:"unknown,omitempty"`
	// Idle says that the host has nothing to do with the artifacts, so that nobody must wait for it.
	Idle   bool         `json:"idle,omitempty"`
	Full   bool         `json:"full,omitempty"`
	Added  [][]int      `json:"added,omitempty"`
	Ages   []int        `json:"ages,omitempty"`
	Offset ident.Offset `json:"offset,omitempty"`
}

// SourceBytes counts the chunk bytes that a host has received, by what they cost: from hosts of its zone, of its region,
// of other regions, from the weight store, and from the origin.
type SourceBytes struct {
	Zone   ident.Bytes `json:"zone,omitempty"`
	Region ident.Bytes `json:"region,omitempty"`
	Remote ident.Bytes `json:"remote,omitempty"`
	Store  ident.Bytes `json:"store,omitempty"`
	Origin ident.Bytes `json:"origin,omitempty"`
}

// Add returns the sum of two counts.
func (b SourceBytes) Add(o SourceBytes) SourceBytes {
	return SourceBytes{
		Zone:   b.Zone + o.Zone,
		Region: b.Region + o.Region,
		Remote: b.Remote + o.Remote,
		Store:  b.Store + o.Store,
		Origin: b.Origin + o.Origin,
	}
}

// ManifestMethod asks another host for the manifest of a release, when the origin does not give it.
const ManifestMethod = "manifest"

// ManifestQuery names a release of a model.
type ManifestQuery struct {
	Model   string `json:"model"`
	Release int64  `json:"release"`
}

// ManifestAnswer carries the manifest, if Known says that the host has it.
type ManifestAnswer struct {
	Known    bool              `json:"known"`
	Manifest manifest.Artifact `json:"manifest"`
}
