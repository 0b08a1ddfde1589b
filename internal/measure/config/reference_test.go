package config_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/reducer"
)

// referenceModel is an implementation of the rules for changes that is independent of the reducer. It covers only the
// kinds of change that the tests make.
type referenceModel struct {
	objects map[ident.ObjectPath]objectState
	seenIDs map[string]bool
	// accepted maps the ID of each accepted change to the revision that it made.
	accepted map[string]ident.Revision
	// states holds the state after each record; states[n] is the one after n records.
	states []string
}

type objectState struct {
	revision int64
	id       string
	template string
	deleted  bool
}

// change holds the fields of a change record that the model needs. Floor is the template's MinServing.
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
		objects: make(map[ident.ObjectPath]objectState), seenIDs: make(map[string]bool), accepted: make(map[string]ident.Revision), states: []string{""},
	}
}

// applyNew applies those of the log's records that were appended since the last call. Its argument is all records ever
// appended.
func (m *referenceModel) applyNew(records [][]byte) {
	for _, data := range records[len(m.states)-1:] {
		m.apply(data)
		m.states = append(m.states, m.formatState())
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
	next := objectState{revision: old.revision + 1, id: c.ID, deleted: c.Delete}
	if c.Deployment != nil {
		next.template = c.Deployment.Template
	}
	m.objects[c.Object] = next
	m.accepted[c.ID] = ident.Revision(next.revision)
}

// isValid reports whether the change is allowed in the current state. old is the state of the changed object.
func (m *referenceModel) isValid(c change, old objectState) bool {
	if c.Delete {
		return old.revision > 0 && !old.deleted && !m.isTemplateUsed(c.Object)
	}
	if c.Template != nil {
		return c.Template.Replicas >= c.Template.Floor
	}
	if c.Deployment != nil {
		template, ok := m.objects[ident.ObjectPath("template/"+c.Deployment.Template)]
		return ok && !template.deleted
	}
	return true
}

func (m *referenceModel) isTemplateUsed(path ident.ObjectPath) bool {
	for _, object := range m.objects {
		if !object.deleted && object.template != "" && "template/"+object.template == string(path) {
			return true
		}
	}
	return false
}

// formatState returns the revision, the last change and the deletion flag of each object, one object a line.
func (m *referenceModel) formatState() string {
	var lines []string
	for path, object := range m.objects {
		lines = append(lines, fmt.Sprintf("%s %d %s %t", path, object.revision, object.id, object.deleted))
	}
	slices.Sort(lines)
	return strings.Join(lines, "\n")
}

// formatState formats a process's state as the reference model does.
func formatState(r *reducer.Reducer) string {
	var lines []string
	for path, object := range r.Snapshot().Objects {
		lines = append(lines, fmt.Sprintf("%s %d %s %t", path, object.Revision, object.Record.ID, object.Record.Delete))
	}
	slices.Sort(lines)
	return strings.Join(lines, "\n")
}
