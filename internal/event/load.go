package event

import "github.com/apex/log"

// Events of admission and load, 1400 to 1499.
var (
	OverloadStarted      = Event{1401, log.WarnLevel, "pool is overloaded; requests are refused"}
	OverloadEnded        = Event{1402, log.InfoLevel, "pool is no longer overloaded"}
	EndpointStalled      = Event{1403, log.WarnLevel, "endpoint produces no first token; it gets no new requests until it does"}
	RetryBudgetExhausted = Event{1404, log.WarnLevel, "retry budget is exhausted; failures are returned to the callers"}
)
