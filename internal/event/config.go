package event

import "github.com/apex/log"

// Events of configuration and administration, 1100 to 1199.
var (
	LogUnreachable  = Event{1101, log.WarnLevel, "log service cannot be read"}
	RecordMalformed = Event{1102, log.WarnLevel, "log record does not parse and was skipped"}
	AdminRefused    = Event{1103, log.WarnLevel, "administration request refused"}
	AttemptLost     = Event{1104, log.WarnLevel, "refused attempt could not be recorded in the log service"}
)
