package event

import "github.com/apex/log"

// Events of orders to engines, 1600 to 1699.
var (
	SetLoaded   = Event{1601, log.InfoLevel, "engine serves the weight set"}
	OrderFailed = Event{1602, log.WarnLevel, "order to the engine failed and will be tried again"}
)
