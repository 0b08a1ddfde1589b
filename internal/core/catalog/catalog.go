// Package catalog defines the objects of the configuration, the records of the configuration log that change them, and
// the rules that they have to satisfy.
package catalog

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/manifest"
)

// BackendKind is the kind of back end beside an endpoint host.
type BackendKind string

// Kinds of back ends.
const (
	KindEngine  BackendKind = "engine"
	KindService BackendKind = "service"
)

// FetchGoal says what to optimise when many hosts fetch the same weights at the same time: few reads from the origin,
// or a short time until all hosts have them.
type FetchGoal string

// Values of FetchGoal.
const (
	MinimizeOriginReads FetchGoal = "origin"
	MinimizeFetchTime   FetchGoal = "time"
)

// ArtifactRef names one artifact version and pins its manifest by digest.
type ArtifactRef struct {
	Name    string       `json:"name"`
	Version string       `json:"version"`
	Digest  ident.Digest `json:"digest,omitempty"`
}

// Template holds the parameters that several deployments share.
type Template struct {
	Kind     BackendKind   `json:"kind"`
	Pool     ident.Pool    `json:"pool"`
	Model    *ArtifactRef  `json:"model,omitempty"`
	Adapters []ArtifactRef `json:"adapters,omitempty"`
	Replicas int           `json:"replicas,omitempty"`
	// MaxReplicas is the number of replicas up to which idle hosts may be used. A value of at most Replicas has no effect.
	MaxReplicas int `json:"most,omitempty"`
	// MinServing is the number of replicas that must keep serving while weights change.
	MinServing int          `json:"floor,omitempty"`
	Priority   int          `json:"priority,omitempty"`
	FetchGoal  FetchGoal    `json:"bias,omitempty"`
	Zones      []ident.Zone `json:"zones,omitempty"`
	// IdempotentRoutes lists the idempotent routes of a service, each a method and a path pattern.
	IdempotentRoutes []string `json:"repeat,omitempty"`
	// Overridable lists the parameters that a deployment may override.
	Overridable []string `json:"open,omitempty"`
}

// Deployment lets an organisation use a template. It may override the parameters that the template lists in
// Overridable.
type Deployment struct {
	Template ident.Template `json:"template"`
	Model    *ArtifactRef   `json:"model,omitempty"`
	Adapters *[]ArtifactRef `json:"adapters,omitempty"`
	Replicas *int           `json:"replicas,omitempty"`
	Priority *int           `json:"priority,omitempty"`
	Zones    []ident.Zone   `json:"zones,omitempty"`
}

// Organisation holds the digest of a customer's key and the weight of its share of the capacity.
type Organisation struct {
	Key    ident.Digest `json:"key"`
	Weight int          `json:"weight,omitempty"`
}

// Record is the change of one object, as stored in the configuration log.
type Record struct {
	ID           ident.ChangeID   `json:"id"`
	Object       ident.ObjectPath `json:"object"`
	Base         ident.Revision   `json:"base"`
	Author       ident.Author     `json:"author"`
	Time         time.Time        `json:"time"`
	Template     *Template        `json:"template,omitempty"`
	Deployment   *Deployment      `json:"deployment,omitempty"`
	Organisation *Organisation    `json:"organisation,omitempty"`
	Delete       bool             `json:"delete,omitempty"`
}

// EffectiveDeployment is a deployment with its template applied.
type EffectiveDeployment struct {
	Organisation ident.Organisation `json:"organisation"`
	Name         ident.Deployment   `json:"name"`
	Template     ident.Template     `json:"template"`
	Spec         Template           `json:"spec"`
	WeightSet    ident.WeightSet    `json:"set,omitempty"`
	// PreviousWeightSet is the weight set before the latest change of the weight set.
	PreviousWeightSet ident.WeightSet `json:"previous,omitempty"`
}

// RecordError reports a record that cannot be decoded or used.
type RecordError struct {
	Reason string
}

// Error returns the reason. It enters the digest of the configuration state, which hosts compare.
func (e *RecordError) Error() string {
	return fmt.Sprintf("change record: %s", e.Reason)
}

// Limits of a record in the log. A record that exceeds them is malformed.
const (
	MaxRecordBytes = 64 << 10
	MaxObjectBytes = 256
)

// Decode parses a record of the log.
func Decode(data []byte) (Record, error) {
	if len(data) > MaxRecordBytes {
		return Record{}, &RecordError{Reason: fmt.Sprintf("is longer than %d bytes", MaxRecordBytes)}
	}
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, &RecordError{Reason: err.Error()}
	}
	if r.ID == "" || r.Object == "" {
		return Record{}, &RecordError{Reason: "has no id or no object"}
	}
	if len(r.ID) > MaxIDBytes || len(r.Author) > MaxAuthorBytes || len(r.Object) > MaxObjectBytes {
		return Record{}, &RecordError{Reason: "id, author or object is too long"}
	}
	return r, nil
}

// Encode returns the record in the form in which it is appended to the log.
func (r Record) Encode() ([]byte, error) {
	return json.Marshal(r)
}

// Refs returns the artifacts of the template, the model first.
func (t Template) Refs() []ArtifactRef {
	if t.Model == nil {
		return nil
	}
	return append([]ArtifactRef{*t.Model}, t.Adapters...)
}

// WeightSet returns the weight set of the template's artifacts, or an empty one if it has none, as a service.
func (t Template) WeightSet() ident.WeightSet {
	refs := t.Refs()
	if len(refs) == 0 {
		return ""
	}
	digests := make([]ident.Digest, len(refs))
	for i, r := range refs {
		digests[i] = r.Digest
	}
	return manifest.WeightSetOf(digests...)
}

// Apply returns a copy of the template with the deployment's overrides applied.
func (d Deployment) Apply(t Template) Template {
	if d.Model != nil {
		t.Model = d.Model
	}
	if d.Adapters != nil {
		t.Adapters = *d.Adapters
	}
	if d.Replicas != nil {
		t.Replicas = *d.Replicas
	}
	if d.Priority != nil {
		t.Priority = *d.Priority
	}
	if len(d.Zones) > 0 {
		t.Zones = d.Zones
	}
	return t
}
