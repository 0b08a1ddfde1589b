// Package crashsuspector finds the features of requests that crash engines, from the crashes and the answers that all
// entry hosts observe.
package crashsuspector

// Verdict says how a request may be run.
type Verdict int

// Verdicts.
const (
	// Clean requests run without restrictions.
	Clean Verdict = iota
	// Suspect requests run, but are not sent to another endpoint after one that crashed.
	Suspect
	// Quarantined requests are refused.
	Quarantined
)

// Suspector holds the facts of one host. Set its fields before use. It is safe for concurrent use.
type Suspector struct {
	// OnQuarantine is called with each feature that becomes quarantined, without a lock held. It may be nil.
	OnQuarantine func(f Feature)
	// MayProbe reports whether this host is the one that tries a quarantined feature again after a time. Nil means never.
	MayProbe func() bool
}

// RecordCrash records a crash that this host has observed, and returns the facts to announce to the other hosts.
func (s *Suspector) RecordCrash(id CrashID, suspects []Feature) Facts { return Facts{} }

// RecordSuccess records that a request with the features was answered, and returns the facts to announce.
func (s *Suspector) RecordSuccess(features []Feature) Facts { return Facts{} }

// Merge adds the facts of another host, and returns the clearings that this host knows of the suspects among them.
func (s *Suspector) Merge(facts Facts) Facts { return Facts{} }

// Facts returns the facts that still matter, for a host that may lack them.
func (s *Suspector) Facts() Facts { return Facts{} }

// Verdict returns how a request with the features may be run.
func (s *Suspector) Verdict(features []Feature) Verdict { return Clean }
