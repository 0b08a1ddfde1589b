package placer

import "github.com/nutmegdock/nutmegdock/internal/core/catalog"

// MinServing returns the number of replicas that must keep serving while weights change. The default for a template
// that sets none is half of its replicas.
func MinServing(t catalog.Template) int {
	if t.MinServing > 0 {
		return t.MinServing
	}
	return t.Replicas / 2
}
