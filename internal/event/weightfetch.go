package event

import "github.com/apex/log"

// Events of the exchange of weights, 1500 to 1599.
var (
	WeightFetchStarted  = Event{1501, log.InfoLevel, "fetch of a weight set began"}
	WeightFetchFinished = Event{1502, log.InfoLevel, "fetch of a weight set ended with all chunks verified"}
	ChunkCorrupt        = Event{1503, log.WarnLevel, "chunk did not match its digest and was dropped"}
	WeightFetchFailed   = Event{1504, log.WarnLevel, "fetch of a weight set failed and will be tried again"}
)
