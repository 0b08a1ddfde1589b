package claimreducer

import (
	"encoding/hex"
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

// recordForm is a record as it stands in the log: CBOR arrays, with each address named once and identifiers in binary.
type recordForm struct {
	_        struct{} `cbor:",toarray"`
	Controls []string
	Claims   []claimForm
	Releases []releaseForm
}

type claimForm struct {
	_       struct{} `cbor:",toarray"`
	Key     []byte
	Body    []byte
	Attempt []byte
	Control int
}

type releaseForm struct {
	_       struct{} `cbor:",toarray"`
	Key     []byte
	Attempt []byte
}

// Forms of packed identifiers, by their first byte.
const (
	packedText byte = iota
	packedHex
	packedUUID
)

// Encode returns the record as it stands in the log.
func (r Record) Encode() ([]byte, error) {
	var f recordForm
	index := make(map[string]int)
	for _, c := range r.Claims {
		i, ok := index[c.Control]
		if !ok {
			i = len(f.Controls)
			index[c.Control] = i
			f.Controls = append(f.Controls, c.Control)
		}
		f.Claims = append(f.Claims, claimForm{Key: pack(string(c.Key)), Body: pack(c.Body), Attempt: pack(string(c.Attempt)), Control: i})
	}
	for _, rel := range r.Releases {
		f.Releases = append(f.Releases, releaseForm{Key: pack(string(rel.Key)), Attempt: pack(string(rel.Attempt))})
	}
	return cbor.Marshal(f)
}

// Decode parses a record of the log.
func Decode(data []byte) (Record, error) {
	var f recordForm
	if err := cbor.Unmarshal(data, &f); err != nil {
		return Record{}, fmt.Errorf("claim record: %w", err)
	}
	var r Record
	for _, c := range f.Claims {
		if c.Control < 0 || c.Control >= len(f.Controls) {
			return Record{}, fmt.Errorf("claim record: names address %d of %d", c.Control, len(f.Controls))
		}
		r.Claims = append(r.Claims, Claim{
			Key: Key(unpack(c.Key)), Body: unpack(c.Body), Attempt: ident.Request(unpack(c.Attempt)),
			Control: f.Controls[c.Control],
		})
	}
	for _, rel := range f.Releases {
		r.Releases = append(r.Releases, Release{Key: Key(unpack(rel.Key)), Attempt: ident.Request(unpack(rel.Attempt))})
	}
	return r, nil
}

// pack shortens an identifier that is a UUID or a lower-case hexadecimal number.
func pack(s string) []byte {
	if u, err := uuid.Parse(s); err == nil && u.String() == s {
		return append([]byte{packedUUID}, u[:]...)
	}
	if b, err := hex.DecodeString(s); err == nil && hex.EncodeToString(b) == s {
		return append([]byte{packedHex}, b...)
	}
	return append([]byte{packedText}, s...)
}

func unpack(b []byte) string {
	if len(b) == 0 {
		return ""
	}
	rest := b[1:]
	switch b[0] {
	case packedUUID:
		if u, err := uuid.FromBytes(rest); err == nil {
			return u.String()
		}
	case packedHex:
		return hex.EncodeToString(rest)
	}
	return string(rest)
}
