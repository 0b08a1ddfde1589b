package fleetwatcher

import (
	"strings"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

// evacuatedZone returns the zone that a record of the operator evacuates, if it is one.
func (w *Watcher) evacuatedZone(key string) (ident.Zone, bool) {
	if w.Topics.EvacuationKeyPrefix == "" {
		return "", false
	}
	zone, ok := strings.CutPrefix(key, w.Topics.EvacuationKeyPrefix)
	return ident.Zone(zone), ok && zone != ""
}

// evacuatedZones returns the zones that the values of a snapshot evacuate.
func (w *Watcher) evacuatedZones(values map[string][]byte) (zones []ident.Zone) {
	for key, value := range values {
		if z, ok := w.evacuatedZone(key); ok && len(value) > 0 {
			zones = append(zones, z)
		}
	}
	return zones
}

// replaceEvacuations applies the evacuations of a snapshot.
func (w *Watcher) replaceEvacuations(values map[string][]byte) {
	if w.Evacuations == nil {
		return
	}
	zones := w.evacuatedZones(values)
	w.Evacuations.Replace(zones)
	w.setNewestEvacuations()
}

// applyEvacuations applies changes of evacuations. A record without a value ends the evacuation.
func (w *Watcher) applyEvacuations(values map[string][]byte) {
	if w.Evacuations == nil {
		return
	}
	for key, value := range values {
		z, ok := w.evacuatedZone(key)
		switch {
		case !ok:
		case len(value) > 0:
			w.Evacuations.Begin(z)
		default:
			w.Evacuations.End(z)
		}
	}
	w.setNewestEvacuations()
}

// evacuationValue is the value of the record of an evacuation in the newest state that hosts give to each other.
var evacuationValue = []byte("{}")

// setNewestEvacuations makes the newest operator values contain exactly the evacuations that are in force.
func (w *Watcher) setNewestEvacuations() {
	zones := w.Evacuations.Zones()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.packedNewest = nil
	for key := range w.newestOperatorValues {
		if _, ok := w.evacuatedZone(key); ok {
			delete(w.newestOperatorValues, key)
		}
	}
	if w.newestOperatorValues == nil {
		w.newestOperatorValues = make(map[string][]byte)
	}
	for _, z := range zones {
		w.newestOperatorValues[w.Topics.EvacuationKeyPrefix+string(z)] = evacuationValue
	}
}
