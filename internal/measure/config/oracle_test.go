package config_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/reducer"
)

// oracle folds the true log by rules of its own, which cover what the test draws.
type oracle struct {
	objects  map[ident.ObjectPath]held
	seen     map[string]bool
	accepted map[string]ident.Revision
	// states holds the state after each number of records.
	states []string
}

type held struct {
	rev      int64
	id       string
	template string
	deleted  bool
}

type change struct {
	ID         string
	Object     ident.ObjectPath
	Base       int64
	Delete     bool
	Template   *struct{ Replicas, Floor int }
	Deployment *struct{ Template string }
}

func newOracle() *oracle {
	return &oracle{
		objects: make(map[ident.ObjectPath]held), seen: make(map[string]bool), accepted: make(map[string]ident.Revision), states: []string{""},
	}
}

// follow folds the records that are new.
func (o *oracle) follow(records [][]byte) {
	for _, data := range records[len(o.states)-1:] {
		o.fold(data)
		o.states = append(o.states, o.state())
	}
}

func (o *oracle) fold(data []byte) {
	var c change
	if json.Unmarshal(data, &c) != nil || c.ID == "" || c.Object == "" || o.seen[c.ID] {
		return
	}
	o.seen[c.ID] = true
	old := o.objects[c.Object]
	if old.rev != c.Base || !o.valid(c, old) {
		return
	}
	next := held{rev: old.rev + 1, id: c.ID, deleted: c.Delete}
	if c.Deployment != nil {
		next.template = c.Deployment.Template
	}
	o.objects[c.Object] = next
	o.accepted[c.ID] = ident.Revision(next.rev)
}

func (o *oracle) valid(c change, old held) bool {
	if c.Delete {
		return old.rev > 0 && !old.deleted && !o.used(c.Object)
	}
	if c.Template != nil {
		return c.Template.Replicas >= c.Template.Floor
	}
	if c.Deployment != nil {
		t, ok := o.objects[ident.ObjectPath("template/"+c.Deployment.Template)]
		return ok && !t.deleted
	}
	return true
}

func (o *oracle) used(t ident.ObjectPath) bool {
	for _, h := range o.objects {
		if !h.deleted && h.template != "" && "template/"+h.template == string(t) {
			return true
		}
	}
	return false
}

func (o *oracle) state() string {
	var lines []string
	for path, h := range o.objects {
		lines = append(lines, fmt.Sprintf("%s %d %s %t", path, h.rev, h.id, h.deleted))
	}
	slices.Sort(lines)
	return strings.Join(lines, "\n")
}

// stateOf prints a process's state as the oracle does.
func stateOf(r *reducer.Reducer) string {
	var lines []string
	for path, e := range r.Snapshot().Objects {
		lines = append(lines, fmt.Sprintf("%s %d %s %t", path, e.Revision, e.Record.ID, e.Record.Delete))
	}
	slices.Sort(lines)
	return strings.Join(lines, "\n")
}
