package factexchanger

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmegdock/nutmegdock/internal/core/crashsuspector"
)

// Kind says what the receiver of a message does with it.
type Kind int

const (
	// Announcement is merged and acknowledged.
	Announcement Kind = iota
	// Acknowledgement ends the repeats of an announcement.
	Acknowledgement
	// Round states the sender's digest. If that of the receiver differs, it replies with its facts in a Request.
	Round
	// Request is merged. If the digests still differ, the receiver replies with its facts in a Response.
	Request
	// Response is merged. It is sent in parts, as a Request is; only the last part has the kind Request.
	Response
)

// Message carries facts to another host.
type Message struct {
	_    struct{} `cbor:",toarray"`
	Kind Kind
	// Number is that of an announcement, also in its acknowledgement, and the digest of all facts of the sender otherwise.
	Number uint64
	Facts  crashsuspector.Facts
}

// Upper bounds of the encoded sizes.
const (
	integerBytes     = 9
	crashBytes       = 3*integerBytes + 1
	clearingBytes    = 2*integerBytes + 1
	messageBaseBytes = 128
)

// split splits facts into parts that fit into messages of maxBytes. There is at least one part. The suspects of a crash
// that is too large for a message are split as well.
func split(facts crashsuspector.Facts, maxBytes int) []crashsuspector.Facts {
	capacity := maxBytes - messageBaseBytes
	parts := []crashsuspector.Facts{{}}
	left := capacity
	reserve := func(n int) *crashsuspector.Facts {
		if n > left {
			parts = append(parts, crashsuspector.Facts{})
			left = capacity
		}
		left -= n
		return &parts[len(parts)-1]
	}
	maxSuspects := (capacity - crashBytes) / integerBytes
	for _, c := range facts.Crashes {
		for rest := c.Suspects; len(rest) > 0; {
			n := min(len(rest), maxSuspects)
			part := reserve(crashBytes + n*integerBytes)
			part.Crashes = append(part.Crashes, crashsuspector.Crash{ID: c.ID, AgeMs: c.AgeMs, Suspects: rest[:n]})
			rest = rest[n:]
		}
	}
	for _, c := range facts.Clearings {
		part := reserve(clearingBytes)
		part.Clearings = append(part.Clearings, c)
	}
	return parts
}

// digest returns the same number for facts that mean the same: the crashes, with the suspects that are not cleared. It
// is zero without facts. It does not depend on the ages, which differ by the time that messages take.
func digest(facts crashsuspector.Facts) uint64 {
	clearedMs := make(map[crashsuspector.Feature]int64, len(facts.Clearings))
	for _, c := range facts.Clearings {
		if age, ok := clearedMs[c.Feature]; !ok || c.AgeMs < age {
			clearedMs[c.Feature] = c.AgeMs
		}
	}
	var sum uint64
	var buf []byte
	for _, c := range facts.Crashes {
		suspects := slices.Sorted(slices.Values(c.Suspects))
		buf = binary.BigEndian.AppendUint64(buf[:0], uint64(c.ID))
		for _, f := range slices.Compact(suspects) {
			buf = binary.BigEndian.AppendUint64(buf, uint64(f))
			if age, ok := clearedMs[f]; ok && age <= c.AgeMs {
				buf = append(buf, 1)
			}
		}
		sum += xxhash.Sum64(buf)
	}
	return sum
}
