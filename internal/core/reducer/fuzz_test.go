package reducer

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// FuzzApply applies arbitrary lines to two states, one of which is encoded and restored halfway, and expects equal
// results.
func FuzzApply(f *testing.F) {
	f.Add([]byte(`{"id":"1","object":"organisation/a","organisation":{"key":"k"}}
{"id":"2","object":"template/t","template":{"kind":"service","pool":"p","open":["replicas"]}}
{"id":"3","object":"deployment/a/d","deployment":{"template":"t","replicas":2}}
{"id":"3","object":"deployment/a/d","delete":true}
{"id":"4","object":"deployment/a/d","base":1,"delete":true}
{`))
	f.Fuzz(func(t *testing.T, data []byte) {
		lines := bytes.Split(data, []byte("\n"))
		uninterrupted, restored := New(), New()
		for i, line := range lines {
			if i == len(lines)/2 {
				restored = encodeAndRestore(t, restored)
			}
			if diff := cmp.Diff(uninterrupted.Apply(line), restored.Apply(line)); diff != "" {
				t.Fatalf("line %d: %s", i, diff)
			}
		}
		if uninterrupted.Digest() != restored.Digest() {
			t.Fatal("digests differ")
		}
		if diff := cmp.Diff(uninterrupted.Deployments(), restored.Deployments()); diff != "" {
			t.Fatal(diff)
		}
	})
}

func encodeAndRestore(t *testing.T, r *Reducer) *Reducer {
	t.Helper()
	data, err := json.Marshal(r.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	var snapshot Snapshot
	if err := json.Unmarshal(data, &snapshot); err != nil {
		t.Fatal(err)
	}
	out, err := Restore(snapshot)
	if err != nil {
		t.Fatal(err)
	}
	return out
}
