package event

import "github.com/apex/log"

// Events of membership and placement, 1200 to 1299.
var (
	MembershipUnreadable = Event{1201, log.WarnLevel, "membership list cannot be read"}
)
