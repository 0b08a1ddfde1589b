package catalog

// Refs returns pointers to all artifact references of the record, so that the caller can fill in their digests.
func (r *Record) Refs() []*ArtifactRef {
	var out []*ArtifactRef
	add := func(model *ArtifactRef, adapters []ArtifactRef) {
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
		var adapters []ArtifactRef
		if d.Adapters != nil {
			adapters = *d.Adapters
		}
		add(d.Model, adapters)
	}
	return out
}
