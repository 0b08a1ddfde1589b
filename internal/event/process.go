package event

import "github.com/apex/log"

// Events of all daemons, 1000 to 1099.
var (
	Started  = Event{1001, log.InfoLevel, "process started"}
	Stopping = Event{1002, log.InfoLevel, "graceful shutdown began"}
	Stopped  = Event{1003, log.InfoLevel, "process stopped"}
	// ShutdownIncomplete is logged for each address with requests that were cut at the end.
	ShutdownIncomplete = Event{1004, log.WarnLevel, "requests were still being answered at the end of the graceful shutdown"}
	ResponseRefused    = Event{1005, log.WarnLevel, "response is not valid HTTP; it was refused and its connection closed"}
)
