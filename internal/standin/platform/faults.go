package platform

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/standin/weights"
)

// Faults switches faults of the stand-ins. A part that is absent stays as it is.
type Faults struct {
	Log     *LogFaults    `json:"log,omitempty"`
	Members *MemberFaults `json:"members,omitempty"`
	Store   *SourceFaults `json:"store,omitempty"`
	Origin  *SourceFaults `json:"origin,omitempty"`
}

// LogFaults are faults of the log service.
type LogFaults struct {
	Down bool `json:"down"`
	// Lose is the number of appends that take effect without an answer.
	Lose int `json:"lose"`
	// Retention is how long records are kept, in milliseconds; zero keeps them.
	Retention int `json:"retention"`
}

// MemberFaults are faults of the membership service.
type MemberFaults struct {
	Down bool `json:"down"`
	// Lag is the age of the list in milliseconds.
	Lag int `json:"lag"`
}

// SourceFaults are faults of the weight store or the origin.
type SourceFaults struct {
	Down bool `json:"down"`
}

// Switch puts faults into force.
func (p *Platform) Switch(f Faults) {
	if l := f.Log; l != nil {
		p.Log.SetDown(l.Down)
		p.Log.LoseAnswers(l.Lose)
		p.Log.SetRetention(time.Duration(l.Retention) * time.Millisecond)
	}
	if m := f.Members; m != nil {
		p.Members.SetDown(m.Down)
		p.Members.SetLag(time.Duration(m.Lag) * time.Millisecond)
	}
	switchSource(&p.Store, f.Store)
	switchSource(&p.Origin, f.Origin)
}

func switchSource(s *weights.Source, f *SourceFaults) {
	if f != nil {
		s.SetDown(f.Down)
	}
}

func (p *Platform) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		http.Error(w, "body must be faults: "+err.Error(), http.StatusBadRequest)
		return
	}
	p.Switch(f)
	w.WriteHeader(http.StatusNoContent)
}
