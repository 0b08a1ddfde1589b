package manifest

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

func sample() Artifact {
	a, b := DigestOf([]byte("a")), DigestOf([]byte("b"))
	return Artifact{Name: "m", Version: "1", Size: 4, Chunks: []Chunk{{Digest: a, Size: 1}, {Digest: b, Size: 2}, {Digest: a, Size: 1}}}
}

func TestDecodeRejectsInvalidManifest(t *testing.T) {
	cases := map[string]struct {
		change func(a *Artifact)
		reason string
	}{
		"missing chunk":                    {func(a *Artifact) { a.Chunks = a.Chunks[:2] }, "add up"},
		"no chunk":                         {func(a *Artifact) { a.Chunks = nil }, "has 0 chunks"},
		"repeated chunk with another size": {func(a *Artifact) { a.Chunks[2].Size = 2; a.Size = 5 }, "repeated"},
		"chunk too large":                  {func(a *Artifact) { a.Chunks[1].Size = MaxChunkBytes + 1 }, "chunk 1 has"},
		"empty chunk":                      {func(a *Artifact) { a.Chunks[1].Size = 0 }, "chunk 1 has"},
		"negative chunk":                   {func(a *Artifact) { a.Chunks[1].Size = -1 }, "chunk 1 has"},
		"wrong total size":                 {func(a *Artifact) { a.Size = 7 }, "add up"},
		"short digest":                     {func(a *Artifact) { a.Chunks[0].Digest = "ab" }, "no valid digest"},
		"digest not hex":                   {func(a *Artifact) { a.Chunks[0].Digest = ident.Digest(strings.Repeat("g", 64)) }, "no valid digest"},
		"no version":                       {func(a *Artifact) { a.Version = "" }, "no version"},
		"bound to other place":             {func(a *Artifact) { *a = a.Bind(); a.Chunks[0] = a.Chunks[2] }, "not bound"},
		"bound to other version":           {func(a *Artifact) { *a = a.Bind(); a.Version = "2" }, "not bound"},
		"bound to short digest":            {func(a *Artifact) { *a = a.Bind(); a.Chunks[1].Content = "ab" }, "not bound"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a := sample()
			c.change(&a)
			data, err := a.Encode()
			is.NoErr(err)
			_, err = Decode(data, DigestOf(data))
			var invalid *Error
			is.True(errors.As(err, &invalid))
			is.True(strings.Contains(invalid.Reason, c.reason))
		})
	}
}

func TestDecodeRejectsContentThatDoesNotMatchDigest(t *testing.T) {
	is := is.New(t)
	data, err := sample().Encode()
	is.NoErr(err)
	a, err := Decode(data, DigestOf(data))
	is.NoErr(err)
	is.Equal(a, sample())
	_, err = Decode(append(data, ' '), DigestOf(data))
	var invalid *Error
	is.True(errors.As(err, &invalid))
}

// FuzzDecode checks that an accepted manifest is accepted again after it was encoded, and that rejected input yields an
// Error.
func FuzzDecode(f *testing.F) {
	valid, _ := json.Marshal(sample())
	for _, s := range []string{string(valid), "", "{}", "null", `{"chunks":[{}]}`, `{"size":-1}`, `{"chunks":[{"digest":"","size":9e18}]}`, string(valid) + "x"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		a, err := Decode(data, DigestOf(data))
		var invalid *Error
		if err != nil {
			if !errors.As(err, &invalid) {
				t.Fatalf("Decode returned an error of type %T, want *Error", err)
			}
			return
		}
		encoded, err := a.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Decode(encoded, DigestOf(encoded)); err != nil {
			t.Fatalf("Decode rejects the encoding of an accepted manifest: %v", err)
		}
	})
}

// Content that is held for one place was taken for that of another place with the same digest.
func TestBoundChunksOfEqualContentDiffer(t *testing.T) {
	is := is.New(t)
	a := sample().Bind()
	is.NoErr(a.Validate())
	is.True(a.Chunks[0].Digest != a.Chunks[2].Digest)
	is.True(a.Chunks[0].Matches([]byte("a")) && a.Chunks[2].Matches([]byte("a")))
	is.True(!a.Chunks[0].Matches([]byte("b")))
	is.Equal(a.Bind(), a)
	next := sample()
	next.Version = "2"
	is.True(next.Bind().Chunks[0].Digest != a.Chunks[0].Digest)
	data, err := a.Encode()
	is.NoErr(err)
	decoded, err := Decode(data, DigestOf(data))
	is.NoErr(err)
	is.Equal(decoded, a)
}
