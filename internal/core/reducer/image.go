package reducer

import (
	"maps"
	"slices"

	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

// Image is the whole state in a form that can be encoded. The seen change ids follow from the audit trail.
type Image struct {
	Offset   ident.Offset                     `json:"offset"`
	Digest   ident.Digest                     `json:"digest"`
	Objects  map[ident.Object]*Entry          `json:"objects"`
	Previous map[ident.Object]ident.WeightSet `json:"previous"`
	// History leaves out a Before that the trail itself holds as an After.
	History []Audit `json:"history"`
}

// Image returns the state for a checkpoint.
func (r *Reducer) Image() Image {
	return Image{
		Offset:   r.offset,
		Digest:   r.digest,
		Objects:  maps.Collect(r.objects.All()),
		Previous: maps.Collect(r.previous.All()),
		History:  slim(r.history),
	}
}

func slim(history []Audit) []Audit {
	out := slices.Clone(history)
	changed := make(map[ident.Object]bool)
	for i, a := range out {
		if a.Verdict != Accepted {
			continue
		}
		if changed[a.Object] {
			out[i].Before = nil
		}
		changed[a.Object] = true
	}
	return out
}

func fatten(history []Audit) {
	latest := make(map[ident.Object]*Entry)
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

// Restore returns the state that an image describes. It takes the image over.
func Restore(img Image) (*Reducer, error) {
	if ident.Offset(len(img.History)) > img.Offset || len(img.History) > Horizon {
		return nil, &catalog.Error{Reason: "checkpoint has more audit entries than records"}
	}
	fatten(img.History)
	r := New()
	r.offset, r.digest, r.history = img.Offset, img.Digest, img.History
	r.previous = r.previous.SetAll(img.Previous)
	keys := make(map[ident.Digest]ident.Organisation)
	var deployments []ident.Object
	for o, e := range img.Objects {
		if e == nil || len(e.Record.Check()) > 0 || e.Record.Object != o {
			return nil, &catalog.Error{Reason: "checkpoint holds an object that does not pass the checks"}
		}
		switch {
		case e.Record.Organisation != nil:
			keys[e.Record.Organisation.Key] = owner(o)
		case e.Record.Deployment != nil:
			deployments = append(deployments, o)
		}
	}
	r.objects = r.objects.SetAll(img.Objects)
	r.keys = r.keys.SetAll(keys)
	r.uses = r.countUses()
	r.refresh(deployments)
	r.seen = r.seen.SetAll(ids(img.History))
	return r, nil
}

func ids(history []Audit) map[ident.Change]ident.Offset {
	out := make(map[ident.Change]ident.Offset)
	for _, a := range history {
		if a.ID != "" && a.Verdict != Repeated && a.Verdict != Malformed {
			out[a.ID] = a.Offset
		}
	}
	return out
}
