package event

import "github.com/apex/log"

// Events of requests, 1300 to 1399.
var (
	RequestFailed        = Event{1301, log.WarnLevel, "request ended without a whole answer"}
	ClaimFailed          = Event{1302, log.WarnLevel, "claims could not be written or read back and their requests were refused"}
	ClaimMalformed       = Event{1303, log.WarnLevel, "claim record does not parse and was skipped"}
	BackendCrashed       = Event{1304, log.ErrorLevel, "back end died while it ran requests"}
	StreamResumed        = Event{1305, log.InfoLevel, "streamed answer was cut and goes on at another endpoint"}
	BackendCrashReported = Event{1306, log.WarnLevel, "endpoint host told of the death of its back end"}
)
