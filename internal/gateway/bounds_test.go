package gateway_test

import (
	"sync/atomic"
	"testing"
)

// fleetMemory is the memory of the gateways that startFleet starts; zero sets no bounds.
var fleetMemory atomic.Int64

// hostMemory is the memory of a small entry host.
const hostMemory = 184_000_000

// setMemory bounds what the gateways of a test buffer.
func setMemory(t *testing.T, memory int64) {
	fleetMemory.Store(memory)
	t.Cleanup(func() { fleetMemory.Store(0) })
}

// With bounds, another goroutine writes to the caller. What callers get must be the same.
func TestResponsesAreTheSameWithBounds(t *testing.T) {
	setMemory(t, hostMemory)
	for name, test := range map[string]func(t *testing.T){
		"responses": TestResponses, "invalid requests": TestInvalidRequestsAreRejected, "incomplete responses": TestIncompleteResponseIsNotForwardedAsComplete,
		"incomplete streams": TestIncompleteStreamIsNotForwardedAsComplete, "without end": TestResponseWithoutEndIsFailure,
		"large without end": TestLargeResponseWithoutEndIsEndpointFailure, "caller leaves": TestCallerThatLeavesInLargeResponseIsNoEndpointFailure,
		"failed write": TestNoRetryAfterFailedWriteToCaller, "progress": TestFailedAttemptLogsProgress,
		"resumed streams": TestInterruptedStreamResumesAtAnotherEndpoint, "interrupted streams": TestInterruptedStreamIsNotEndedNormally,
		"caller disconnects": TestCallerDisconnectClosesEndpointConnection, "stalled streams": TestSlowStreamContinuesAndStalledStreamEnds,
		"withdrawn streams": TestRunningStreamOfEndpointWithoutEntryIsWithdrawn, "shutdown": TestShutdownClosesConnectionsAndThenRefuses,
	} {
		t.Run(name, test)
	}
}
