package catalog

import (
	"fmt"
	"path"
	"regexp"
	"slices"
	"strings"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

// Bounds of a change record.
const (
	MaxReplicas    = 10_000
	MaxPriority    = 100
	MaxWeight      = 1_000
	MaxAdapters    = 64
	MaxZones       = 64
	MaxRepeat      = 64
	MaxIDLength    = 64
	MaxAuthorChars = 128
	MaxDigestChars = 128
	MaxFaults      = 50
)

var (
	namePattern  = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)
	refPattern   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._/-]{0,127}$`)
	methods      = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}
	openFields   = []string{"model", "adapters", "replicas", "priority", "zones"}
	objectKinds  = []string{"template", "deployment", "organisation"}
	engineFields = "only an engine template may have it"
)

// Fault is one rule that a change record breaks.
type Fault struct {
	// Field is the path of the field within the record.
	Field string `json:"field"`
	// Text says what is wrong and what is allowed.
	Text string `json:"text"`
}

// FaultsError lists all rules that a change record breaks.
type FaultsError struct {
	Faults []Fault
}

// Error joins the faults in their order.
func (e *FaultsError) Error() string {
	parts := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		parts[i] = f.Field + ": " + f.Text
	}
	return strings.Join(parts, "; ")
}

// checker collects faults.
type checker struct {
	faults []Fault
}

func (c *checker) require(ok bool, field, format string, args ...any) {
	if !ok && len(c.faults) < MaxFaults {
		c.faults = append(c.faults, Fault{Field: field, Text: fmt.Sprintf(format, args...)})
	}
}

func (c *checker) name(field, value string) {
	c.require(namePattern.MatchString(value), field, "%.80q is not 1 to 63 characters a-z, 0-9, dot, dash or underscore, the first a letter or digit", value)
}

// Check returns all faults that the record has by itself, without regard to the state it is to change.
func (r Record) Check() []Fault {
	var c checker
	c.require(len(r.ID) > 0 && len(r.ID) <= MaxIDLength, "id", "must have 1 to %d characters", MaxIDLength)
	c.require(len(r.Author) <= MaxAuthorChars, "author", "must have at most %d characters", MaxAuthorChars)
	c.require(r.Base >= 0, "base", "must not be negative")
	kind, names := Split(r.Object)
	c.object(kind, names)
	c.body(r, kind)
	return c.faults
}

// Split returns the kind of an object and the names in its path.
func Split(o ident.Object) (kind string, names []string) {
	parts := strings.Split(string(o), "/")
	return parts[0], parts[1:]
}

func (c *checker) object(kind string, names []string) {
	want := 1
	if kind == "deployment" {
		want = 2
	}
	c.require(slices.Contains(objectKinds, kind), "object", "%.80q is none of %s", kind, strings.Join(objectKinds, ", "))
	c.require(len(names) == want, "object", "must have %d names after its kind, not %d", want, len(names))
	for _, n := range names {
		c.name("object", n)
	}
}

func (c *checker) body(r Record, kind string) {
	bodies := map[string]bool{
		"template": r.Template != nil, "deployment": r.Deployment != nil, "organisation": r.Organisation != nil,
	}
	for _, k := range objectKinds {
		c.require(!bodies[k] || k == kind, k, "does not belong to an object of kind %.80q", kind)
		c.require(!bodies[k] || !r.Delete, k, "must be absent when delete is set")
	}
	c.require(r.Delete || bodies[kind], kind, "is missing")
	if r.Template != nil {
		c.template(*r.Template)
	}
	if r.Deployment != nil {
		c.deployment(*r.Deployment)
	}
	if r.Organisation != nil {
		c.organisation(*r.Organisation)
	}
}

func (c *checker) template(t Template) {
	c.require(t.Kind == KindEngine || t.Kind == KindService, "template.kind", "must be engine or service")
	c.name("template.pool", string(t.Pool))
	c.parameters("template", t)
	c.require(t.Bias == "" || t.Bias == BiasOrigin || t.Bias == BiasTime, "template.bias", "must be origin or time")
	c.require(len(t.Repeat) <= MaxRepeat, "template.repeat", "must have at most %d patterns", MaxRepeat)
	for _, p := range t.Repeat {
		c.require(isRoute(p), "template.repeat", "%.80q is not a method and a path pattern, such as GET /certificates/*", p)
	}
	for _, f := range t.Open {
		c.require(slices.Contains(openFields, f), "template.open", "%.80q is none of %s", f, strings.Join(openFields, ", "))
	}
	if t.Kind == KindEngine {
		c.require(t.Model != nil, "template.model", "an engine template needs a model")
		return
	}
	c.require(t.Model == nil, "template.model", "%s", engineFields)
	c.require(len(t.Adapters) == 0, "template.adapters", "%s", engineFields)
}

// parameters checks what a template and an effective deployment have in common.
func (c *checker) parameters(field string, t Template) {
	c.require(t.Replicas >= 0 && t.Replicas <= MaxReplicas, field+".replicas", "must be 0 to %d", MaxReplicas)
	c.require(t.Floor >= 0, field+".floor", "must not be negative")
	c.require(t.Most >= 0 && t.Most <= MaxReplicas, field+".most", "must be 0 to %d", MaxReplicas)
	c.require(t.Replicas >= t.Floor, field+".replicas", "%d is below the floor of %d", t.Replicas, t.Floor)
	c.require(t.Priority >= -MaxPriority && t.Priority <= MaxPriority, field+".priority", "must be %d to %d", -MaxPriority, MaxPriority)
	if t.Model != nil {
		c.ref(field+".model", *t.Model)
	}
	c.require(len(t.Adapters) <= MaxAdapters, field+".adapters", "must have at most %d", MaxAdapters)
	for _, a := range t.Adapters {
		c.ref(field+".adapters", a)
	}
	c.require(len(t.Zones) <= MaxZones, field+".zones", "must have at most %d", MaxZones)
	for i, z := range t.Zones {
		c.name(field+".zones", string(z))
		c.require(!slices.Contains(t.Zones[:i], z), field+".zones", "%.80q stands twice", z)
	}
}

func (c *checker) ref(field string, r Ref) {
	c.require(refPattern.MatchString(r.Name), field+".name", "%.80q is not 1 to 128 letters, digits, dots, dashes, underscores or slashes", r.Name)
	c.require(refPattern.MatchString(r.Version), field+".version", "%.80q is not 1 to 128 letters, digits, dots, dashes, underscores or slashes", r.Version)
	c.require(r.Digest != "" && len(r.Digest) <= MaxDigestChars, field+".digest", "must be the digest of the artifact's manifest")
}

func (c *checker) deployment(d Deployment) {
	c.name("deployment.template", string(d.Template))
	t := d.Apply(Template{})
	if d.Replicas == nil {
		t.Replicas = t.Floor
	}
	c.parameters("deployment", t)
}

func (c *checker) organisation(o Organisation) {
	c.require(o.Key != "" && len(o.Key) <= MaxDigestChars, "organisation.key", "must be the digest of the organisation's key")
	c.require(o.Weight >= 0 && o.Weight <= MaxWeight, "organisation.weight", "must be 0 to %d", MaxWeight)
}

// CheckOver returns the faults of the deployment over its template: overrides that the template does not open, and
// parameters that do not fit together.
func (d Deployment) CheckOver(t Template) []Fault {
	var c checker
	overrides := map[string]bool{
		"model": d.Model != nil, "adapters": d.Adapters != nil, "replicas": d.Replicas != nil,
		"priority": d.Priority != nil, "zones": len(d.Zones) > 0,
	}
	for _, f := range openFields {
		c.require(!overrides[f] || slices.Contains(t.Open, f), "deployment."+f, "template %q does not open it", d.Template)
	}
	e := d.Apply(t)
	c.require(e.Replicas >= e.Floor, "deployment.replicas", "%d is below the template's floor of %d", e.Replicas, e.Floor)
	if t.Kind == KindService {
		c.require(d.Model == nil, "deployment.model", "%s", engineFields)
		c.require(d.Adapters == nil, "deployment.adapters", "%s", engineFields)
	}
	return c.faults
}

func isRoute(p string) bool {
	method, pattern, ok := strings.Cut(p, " ")
	if !ok || !slices.Contains(methods, method) || !strings.HasPrefix(pattern, "/") || len(p) > 256 {
		return false
	}
	_, err := path.Match(pattern, "/")
	return err == nil
}
