package messages

import (
	"github.com/nutmegdock/nutmegdock/internal/core/assigner"
	"github.com/nutmegdock/nutmegdock/internal/core/crashsuspector"
	"github.com/nutmegdock/nutmegdock/internal/core/fleettracker"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/hostregistrar"
)

// RecordsMethod requests records of the platform's store from another entry host.
const RecordsMethod = "records"

// RecordsQuery requests the records of a topic from an offset on. WaitMs is the time in milliseconds to wait for a
// record, or until the host knows anew that there is none.
type RecordsQuery struct {
	Topic      string `json:"topic"`
	FromOffset int64  `json:"from"`
	// Epoch is the epoch of the store that the offset belongs to.
	Epoch  int64 `json:"epoch,omitempty"`
	WaitMs int64 `json:"wait,omitempty"`
}

// RecordsResponse contains the newest record of each key that has changed up to the offset NextOffset. Unknown is set if the host does not hold
// them. Data is a list in CBOR, compressed if Compressed is set.
type RecordsResponse struct {
	NextOffset int64 `json:"next"`
	// Since is the offset from which on Data serves a host at any offset. Before it, Data serves hosts at the offset of the query alone.
	// Zero stands for NextOffset.
	Since int64 `json:"since,omitempty"`
	// Epoch is the epoch of the store that the records belong to. If it is later than that of the query, there are none.
	Epoch int64 `json:"epoch,omitempty"`
	// AgeMs is the time in milliseconds since the records were known to be complete up to NextOffset.
	AgeMs int64 `json:"age,omitempty"`
	// HeldMs is the time in milliseconds for which the host has waited for news.
	HeldMs  int64 `json:"held,omitempty"`
	Unknown bool  `json:"unknown,omitempty"`
	// Pending is set if the host receives newer records at the moment.
	Pending bool `json:"pending,omitempty"`
	// Whole is set if Data holds all keys, so that others have been removed.
	Whole      bool   `json:"whole,omitempty"`
	Compressed bool   `json:"packed,omitempty"`
	Data       []byte `json:"data,omitempty"`
}

// SnapshotMethod requests the newest value of each key of a topic from an entry host. Its result is a RecordsResponse.
const SnapshotMethod = "snapshot"

// SnapshotQuery requests a snapshot of a topic, of an epoch or a later one. WaitMs is the time in milliseconds to wait for it; zero selects a
// default.
type SnapshotQuery struct {
	Topic  string `json:"topic"`
	Epoch  int64  `json:"epoch,omitempty"`
	WaitMs int64  `json:"wait,omitempty"`
}

// NewestMethod requests the newest state that an entry host has seen, for a host that starts.
const NewestMethod = "newest"

// NewestResponse is the newest state that an entry host has seen.
type NewestResponse struct {
	// Values holds the newest configuration and releases, as the operator wrote them. They are sent as Data, a list in CBOR,
	// compressed if Compressed is set.
	Values     map[string][]byte `json:"-"`
	Compressed bool              `json:"packed,omitempty"`
	Data       []byte            `json:"data,omitempty"`
	// Departures lists the endpoints that are draining or gone.
	Departures []fleettracker.Departure `json:"gone,omitempty"`
	// KnowsFacts is set if the host has learned the facts about crashes since its own start, and Facts are those.
	KnowsFacts bool                 `json:"knows,omitempty"`
	Facts      crashsuspector.Facts `json:"facts,omitzero"`
}

// FleetMethod requests the fleet state that the hosts beside engines need from an entry host.
const FleetMethod = "fleet"

// FleetQuery requests the fleet state of the sender's pool.
type FleetQuery struct {
	Pool ident.Pool `json:"pool"`
	// Digest is that of the state that the sender holds; zero if it holds none.
	Digest uint64 `json:"digest,omitempty"`
	// Engine is the address of the engine whose last gate state the sender asks for; empty if it knows it.
	Engine string `json:"engine,omitempty"`
}

// FleetResponse is the fleet state of one pool. Known is false while the responding host does not know the fleet
// itself.
type FleetResponse struct {
	Known bool `json:"known"`
	// Digest identifies the state, and Unchanged says that it is the one that the sender holds, so that no other field is
	// set.
	Digest    uint64 `json:"digest,omitempty"`
	Unchanged bool   `json:"unchanged,omitempty"`
	// Gate is the last gate state of the engine that the query names; nil if none is known. It is not part of the digest.
	Gate *assigner.GateState `json:"gate,omitempty"`
	// OriginAddress is the address of the origin that stores the weights, and OriginRegion is its region.
	OriginAddress string       `json:"origin,omitempty"`
	OriginRegion  ident.Region `json:"home,omitempty"`
	Model         string       `json:"model,omitempty"`
	// NewestRelease is the newest release, and ReleaseAgeMs the time in milliseconds since its earliest possible publication,
	// as far as the responding host knows; zero if it is unknown. ReleaseAgeMs is not part of the digest.
	NewestRelease int64 `json:"release,omitempty"`
	ReleaseAgeMs  int64 `json:"age,omitempty"`
	// Layers is the number of layers of the model.
	Layers int `json:"layers,omitempty"`
	// Chunks and ChunkBytes are the shape of a release of the model.
	Chunks     int         `json:"chunks,omitempty"`
	ChunkBytes ident.Bytes `json:"size,omitempty"`
	// Seeds are the entry hosts.
	Seeds []hostregistrar.Entry `json:"seeds,omitempty"`
	// Engines are the engines of the pool.
	Engines []EngineInfo `json:"engines,omitempty"`
}

// EngineInfo describes one engine by the host beside it.
type EngineInfo struct {
	Host ident.Host `json:"host"`
	Zone ident.Zone `json:"zone"`
	// FullRelease is the release of which the engine holds all layers.
	FullRelease int64 `json:"release,omitempty"`
}
