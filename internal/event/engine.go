package event

import "github.com/apex/log"

// Events of load commands to engines, 1600 to 1699.
var (
	WeightSetServed     = Event{1601, log.InfoLevel, "engine serves the weight set"}
	LoadCommandFailed   = Event{1602, log.WarnLevel, "load command to the engine failed; will be retried"}
	GateClosed          = Event{1603, log.WarnLevel, "engine does not serve the weight set that the gate was opened for; gate closed"}
	LoadCommandIssued   = Event{1604, log.InfoLevel, "load command for a weight set issued to the engine"}
	WeightSwitchStarted = Event{1606, log.InfoLevel, "gate closed to switch weight sets"}
	WeightSetMismatch   = Event{1605, log.WarnLevel, "response was not made by the weight set that the request is pinned to; response aborted"}
)
