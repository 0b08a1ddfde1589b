package messages

import (
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/manifest"
)

// InventoryMethod requests the changes of the inventory of an endpoint host. The host responds at the next change, and
// after its heartbeat interval (two seconds by default) at the latest.
const InventoryMethod = "have"

// InventoryQuery identifies the sender and the position in the receiver's sequence of arrived chunks from which to
// continue. The first query, and the one after a response with Unknown set, also lists the artifacts and describes the
// sender, which the receiver then adds to its peers.
type InventoryQuery struct {
	Host           ident.Host     `json:"host"`
	Epoch          int64          `json:"epoch"`
	Position       int            `json:"count"`
	Artifacts      []ident.Digest `json:"artifacts,omitempty"`
	Zone           ident.Zone     `json:"zone,omitempty"`
	Region         ident.Region   `json:"region,omitempty"`
	IsSeed         bool           `json:"seed,omitempty"`
	DataAddress    string         `json:"data,omitempty"`
	ControlAddress string         `json:"control,omitempty"`
	Offset         ident.Offset   `json:"offset,omitempty"`
}

// InventoryResponse lists the indices of the chunks that arrived after the query's position, for each artifact. If Full
// is set, they replace the querying host's copy of the inventory. ProgressAges contains the milliseconds since the last
// progress of each stripe. If Unknown is set, the next query has to list the artifacts again.
type InventoryResponse struct {
	Epoch    int64 `json:"epoch"`
	Position int   `json:"count"`
	Unknown  bool  `json:"unknown,omitempty"`
	// Idle is set if the host neither holds nor fetches the artifacts, so that other hosts need not wait for it.
	Idle         bool         `json:"idle,omitempty"`
	Full         bool         `json:"full,omitempty"`
	AddedChunks  [][]int      `json:"added,omitempty"`
	ProgressAges []int        `json:"ages,omitempty"`
	Offset       ident.Offset `json:"offset,omitempty"`
}

// SourceBytes counts the chunk bytes that a host has received, by source in ascending order of cost: hosts of its zone,
// of its region, of other regions, the weight store, and the origin.
type SourceBytes struct {
	SameZone     ident.Bytes `json:"zone,omitempty"`
	SameRegion   ident.Bytes `json:"region,omitempty"`
	OtherRegions ident.Bytes `json:"remote,omitempty"`
	Store        ident.Bytes `json:"store,omitempty"`
	Origin       ident.Bytes `json:"origin,omitempty"`
}

// Add returns the sum of two counts.
func (b SourceBytes) Add(o SourceBytes) SourceBytes {
	return SourceBytes{
		SameZone:     b.SameZone + o.SameZone,
		SameRegion:   b.SameRegion + o.SameRegion,
		OtherRegions: b.OtherRegions + o.OtherRegions,
		Store:        b.Store + o.Store,
		Origin:       b.Origin + o.Origin,
	}
}

// ManifestMethod requests the manifest of a release from another host, for when the origin does not deliver it.
const ManifestMethod = "manifest"

// ManifestQuery requests the manifest of a release of a model.
type ManifestQuery struct {
	Model   string `json:"model"`
	Release int64  `json:"release"`
	// Held is the digest of the manifest that the sender uses; empty if it has none.
	Held ident.Digest `json:"held,omitempty"`
}

// ManifestResponse contains the manifest. Known is false if the host does not have it.
type ManifestResponse struct {
	Known    bool              `json:"known"`
	Manifest manifest.Artifact `json:"manifest"`
	// IsSame is true, and the manifest omitted, if the host uses the one that the query names.
	IsSame bool `json:"same,omitempty"`
	// Matched lists the numbers of the chunks that the host holds: content has matched their digests.
	Matched []int `json:"matched,omitempty"`
}
