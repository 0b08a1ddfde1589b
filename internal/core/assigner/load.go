package assigner

import "github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"

// Class orders the requests at an engine: the ranks, and after them the class of requests whose objective has passed.
type Class int

const (
	// lateClass is the class of requests whose objective has passed.
	lateClass Class = fleetconfig.MaxRanks
	// classCount is the number of classes.
	classCount = int(lateClass) + 1
)

// ClassLoad is the part of a load in one class.
type ClassLoad struct {
	_ struct{} `cbor:",toarray"`
	// Requests is the number of requests in flight, and Waiting the number of those that have not received a first event.
	// PendingPromptTokens is the number of prompt tokens of the latter.
	Requests, Waiting, PendingPromptTokens int
}

// Load is the load that one entry host has at an endpoint.
type Load struct {
	_ struct{} `cbor:",toarray"`
	// Requests is the number of requests in flight. PendingPromptTokens is the number of prompt tokens of those that
	// have not received a first event.
	Requests, PendingPromptTokens int
	// Classes is the load by class.
	Classes [classCount]ClassLoad
	// Response is the part that is still to be generated.
	Response ResponseLoad
}

// class returns the class of a request.
func (q *Query) class() Class {
	if q.TimeLeft <= 0 {
		return lateClass
	}
	return min(max(0, Class(q.Rank)), lateClass-1)
}

// add counts a request that has been assigned.
func (l *Load) add(c Class, promptTokens int) {
	l.Requests++
	l.PendingPromptTokens += promptTokens
	class := &l.Classes[c]
	class.Requests++
	class.Waiting++
	class.PendingPromptTokens += promptTokens
}

// begin counts the first event of a request, or its end without one.
func (l *Load) begin(c Class, promptTokens int) {
	l.PendingPromptTokens = max(0, l.PendingPromptTokens-promptTokens)
	class := &l.Classes[c]
	class.Waiting = max(0, class.Waiting-1)
	class.PendingPromptTokens = max(0, class.PendingPromptTokens-promptTokens)
}

// remove counts the end of a request that no longer waits.
func (l *Load) remove(c Class) {
	l.Requests = max(0, l.Requests-1)
	l.Classes[c].Requests = max(0, l.Classes[c].Requests-1)
}

// Plus returns the sum of two loads.
func (l Load) Plus(other Load) Load {
	l.Requests += other.Requests
	l.PendingPromptTokens += other.PendingPromptTokens
	l.Response = l.Response.Add(other.Response)
	for i := range l.Classes {
		l.Classes[i].Requests += other.Classes[i].Requests
		l.Classes[i].Waiting += other.Classes[i].Waiting
		l.Classes[i].PendingPromptTokens += other.Classes[i].PendingPromptTokens
	}
	return l
}

// loadMean is a moving average of loads.
type loadMean struct {
	requests, pendingPromptTokens float64
	classes                       [classCount]struct{ requests, waiting, pendingPromptTokens float64 }
}

// update moves the average towards a load by a weight in (0, 1].
func (m *loadMean) update(l Load, weight float64) {
	m.requests += weight * (float64(l.Requests) - m.requests)
	m.pendingPromptTokens += weight * (float64(l.PendingPromptTokens) - m.pendingPromptTokens)
	for i, c := range l.Classes {
		mean := &m.classes[i]
		mean.requests += weight * (float64(c.Requests) - mean.requests)
		mean.waiting += weight * (float64(c.Waiting) - mean.waiting)
		mean.pendingPromptTokens += weight * (float64(c.PendingPromptTokens) - mean.pendingPromptTokens)
	}
}

func (m *loadMean) load() Load {
	l := Load{Requests: int(m.requests), PendingPromptTokens: int(m.pendingPromptTokens)}
	for i, c := range m.classes {
		l.Classes[i] = ClassLoad{Requests: int(c.requests), Waiting: int(c.waiting), PendingPromptTokens: int(c.pendingPromptTokens)}
	}
	return l
}
