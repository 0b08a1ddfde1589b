// Package memory finds out how much memory the process may use.
package memory

import (
	"fmt"
	"syscall"

	"github.com/apex/log"

	"github.com/nutmegdock/nutmegdock/internal/event"
)

// Limit returns the number of bytes of memory that the process may use: what the settings claim under a key, or the memory of the
// machine if that is less, which is logged, or if nothing is claimed. Zero means that neither is known.
func Limit(key string, claimed int, l log.Interface) int {
	var info syscall.Sysinfo_t
	if syscall.Sysinfo(&info) != nil || info.Totalram == 0 {
		return claimed
	}
	machine := int(info.Totalram) * int(max(1, info.Unit))
	if claimed <= 0 {
		return machine
	}
	if claimed > machine {
		event.LimitDefaulted.Log(l, log.Fields{"limit": fmt.Sprintf("key %q: %d, the machine has %d", key, claimed, machine)})
	}
	return min(claimed, machine)
}
