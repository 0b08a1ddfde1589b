package claimreducer

import (
	"encoding/hex"
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

// encodedRecord is the log format of a record. To save space it uses CBOR arrays, lists each control address once, and
// holds identifiers in binary form.
type encodedRecord struct {
	_         struct{} `cbor:",toarray"`
	Addresses []string
	Claims    []encodedClaim
	Releases  []encodedRelease
}

type encodedClaim struct {
	_             struct{} `cbor:",toarray"`
	Key           []byte
	RequestDigest []byte
	Attempt       []byte
	AddressIndex  int
}

type encodedRelease struct {
	_       struct{} `cbor:",toarray"`
	Key     []byte
	Attempt []byte
}

// Forms of packed identifiers. The first byte of a packed identifier gives its form.
const (
	formText byte = iota
	formHex
	formUUID
)

// Encode returns the log format of the record.
func (r Record) Encode() ([]byte, error) {
	var enc encodedRecord
	index := make(map[string]int)
	for _, c := range r.Claims {
		i, ok := index[c.ControlAddress]
		if !ok {
			i = len(enc.Addresses)
			index[c.ControlAddress] = i
			enc.Addresses = append(enc.Addresses, c.ControlAddress)
		}
		enc.Claims = append(enc.Claims, encodedClaim{Key: packIdentifier(string(c.Key)), RequestDigest: packIdentifier(c.RequestDigest), Attempt: packIdentifier(string(c.Attempt)), AddressIndex: i})
	}
	for _, rel := range r.Releases {
		enc.Releases = append(enc.Releases, encodedRelease{Key: packIdentifier(string(rel.Key)), Attempt: packIdentifier(string(rel.Attempt))})
	}
	return cbor.Marshal(enc)
}

// Decode parses a record in the log format.
func Decode(data []byte) (Record, error) {
	var enc encodedRecord
	if err := cbor.Unmarshal(data, &enc); err != nil {
		return Record{}, fmt.Errorf("claim record: %w", err)
	}
	var r Record
	for _, c := range enc.Claims {
		if c.AddressIndex < 0 || c.AddressIndex >= len(enc.Addresses) {
			return Record{}, fmt.Errorf("claim record: names address %d of %d", c.AddressIndex, len(enc.Addresses))
		}
		r.Claims = append(r.Claims, Claim{
			Key: KeyDigest(unpackIdentifier(c.Key)), RequestDigest: unpackIdentifier(c.RequestDigest), Attempt: ident.RequestID(unpackIdentifier(c.Attempt)),
			ControlAddress: enc.Addresses[c.AddressIndex],
		})
	}
	for _, rel := range enc.Releases {
		r.Releases = append(r.Releases, Release{Key: KeyDigest(unpackIdentifier(rel.Key)), Attempt: ident.RequestID(unpackIdentifier(rel.Attempt))})
	}
	return r, nil
}

// packIdentifier returns an identifier in binary form if it is a UUID or a lower-case hexadecimal number, and as text
// otherwise.
func packIdentifier(s string) []byte {
	if u, err := uuid.Parse(s); err == nil && u.String() == s {
		return append([]byte{formUUID}, u[:]...)
	}
	if b, err := hex.DecodeString(s); err == nil && hex.EncodeToString(b) == s {
		return append([]byte{formHex}, b...)
	}
	return append([]byte{formText}, s...)
}

func unpackIdentifier(b []byte) string {
	if len(b) == 0 {
		return ""
	}
	content := b[1:]
	switch b[0] {
	case formUUID:
		if u, err := uuid.FromBytes(content); err == nil {
			return u.String()
		}
	case formHex:
		return hex.EncodeToString(content)
	}
	return string(content)
}
