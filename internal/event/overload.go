package event

import "github.com/apex/log"

// Events of admission and load, 1400 to 1499.
var (
	OverloadStarted      = Event{1401, log.WarnLevel, "requests of a pool are refused for overload"}
	OverloadEnded        = Event{1402, log.InfoLevel, "no request of a pool was refused for overload for a while"}
	EndpointStalled      = Event{1403, log.WarnLevel, "endpoint gives no first token and gets no new work until it does"}
	RetryBudgetExhausted = Event{1404, log.WarnLevel, "retry budget is empty; failures go to the callers"}
)
