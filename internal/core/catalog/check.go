package catalog

import (
	"fmt"
	"path"
	"regexp"
	"slices"
	"strings"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

// Limits of the values in a record. MaxPriority bounds the absolute value.
const (
	MaxReplicas         = 10_000
	MaxPriority         = 100
	MaxWeight           = 1_000
	MaxAdapters         = 64
	MaxZones            = 64
	MaxIdempotentRoutes = 64
	MaxIDBytes          = 64
	MaxAuthorBytes      = 128
	MaxDigestBytes      = 128
	MaxFaults           = 50
)

var (
	namePattern       = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)
	refPattern        = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._/-]{0,127}$`)
	httpMethods       = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}
	overridableFields = []string{"model", "adapters", "replicas", "priority", "zones"}
	objectKinds       = []string{"template", "deployment", "organisation"}
	engineOnlyText    = "only an engine template may have it"
)

// Fault is a rule that a record breaks.
type Fault struct {
	// Field is the path of the field within the record.
	Field string `json:"field"`
	// Text states the rule. It enters the digest of the configuration state, which hosts compare.
	Text string `json:"text"`
}

// ValidationError lists the faults of a record.
type ValidationError struct {
	Faults []Fault
}

// Error returns the faults in their order, separated by semicolons.
func (e *ValidationError) Error() string {
	texts := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		texts[i] = f.Field + ": " + f.Text
	}
	return strings.Join(texts, "; ")
}

// checker collects at most MaxFaults faults.
type checker struct {
	faults []Fault
}

// require records a fault unless ok is set.
func (c *checker) require(ok bool, field, format string, args ...any) {
	if !ok && len(c.faults) < MaxFaults {
		c.faults = append(c.faults, Fault{Field: field, Text: fmt.Sprintf(format, args...)})
	}
}

func (c *checker) requireName(field, value string) {
	c.require(namePattern.MatchString(value), field, "%.80q is not 1 to 63 characters a-z, 0-9, dot, dash or underscore, the first a letter or digit", value)
}

// Check returns the faults of the record on its own, without comparing it with the configuration state.
func (r Record) Check() []Fault {
	var c checker
	c.require(len(r.ID) > 0 && len(r.ID) <= MaxIDBytes, "id", "must have 1 to %d characters", MaxIDBytes)
	c.require(len(r.Author) <= MaxAuthorBytes, "author", "must have at most %d characters", MaxAuthorBytes)
	c.require(r.Base >= 0, "base", "must not be negative")
	kind, names := SplitPath(r.Object)
	c.checkObject(kind, names)
	c.checkBody(r, kind)
	return c.faults
}

// SplitPath splits an object's path into its kind and its names.
func SplitPath(o ident.ObjectPath) (kind string, names []string) {
	parts := strings.Split(string(o), "/")
	return parts[0], parts[1:]
}

func (c *checker) checkObject(kind string, names []string) {
	nameCount := 1
	if kind == "deployment" {
		nameCount = 2
	}
	c.require(slices.Contains(objectKinds, kind), "object", "%.80q is none of %s", kind, strings.Join(objectKinds, ", "))
	c.require(len(names) == nameCount, "object", "must have %d names after its kind, not %d", nameCount, len(names))
	for _, n := range names {
		c.requireName("object", n)
	}
}

func (c *checker) checkBody(r Record, kind string) {
	hasBody := map[string]bool{
		"template": r.Template != nil, "deployment": r.Deployment != nil, "organisation": r.Organisation != nil,
	}
	for _, k := range objectKinds {
		c.require(!hasBody[k] || k == kind, k, "does not belong to an object of kind %.80q", kind)
		c.require(!hasBody[k] || !r.Delete, k, "must be absent when delete is set")
	}
	c.require(r.Delete || hasBody[kind], kind, "is missing")
	if r.Template != nil {
		c.checkTemplate(*r.Template)
	}
	if r.Deployment != nil {
		c.checkDeployment(*r.Deployment)
	}
	if r.Organisation != nil {
		c.checkOrganisation(*r.Organisation)
	}
}

func (c *checker) checkTemplate(t Template) {
	c.require(t.Kind == KindEngine || t.Kind == KindService, "template.kind", "must be engine or service")
	c.requireName("template.pool", string(t.Pool))
	c.checkParameters("template", t)
	c.require(t.FetchGoal == "" || t.FetchGoal == MinimizeOriginReads || t.FetchGoal == MinimizeFetchTime, "template.bias", "must be origin or time")
	c.require(len(t.IdempotentRoutes) <= MaxIdempotentRoutes, "template.repeat", "must have at most %d patterns", MaxIdempotentRoutes)
	for _, p := range t.IdempotentRoutes {
		c.require(isRoutePattern(p), "template.repeat", "%.80q is not a method and a path pattern, such as GET /certificates/*", p)
	}
	for _, f := range t.Overridable {
		c.require(slices.Contains(overridableFields, f), "template.open", "%.80q is none of %s", f, strings.Join(overridableFields, ", "))
	}
	if t.Kind == KindEngine {
		c.require(t.Model != nil, "template.model", "an engine template needs a model")
		return
	}
	c.require(t.Model == nil, "template.model", "%s", engineOnlyText)
	c.require(len(t.Adapters) == 0, "template.adapters", "%s", engineOnlyText)
}

// checkParameters checks the parameters that a template and a deployment have in common.
func (c *checker) checkParameters(field string, t Template) {
	c.require(t.Replicas >= 0 && t.Replicas <= MaxReplicas, field+".replicas", "must be 0 to %d", MaxReplicas)
	c.require(t.MinServing >= 0, field+".floor", "must not be negative")
	c.require(t.MaxReplicas >= 0 && t.MaxReplicas <= MaxReplicas, field+".most", "must be 0 to %d", MaxReplicas)
	c.require(t.Replicas >= t.MinServing, field+".replicas", "%d is below the floor of %d", t.Replicas, t.MinServing)
	c.require(t.Priority >= -MaxPriority && t.Priority <= MaxPriority, field+".priority", "must be %d to %d", -MaxPriority, MaxPriority)
	if t.Model != nil {
		c.checkRef(field+".model", *t.Model)
	}
	c.require(len(t.Adapters) <= MaxAdapters, field+".adapters", "must have at most %d", MaxAdapters)
	for _, a := range t.Adapters {
		c.checkRef(field+".adapters", a)
	}
	c.require(len(t.Zones) <= MaxZones, field+".zones", "must have at most %d", MaxZones)
	for i, z := range t.Zones {
		c.requireName(field+".zones", string(z))
		c.require(!slices.Contains(t.Zones[:i], z), field+".zones", "%.80q stands twice", z)
	}
}

func (c *checker) checkRef(field string, r ArtifactRef) {
	c.require(refPattern.MatchString(r.Name), field+".name", "%.80q is not 1 to 128 letters, digits, dots, dashes, underscores or slashes", r.Name)
	c.require(refPattern.MatchString(r.Version), field+".version", "%.80q is not 1 to 128 letters, digits, dots, dashes, underscores or slashes", r.Version)
	c.require(r.Digest != "" && len(r.Digest) <= MaxDigestBytes, field+".digest", "must be the digest of the artifact's manifest")
}

func (c *checker) checkDeployment(d Deployment) {
	c.requireName("deployment.template", string(d.Template))
	t := d.Apply(Template{})
	if d.Replicas == nil {
		t.Replicas = t.MinServing
	}
	c.checkParameters("deployment", t)
}

func (c *checker) checkOrganisation(o Organisation) {
	c.require(o.Key != "" && len(o.Key) <= MaxDigestBytes, "organisation.key", "must be the digest of the organisation's key")
	c.require(o.Weight >= 0 && o.Weight <= MaxWeight, "organisation.weight", "must be 0 to %d", MaxWeight)
}

// CheckOverrides returns the faults of the deployment against its template: overrides that the template does not list
// as overridable, and parameters that contradict each other once the template is applied.
func (d Deployment) CheckOverrides(t Template) []Fault {
	var c checker
	overrides := map[string]bool{
		"model": d.Model != nil, "adapters": d.Adapters != nil, "replicas": d.Replicas != nil,
		"priority": d.Priority != nil, "zones": len(d.Zones) > 0,
	}
	for _, f := range overridableFields {
		c.require(!overrides[f] || slices.Contains(t.Overridable, f), "deployment."+f, "template %q does not open it", d.Template)
	}
	effective := d.Apply(t)
	c.require(effective.Replicas >= effective.MinServing, "deployment.replicas", "%d is below the template's floor of %d", effective.Replicas, effective.MinServing)
	if t.Kind == KindService {
		c.require(d.Model == nil, "deployment.model", "%s", engineOnlyText)
		c.require(d.Adapters == nil, "deployment.adapters", "%s", engineOnlyText)
	}
	return c.faults
}

// isRoutePattern reports whether p is a method and a path pattern, such as "GET /certificates/*".
func isRoutePattern(p string) bool {
	method, pattern, ok := strings.Cut(p, " ")
	if !ok || !slices.Contains(httpMethods, method) || !strings.HasPrefix(pattern, "/") || len(p) > 256 {
		return false
	}
	_, err := path.Match(pattern, "/")
	return err == nil
}
