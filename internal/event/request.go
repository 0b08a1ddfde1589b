package event

import "github.com/apex/log"

// Events of requests, 1300 to 1399.
var (
	RequestFailed = Event{1301, log.WarnLevel, "request ended without a whole answer"}
)
