package platform

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/standin/weightsource"
)

// Faults selects the faults that the stand-ins simulate. The faults of a stand-in whose field is absent do not change.
type Faults struct {
	Log     *LogFaults    `json:"log,omitempty"`
	Members *MemberFaults `json:"members,omitempty"`
	Store   *SourceFaults `json:"store,omitempty"`
	Origin  *SourceFaults `json:"origin,omitempty"`
}

// LogFaults selects faults of the log service.
type LogFaults struct {
	Down bool `json:"down"`
	// LoseResponses is the number of appends that are stored but get no response.
	LoseResponses int `json:"lose"`
	// RetentionMs is how long a record is retained, in milliseconds; zero disables expiry.
	RetentionMs int `json:"retention"`
}

// MemberFaults selects faults of the membership service.
type MemberFaults struct {
	Down bool `json:"down"`
	// LagMs is the age of the returned host list in milliseconds.
	LagMs int `json:"lag"`
}

// SourceFaults selects faults of the weight store or the origin.
type SourceFaults struct {
	Down bool `json:"down"`
}

// SetFaults applies the given faults immediately.
func (p *Platform) SetFaults(f Faults) {
	if l := f.Log; l != nil {
		p.Log.SetDown(l.Down)
		p.Log.LoseResponses(l.LoseResponses)
		p.Log.SetRetention(time.Duration(l.RetentionMs) * time.Millisecond)
	}
	if m := f.Members; m != nil {
		p.Members.SetDown(m.Down)
		p.Members.SetLag(time.Duration(m.LagMs) * time.Millisecond)
	}
	setSourceFaults(&p.Store, f.Store)
	setSourceFaults(&p.Origin, f.Origin)
}

func setSourceFaults(s *weightsource.Source, f *SourceFaults) {
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
	p.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}
