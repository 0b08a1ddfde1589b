package event

import "github.com/apex/log"

// Events of membership and placement, 1200 to 1299.
var (
	MemberInvalid        = Event{1203, log.WarnLevel, "entry of the membership list is invalid; skipped"}
	MembershipUnreadable = Event{1201, log.WarnLevel, "membership list cannot be read"}
)
