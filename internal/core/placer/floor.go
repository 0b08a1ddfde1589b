package placer

import "github.com/nutmegdock/nutmegdock/internal/core/catalog"

// Floor returns the number of replicas that must keep serving while weights change. The default for a template that sets
// none is half of its replicas.
func Floor(t catalog.Template) int {
	if t.Floor > 0 {
		return t.Floor
	}
	return t.Replicas / 2
}
