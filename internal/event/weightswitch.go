package event

import "github.com/apex/log"

// Events of orders to engines, 1600 to 1699.
var (
	WeightSetServed     = Event{1601, log.InfoLevel, "engine serves the weight set"}
	LoadCommandFailed   = Event{1602, log.WarnLevel, "order to the engine failed and will be tried again"}
	GateClosed          = Event{1603, log.WarnLevel, "engine does not serve what the gate was opened on; the gate is closed"}
	LoadCommandIssued   = Event{1604, log.InfoLevel, "engine was ordered to load a weight set"}
	WeightSwitchStarted = Event{1606, log.InfoLevel, "gate is closed to change the weights"}
	WeightSetMismatch   = Event{1605, log.WarnLevel, "answer was not made by the weight set that the request is pinned to and was broken off"}
)
