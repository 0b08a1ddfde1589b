package factory

import (
	"fmt"

	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

// Overrides are the flags with which a deployment sets parameters that its template leaves open.
type Overrides struct {
	Model    *string   `arg:"--model" help:"model as NAME@VERSION"`
	Adapters *[]string `arg:"--adapters" help:"adapters as NAME@VERSION"`
	Replicas *int      `arg:"--replicas" help:"number of replicas"`
	Priority *int      `arg:"--priority" help:"priority; higher goes first"`
	Zones    []string  `arg:"--zones" help:"availability zones"`
}

// Apply sets the overrides that were given.
func (o Overrides) Apply(d *catalog.Deployment) error {
	if o.Model != nil {
		ref, err := ParseRef(*o.Model)
		if err != nil {
			return fmt.Errorf("--model: %w", err)
		}
		d.Model = &ref
	}
	if o.Adapters != nil {
		refs := []catalog.ArtifactRef{}
		for _, s := range *o.Adapters {
			ref, err := ParseRef(s)
			if err != nil {
				return fmt.Errorf("--adapters: %w", err)
			}
			refs = append(refs, ref)
		}
		d.Adapters = &refs
	}
	if o.Replicas != nil {
		d.Replicas = o.Replicas
	}
	if o.Priority != nil {
		d.Priority = o.Priority
	}
	if len(o.Zones) > 0 {
		d.Zones = nil
		for _, z := range o.Zones {
			d.Zones = append(d.Zones, ident.Zone(z))
		}
	}
	return nil
}
