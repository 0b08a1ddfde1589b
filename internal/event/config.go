package event

import "github.com/apex/log"

// Events of configuration and administration, 1100 to 1199.
var (
	LogUnreachable      = Event{1101, log.WarnLevel, "log service cannot be read"}
	RecordMalformed     = Event{1102, log.WarnLevel, "log record does not parse and was skipped"}
	AdminRequestRefused = Event{1103, log.WarnLevel, "administration request refused"}
	RecordsExpired      = Event{1104, log.ErrorLevel, "log has expired records that this process has not read"}
	StateDiffers        = Event{1105, log.ErrorLevel, "configuration state differs from another process's at the same offset"}
	StateReplaced       = Event{1106, log.InfoLevel, "configuration state taken from a peer or a checkpoint"}
	CheckpointWritten   = Event{1107, log.InfoLevel, "checkpoint of the configuration written"}
	CheckpointFailed    = Event{1108, log.WarnLevel, "checkpoint of the configuration cannot be written or read"}
	ConfigReady         = Event{1109, log.InfoLevel, "configuration is complete"}
	AuditWriteFailed    = Event{1110, log.WarnLevel, "refused attempt could not be recorded in the log service"}
)
