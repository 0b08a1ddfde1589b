package catalog

// Refs returns pointers to all artifact references of the record, so that the caller can fill in their digests.
func (r *Record) Refs() []*Ref {
	var out []*Ref
	add := func(model *Ref, adapters []Ref) {
		if model != nil {
			out = append(out, model)
		}
		for i := range adapters {
			out = append(out, &adapters[i])
		}
	}
	if t := r.Template; t != nil {
		add(t.Model, t.Adapters)
	}
	if d := r.Deployment; d != nil {
		var adapters []Ref
		if d.Adapters != nil {
			adapters = *d.Adapters
		}
		add(d.Model, adapters)
	}
	return out
}
