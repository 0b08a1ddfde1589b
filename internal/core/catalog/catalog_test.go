package catalog

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

func TestCheckReportsAllFaults(t *testing.T) {
	is := is.New(t)
	negative := -1
	records := []Record{
		{ID: "1", Object: "template/chat", Template: &Template{
			Kind: "x", Pool: "Bad Pool", Replicas: 1, MinServing: 2, Priority: 1000, FetchGoal: "y", Zones: []ident.Zone{"a", "a"},
			IdempotentRoutes: []string{"GET", "GET /[", "GET /ok/*"}, Overridable: []string{"pool"}, Adapters: []ArtifactRef{{Name: "a b"}},
		}},
		{ID: "2", Object: "template/chat", Template: &Template{Kind: KindEngine, Pool: "lm"}},
		{ID: "3", Object: "template/b", Template: &Template{Kind: KindService, Pool: "b", Model: &ArtifactRef{Name: "m", Version: "1", Digest: "d"}}},
		{ID: "4", Object: "deployment/acme", Deployment: &Deployment{Template: "chat", Replicas: &negative}},
		{ID: "5", Object: "organisation/acme", Organisation: &Organisation{Weight: -1}, Template: &Template{}},
		{ID: "6", Object: "other/acme", Delete: true},
		{ID: "7", Object: "template/chat", Delete: true, Template: &Template{Kind: KindService, Pool: "b"}},
		{ID: "8", Object: "organisation/" + "Ä", Organisation: &Organisation{Key: "k"}},
		{ID: "9", Object: "organisation/acme"},
		{ID: "10", Object: "organisation/acme", Organisation: &Organisation{Key: "k", Weight: 1}},
	}
	var out bytes.Buffer
	enc := json.NewEncoder(&out)
	for _, r := range records {
		is.NoErr(enc.Encode(struct {
			ID     string  `json:"id"`
			Faults []Fault `json:"faults"`
		}{string(r.ID), r.Check()}))
	}
	goldie.New(t).Assert(t, "faults", out.Bytes())
}

func TestDecodeRejectsOversizedFields(t *testing.T) {
	is := is.New(t)
	_, err := Decode([]byte(`{"id":"` + strings.Repeat("x", MaxIDBytes+1) + `","object":"template/a"}`))
	is.True(err != nil)
	_, err = Decode([]byte(`{"id":"1","object":"template/a","author":"` + strings.Repeat("x", MaxRecordBytes) + `"}`))
	is.True(err != nil)
}

// FuzzDecode verifies that a record that decodes can be checked, and that encoding it, decoding it and encoding it
// again gives the same bytes.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"id":"1","object":"template/chat","base":0,"template":{"kind":"engine","pool":"lm"}}`))
	f.Add([]byte(`{"id":"2","object":"deployment/acme/chat","deployment":{"template":"chat","replicas":1}}`))
	f.Add([]byte(`{"id":"3","object":"organisation/acme","organisation":{"key":"k"},"time":"2026-01-02T03:04:05Z"}`))
	f.Add([]byte(`{"id":"4","object":"deployment","delete":true}`))
	f.Add([]byte(`{"id":`))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := Decode(data)
		if err != nil {
			return
		}
		faults := r.Check()
		if len(faults) > MaxFaults {
			t.Fatalf("%d faults", len(faults))
		}
		first, err := r.Encode()
		if err != nil {
			t.Fatalf("record decodes but does not encode: %v", err)
		}
		again, err := Decode(first)
		if err != nil {
			if len(first) > MaxRecordBytes {
				return
			}
			t.Fatalf("record does not decode again: %v", err)
		}
		second, err := again.Encode()
		if err != nil || !bytes.Equal(first, second) {
			t.Fatalf("encodings differ: %s and %s: %v", first, second, err)
		}
	})
}
