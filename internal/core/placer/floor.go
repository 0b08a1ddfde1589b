package placer

import "github.com/nutmegdock/nutmegdock/internal/core/catalog"

// Floor returns the number of replicas that must go on serving while weights change. A template that states none gets
// half of its replicas.
func Floor(t catalog.Template) int {
	if t.Floor > 0 {
		return t.Floor
	}
	return t.Replicas / 2
}
