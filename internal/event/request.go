package event

import "github.com/apex/log"

// Events of requests, 1300 to 1399.
var (
	RequestFailed        = Event{1301, log.WarnLevel, "request ended without a complete response"}
	ClaimFailed          = Event{1302, log.WarnLevel, "claims could not be written or read back; their requests were refused"}
	ClaimMalformed       = Event{1303, log.WarnLevel, "claim record does not parse and was skipped"}
	BackendCrashed       = Event{1304, log.ErrorLevel, "back end crashed with requests in flight"}
	StreamResumed        = Event{1305, log.InfoLevel, "streamed response was interrupted and resumes at another endpoint"}
	BackendCrashReported = Event{1306, log.WarnLevel, "endpoint host reported a crash of its back end"}
)
