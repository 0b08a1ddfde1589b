package messages

import (
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/hostregistrar"
)

// RecordsMethod asks the reader of a zone for records of the platform's store.
const RecordsMethod = "records"

// RecordsQuery names a topic and the offset from which to go on. Wait is the time in milliseconds to wait for a record.
type RecordsQuery struct {
	Topic string `json:"topic"`
	From  int64  `json:"from"`
	Wait  int64  `json:"wait,omitempty"`
}

// RecordsAnswer carries records up to the offset Next. Unknown says that the host does not hold them, or has not heard of
// the store for a while. Data is a JSON list, compressed if Packed is set.
type RecordsAnswer struct {
	Next    int64  `json:"next"`
	Unknown bool   `json:"unknown,omitempty"`
	Packed  bool   `json:"packed,omitempty"`
	Data    []byte `json:"data,omitempty"`
}

// FleetMethod asks an entry host for what the hosts beside engines need to know of the fleet.
const FleetMethod = "fleet"

// FleetQuery names the pool of the asker.
type FleetQuery struct {
	Pool ident.Pool `json:"pool"`
}

// FleetAnswer tells of one pool. Known is false while the host does not know the fleet itself.
type FleetAnswer struct {
	Known bool `json:"known"`
	// Origin is the address of the origin of weights, and Home its region.
	Origin string       `json:"origin,omitempty"`
	Home   ident.Region `json:"home,omitempty"`
	Model  string       `json:"model,omitempty"`
	// Release is the newest one, and Named the milliseconds since the host heard of it, below zero if that was at its own
	// start.
	Release int64 `json:"release,omitempty"`
	Named   int64 `json:"named,omitempty"`
	// Layers is the number of layers of the model.
	Layers int `json:"layers,omitempty"`
	// Seeds are the entry hosts.
	Seeds []hostregistrar.Entry `json:"seeds,omitempty"`
	// Engines are those of the pool.
	Engines []EngineEntry `json:"engines,omitempty"`
}

// EngineEntry is one engine by the address of its host.
type EngineEntry struct {
	Host ident.Host `json:"host"`
	Zone ident.Zone `json:"zone"`
	// Release is the one that the engine holds whole.
	Release int64 `json:"release,omitempty"`
}
