// Package descriptors finds out how many descriptors the process may have open.
package descriptors

import (
	"fmt"
	"syscall"

	"github.com/apex/log"

	"github.com/nutmegdock/nutmegdock/internal/event"
)

// Limit returns the number of descriptors that the process may have open: the one that the settings claim under a key, or the
// limit of the system if that is lower, which is logged. Zero means that none is claimed.
func Limit(key string, claimed int, l log.Interface) int {
	var limit syscall.Rlimit
	if claimed <= 0 || syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil || limit.Cur == 0 || uint64(claimed) <= limit.Cur {
		return claimed
	}
	event.LimitDefaulted.Log(l, log.Fields{"limit": fmt.Sprintf("key %q: %d, the process may have %d", key, claimed, limit.Cur)})
	return int(limit.Cur)
}
