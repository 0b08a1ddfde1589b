package fleetwatcher

import "time"

func (w *Watcher) recordOperatorRead(ok bool) {
	if ok {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.operatorReadAt = time.Now()
	}
}

func (w *Watcher) recordEndpointRead(ok bool) {
	w.Tracker.RecordRead(ok)
	if ok {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.endpointsReadAt = time.Now()
	}
}

// ReadAge returns the time since the topics of the operator and of the endpoints were both read, by their older read. It
// is more than any limit before the first reads.
func (w *Watcher) ReadAge() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return max(time.Since(w.operatorReadAt), time.Since(w.endpointsReadAt))
}
