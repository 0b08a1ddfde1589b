package factory

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

// ParseDeployment splits ORGANISATION/DEPLOYMENT.
func ParseDeployment(s string) (ident.Organisation, ident.Deployment, error) {
	org, name, ok := strings.Cut(s, "/")
	if !ok || org == "" || name == "" || strings.Contains(name, "/") {
		return "", "", fmt.Errorf("%q is not ORGANISATION/DEPLOYMENT", s)
	}
	return ident.Organisation(org), ident.Deployment(name), nil
}

// ParseRef reads an artifact reference, NAME@VERSION.
func ParseRef(s string) (catalog.ArtifactRef, error) {
	name, version, ok := strings.Cut(s, "@")
	if !ok || name == "" || version == "" {
		return catalog.ArtifactRef{}, fmt.Errorf("%q is not NAME@VERSION", s)
	}
	return catalog.ArtifactRef{Name: name, Version: version}, nil
}

// ParseTemplate reads a template's parameters from JSON. Unknown keys are an error.
func ParseTemplate(data []byte) (*catalog.Template, error) {
	var t catalog.Template
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&t); err != nil {
		return nil, fmt.Errorf("read template: %w", err)
	}
	return &t, nil
}

// FormatRefs writes artifact references for a table.
func FormatRefs(refs []catalog.ArtifactRef) string {
	out := make([]string, len(refs))
	for i, r := range refs {
		out[i] = r.Name + "@" + r.Version
	}
	return strings.Join(out, " ")
}

// Short returns the start of a digest, enough to tell digests apart by eye.
func Short[T ~string](digest T) string {
	const length = 12
	return string(digest[:min(length, len(digest))])
}
