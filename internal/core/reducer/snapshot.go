package reducer

import (
	"maps"
	"slices"

	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

// Snapshot is the complete state in a form that can be encoded. The change ids are restored from the audit trail.
type Snapshot struct {
	Offset   ident.Offset                         `json:"offset"`
	Digest   ident.Digest                         `json:"digest"`
	Objects  map[ident.ObjectPath]*ObjectState    `json:"objects"`
	Previous map[ident.ObjectPath]ident.WeightSet `json:"previous"`
	// History omits each Before that equals the After of an earlier entry.
	History []AuditEntry `json:"history"`
}

// Snapshot returns the complete state for a checkpoint.
func (r *Reducer) Snapshot() Snapshot {
	return Snapshot{
		Offset:   r.offset,
		Digest:   r.digest,
		Objects:  maps.Collect(r.objects.All()),
		Previous: maps.Collect(r.previousSets.All()),
		History:  dropRepeatedBefore(r.history),
	}
}

// dropRepeatedBefore returns a copy of the audit trail without each Before that an earlier entry holds as its After.
func dropRepeatedBefore(history []AuditEntry) []AuditEntry {
	out := slices.Clone(history)
	hasAfter := make(map[ident.ObjectPath]bool)
	for i, a := range out {
		if a.Verdict != Accepted {
			continue
		}
		if hasAfter[a.Object] {
			out[i].Before = nil
		}
		hasAfter[a.Object] = true
	}
	return out
}

// fillBefore is the inverse of dropRepeatedBefore and works in place.
func fillBefore(history []AuditEntry) {
	latest := make(map[ident.ObjectPath]*ObjectState)
	for i, a := range history {
		if a.Verdict != Accepted {
			continue
		}
		if e, ok := latest[a.Object]; ok {
			history[i].Before = e
		}
		latest[a.Object] = a.After
	}
}

// Restore returns the state that a snapshot describes. The caller must not use the snapshot afterwards.
func Restore(snapshot Snapshot) (*Reducer, error) {
	if ident.Offset(len(snapshot.History)) > snapshot.Offset || len(snapshot.History) > MaxAuditEntries {
		return nil, &catalog.RecordError{Reason: "checkpoint has more audit entries than its offset or the limit allows"}
	}
	fillBefore(snapshot.History)
	r := New()
	r.offset, r.digest, r.history = snapshot.Offset, snapshot.Digest, snapshot.History
	r.previousSets = r.previousSets.SetAll(snapshot.Previous)
	keys := make(map[ident.Digest]ident.Organisation)
	var deployments []ident.ObjectPath
	for o, e := range snapshot.Objects {
		if e == nil || len(e.Record.Check()) > 0 || e.Record.Object != o {
			return nil, &catalog.RecordError{Reason: "checkpoint has an object that fails validation"}
		}
		switch {
		case e.Record.Organisation != nil:
			keys[e.Record.Organisation.Key] = organisationOf(o)
		case e.Record.Deployment != nil:
			deployments = append(deployments, o)
		}
	}
	r.objects = r.objects.SetAll(snapshot.Objects)
	r.organisationByKey = r.organisationByKey.SetAll(keys)
	r.index = r.buildIndex()
	r.refreshEffective(deployments)
	r.offsetByChange = r.offsetByChange.SetAll(changeOffsets(snapshot.History))
	return r, nil
}

// changeOffsets returns the offset of each change that can be found by its id.
func changeOffsets(history []AuditEntry) map[ident.ChangeID]ident.Offset {
	out := make(map[ident.ChangeID]ident.Offset)
	for _, a := range history {
		if a.ID != "" && a.Verdict != Repeated && a.Verdict != Malformed {
			out[a.ID] = a.Offset
		}
	}
	return out
}
