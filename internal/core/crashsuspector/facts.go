package crashsuspector

// Feature is a hash of something that requests have in common: a part of their prompts, or the whole request.
type Feature uint64

// CrashID identifies the end of one incarnation of an endpoint. All hosts derive the same id from the incarnation.
type CrashID uint64

// ClearingID identifies one answer to a request with a feature.
type ClearingID uint32

// Crash is the end of an endpoint with requests in progress.
type Crash struct {
	_  struct{} `cbor:",toarray"`
	ID CrashID
	// AgeMs is the time in milliseconds since the crash.
	AgeMs int64
	// Suspects lists the features of the requests that may have caused it.
	Suspects []Feature
}

// Clearing says that a request with a feature was answered, so that the feature does not explain earlier crashes.
type Clearing struct {
	_       struct{} `cbor:",toarray"`
	Feature Feature
	ID      ClearingID
	// AgeMs is the time in milliseconds since the answer.
	AgeMs int64
}

// Facts is what one host tells others. Facts merge in any order, and a fact that is received twice counts once.
type Facts struct {
	_         struct{} `cbor:",toarray"`
	Crashes   []Crash
	Clearings []Clearing
}

// IsEmpty reports whether there are no facts.
func (f Facts) IsEmpty() bool {
	return len(f.Crashes) == 0 && len(f.Clearings) == 0
}
