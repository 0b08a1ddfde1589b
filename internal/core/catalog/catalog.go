// Package catalog defines the records of the configuration log and the objects that they change.
package catalog

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/manifest"
)

// Kind tells what stands behind an endpoint.
type Kind string

// Kinds of back ends.
const (
	KindEngine  Kind = "engine"
	KindService Kind = "service"
)

// Bias tells which measure of a burst matters more.
type Bias string

// Biases of a template.
const (
	BiasOrigin Bias = "origin"
	BiasTime   Bias = "time"
)

// Ref names one artifact version and pins its manifest by digest.
type Ref struct {
	Name    string       `json:"name"`
	Version string       `json:"version"`
	Digest  ident.Digest `json:"digest,omitempty"`
}

// Template holds the parameters that deployments share.
type Template struct {
	Kind     Kind       `json:"kind"`
	Pool     ident.Pool `json:"pool"`
	Model    *Ref       `json:"model,omitempty"`
	Adapters []Ref      `json:"adapters,omitempty"`
	Replicas int        `json:"replicas,omitempty"`
	// Most is the number of replicas that idle capacity may raise it to; no more than Replicas means that those are all it wants.
	Most     int          `json:"most,omitempty"`
	Floor    int          `json:"floor,omitempty"`
	Priority int          `json:"priority,omitempty"`
	Bias     Bias         `json:"bias,omitempty"`
	Zones    []ident.Zone `json:"zones,omitempty"`
	Repeat   []string     `json:"repeat,omitempty"`
	Open     []string     `json:"open,omitempty"`
}

// Deployment gives an organisation the use of a template, with overrides of the parameters that it opens.
type Deployment struct {
	Template ident.Template `json:"template"`
	Model    *Ref           `json:"model,omitempty"`
	Adapters *[]Ref         `json:"adapters,omitempty"`
	Replicas *int           `json:"replicas,omitempty"`
	Priority *int           `json:"priority,omitempty"`
	Zones    []ident.Zone   `json:"zones,omitempty"`
}

// Organisation holds a customer's access and share.
type Organisation struct {
	Key    ident.Digest `json:"key"`
	Weight int          `json:"weight,omitempty"`
}

// Record is one change of one object, as it stands in the log.
type Record struct {
	ID           ident.Change   `json:"id"`
	Object       ident.Object   `json:"object"`
	Base         ident.Revision `json:"base"`
	Author       ident.Author   `json:"author"`
	Time         time.Time      `json:"time"`
	Template     *Template      `json:"template,omitempty"`
	Deployment   *Deployment    `json:"deployment,omitempty"`
	Organisation *Organisation  `json:"organisation,omitempty"`
	Delete       bool           `json:"delete,omitempty"`
}

// Effective is a deployment with the parameters of its template filled in.
type Effective struct {
	Organisation ident.Organisation `json:"organisation"`
	Name         ident.Deployment   `json:"name"`
	Template     ident.Template     `json:"template"`
	Spec         Template           `json:"spec"`
	Set          ident.WeightSet    `json:"set,omitempty"`
	Previous     ident.WeightSet    `json:"previous,omitempty"`
}

// Error reports a record that cannot be read.
type Error struct {
	Reason string
}

// Error states the reason.
func (e *Error) Error() string {
	return fmt.Sprintf("change record: %s", e.Reason)
}

// Bounds of a record in the log. A record beyond them is malformed.
const (
	MaxRecordBytes = 64 << 10
	MaxObjectChars = 256
)

// Decode parses a record of the log.
func Decode(data []byte) (Record, error) {
	if len(data) > MaxRecordBytes {
		return Record{}, &Error{Reason: fmt.Sprintf("is longer than %d bytes", MaxRecordBytes)}
	}
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, &Error{Reason: err.Error()}
	}
	if r.ID == "" || r.Object == "" {
		return Record{}, &Error{Reason: "has no id or no object"}
	}
	if len(r.ID) > MaxIDLength || len(r.Author) > MaxAuthorChars || len(r.Object) > MaxObjectChars {
		return Record{}, &Error{Reason: "id, author or object is too long"}
	}
	return r, nil
}

// Encode returns the record as it is appended to the log.
func (r Record) Encode() ([]byte, error) {
	return json.Marshal(r)
}

// Refs returns the artifacts of the template, the model first.
func (t Template) Refs() []Ref {
	if t.Model == nil {
		return nil
	}
	return append([]Ref{*t.Model}, t.Adapters...)
}

// Set returns the weight set that the template asks for, or nothing for a plain service.
func (t Template) Set() ident.WeightSet {
	refs := t.Refs()
	if len(refs) == 0 {
		return ""
	}
	digests := make([]ident.Digest, len(refs))
	for i, r := range refs {
		digests[i] = r.Digest
	}
	return manifest.Set(digests...)
}

// Apply returns the template with the deployment's overrides.
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
