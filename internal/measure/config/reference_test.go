package config_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/reducer"
)

// referenceModel applies the records of the log by its own rules, independent of the reducer. They cover the changes
// that the tests draw.
type referenceModel struct {
	objects  map[ident.ObjectPath]heldObject
	seenIDs  map[string]bool
	accepted map[string]ident.Revision
	// states holds the state after each record; states[n] is the one after n records.
	states []string
}

type heldObject struct {
	revision int64
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

func newReferenceModel() *referenceModel {
	return &referenceModel{
		objects: make(map[ident.ObjectPath]heldObject), seenIDs: make(map[string]bool), accepted: make(map[string]ident.Revision), states: []string{""},
	}
}

// applyNew applies the records that were appended since the last call.
func (m *referenceModel) applyNew(records [][]byte) {
	for _, data := range records[len(m.states)-1:] {
		m.apply(data)
		m.states = append(m.states, m.state())
	}
}

func (m *referenceModel) apply(data []byte) {
	var c change
	if json.Unmarshal(data, &c) != nil || c.ID == "" || c.Object == "" || m.seenIDs[c.ID] {
		return
	}
	m.seenIDs[c.ID] = true
	old := m.objects[c.Object]
	if old.revision != c.Base || !m.isValid(c, old) {
		return
	}
	next := heldObject{revision: old.revision + 1, id: c.ID, deleted: c.Delete}
	if c.Deployment != nil {
		next.template = c.Deployment.Template
	}
	m.objects[c.Object] = next
	m.accepted[c.ID] = ident.Revision(next.revision)
}

func (m *referenceModel) isValid(c change, old heldObject) bool {
	if c.Delete {
		return old.revision > 0 && !old.deleted && !m.isTemplateUsed(c.Object)
	}
	if c.Template != nil {
		return c.Template.Replicas >= c.Template.Floor
	}
	if c.Deployment != nil {
		t, ok := m.objects[ident.ObjectPath("template/"+c.Deployment.Template)]
		return ok && !t.deleted
	}
	return true
}

func (m *referenceModel) isTemplateUsed(t ident.ObjectPath) bool {
	for _, h := range m.objects {
		if !h.deleted && h.template != "" && "template/"+h.template == string(t) {
			return true
		}
	}
	return false
}

func (m *referenceModel) state() string {
	var lines []string
	for path, h := range m.objects {
		lines = append(lines, fmt.Sprintf("%s %d %s %t", path, h.revision, h.id, h.deleted))
	}
	slices.Sort(lines)
	return strings.Join(lines, "\n")
}

// formatState formats a process's state as the reference model does.
func formatState(r *reducer.Reducer) string {
	var lines []string
	for path, e := range r.Snapshot().Objects {
		lines = append(lines, fmt.Sprintf("%s %d %s %t", path, e.Revision, e.Record.ID, e.Record.Delete))
	}
	slices.Sort(lines)
	return strings.Join(lines, "\n")
}
