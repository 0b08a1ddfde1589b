// Package inflighttracker follows the requests that run on one back end, so that its death can be told together with them.
package inflighttracker

import (
	"fmt"
	"sync"

	"github.com/nutmegdock/nutmegdock/internal/core/quarantiner"
)

// maxNamed bounds the requests that are named with one death.
const maxNamed = 256

// Death is the end of one incarnation of a back end with the requests that were running on it.
type Death struct {
	ID      quarantiner.Death
	Running []quarantiner.Digest
	// Suspect tells whether a request that was marked as a suspect was among them.
	Suspect bool
}

// Run is one request on the back end.
type Run struct {
	digest      quarantiner.Digest
	incarnation int
}

// Tracker counts the incarnations of one back end. Set its fields before use.
type Tracker struct {
	// Name makes the ids of deaths unique: the host and its birth.
	Name string

	mu          sync.Mutex
	incarnation int
	running     map[*Run]bool
	suspect     *Run
}

// Start adds a request. A suspect is refused, by nil, while another suspect runs.
func (t *Tracker) Start(d quarantiner.Digest, suspect bool) *Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	if suspect && t.suspect != nil {
		return nil
	}
	if t.running == nil {
		t.running = make(map[*Run]bool)
	}
	r := &Run{digest: d, incarnation: t.incarnation}
	t.running[r] = true
	if suspect {
		t.suspect = r
	}
	return r
}

// End removes a request.
func (t *Tracker) End(r *Run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.running, r)
	if t.suspect == r {
		t.suspect = nil
	}
}

// Died ends the incarnation that a request ran on. It returns the death, and whether it is told for the first time.
func (t *Tracker) Died(r *Run) (Death, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	death := Death{ID: quarantiner.Death(fmt.Sprintf("%s/%d", t.Name, r.incarnation)), Suspect: t.suspect != nil}
	if r.incarnation != t.incarnation {
		return death, false
	}
	t.incarnation++
	seen := make(map[quarantiner.Digest]bool)
	for other := range t.running {
		if other.incarnation != r.incarnation || seen[other.digest] || len(seen) == maxNamed {
			continue
		}
		seen[other.digest] = true
		death.Running = append(death.Running, other.digest)
	}
	return death, true
}

// Ended tells whether the incarnation that a request ran on has died.
func (t *Tracker) Ended(r *Run) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return r.incarnation != t.incarnation
}
