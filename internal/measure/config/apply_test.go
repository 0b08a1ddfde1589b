package config_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/checkpointer"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/reducer"
	"github.com/nutmegdock/nutmegdock/internal/measure"
)

// deploymentsPerTemplate is the number of deployments of each template. It is also that of each organisation.
const deploymentsPerTemplate = 10

// newReducer returns a configuration state that has n deployments and the templates and organisations for them.
func newReducer(t testing.TB, n int) *reducer.Reducer {
	t.Helper()
	r := reducer.New()
	add := func(rec catalog.Record) {
		rec.Author = "operator"
		data, err := rec.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if result := r.Apply(data); result.Verdict != reducer.Accepted {
			t.Fatalf("%s: %s", rec.ID, result.Reason)
		}
	}
	for i := range n / deploymentsPerTemplate {
		add(catalog.Record{
			ID: ident.ChangeID(fmt.Sprintf("o%d", i)), Object: ident.ObjectPath(fmt.Sprintf("organisation/o%d", i)),
			Organisation: &catalog.Organisation{Key: ident.Digest(fmt.Sprintf("%064d", i))},
		})
		add(catalog.Record{ID: ident.ChangeID(fmt.Sprintf("t%d", i)), Object: ident.ObjectPath(fmt.Sprintf("template/t%d", i)), Template: engineTemplate(0)})
	}
	for i := range n {
		add(catalog.Record{
			ID: ident.ChangeID(fmt.Sprintf("d%d", i)), Object: ident.ObjectPath(fmt.Sprintf("deployment/o%d/d%d", i/deploymentsPerTemplate, i)),
			Deployment: &catalog.Deployment{Template: ident.Template(fmt.Sprintf("t%d", i%(n/deploymentsPerTemplate)))},
		})
	}
	return r
}

// engineTemplate returns a template with the given version of its model.
func engineTemplate(version int) *catalog.Template {
	return &catalog.Template{
		Kind: catalog.KindEngine, Pool: "lm", Replicas: 4, MinServing: 1, Overridable: []string{"replicas"},
		Model: &catalog.ArtifactRef{Name: "m", Version: fmt.Sprint(version), Digest: ident.Digest(fmt.Sprintf("%064d", version))},
	}
}

// TestMeasureConfigFold measures the time to apply a record, the memory for the state and the size of a checkpoint, for
// growing numbers of deployments. A change of a template affects ten deployments, whatever their total number.
func TestMeasureConfigFold(t *testing.T) {
	if !measure.IsBenchRun() {
		t.Log("skipped: runs in script/bench only")
		return
	}
	for _, n := range []int{100, 1_000, 10_000} {
		before := heapBytes()
		r := newReducer(t, n)
		report := func(name string, value float64, unit string) {
			measure.Report(t, measure.Figure{Name: fmt.Sprintf("config.%s.%d", name, n), Value: value, Unit: unit})
		}
		report("state.memory", float64(heapBytes()-before), "B")
		report("fold.deployment", measureApply(t, r, func(i int) catalog.Record {
			replicas := 4
			return catalog.Record{
				Object: "deployment/o0/d0", Base: ident.Revision(i + 1), Deployment: &catalog.Deployment{Template: "t0", Replicas: &replicas},
			}
		}), "ns")
		report("fold.template", measureApply(t, r, func(i int) catalog.Record {
			return catalog.Record{Object: "template/t0", Base: ident.Revision(i + 1), Template: engineTemplate(i)}
		}), "ns")
		checkpoint, err := checkpointer.Encode(newReducer(t, n))
		if err != nil {
			t.Fatal(err)
		}
		size := 0
		for _, part := range checkpoint.Parts {
			size += len(part)
		}
		report("checkpoint.bytes", float64(size), "B")
	}
}

// measureApply returns the time, in nanoseconds, to apply one of the records that next returns and to clone the state.
func measureApply(t *testing.T, r *reducer.Reducer, next func(i int) catalog.Record) float64 {
	t.Helper()
	i := 0
	result := testing.Benchmark(func(b *testing.B) {
		records := make([][]byte, b.N)
		for j := range records {
			rec := next(i)
			rec.ID = ident.ChangeID(fmt.Sprintf("%s-%d", rec.Object, i))
			if len(rec.ID) > catalog.MaxIDBytes {
				b.Fatal("change ID is too long")
			}
			records[j], _ = rec.Encode()
			i++
		}
		b.ResetTimer()
		for _, data := range records {
			if applied := r.Apply(data); applied.Verdict != reducer.Accepted {
				b.Fatalf("%s: %s", applied.Verdict, applied.Reason)
			}
			_ = r.Clone()
		}
	})
	return float64(result.NsPerOp())
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
