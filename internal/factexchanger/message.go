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
	clearingBytes    = 3*integerBytes + 1
	messageBaseBytes = 128
)

// split splits facts into parts that fit into messages of maxBytes. There is at least one part. Each crash fits into a
// message, as the number of its suspects is bounded.
func split(facts crashsuspector.Facts, maxBytes int) []crashsuspector.Facts {
	parts := []crashsuspector.Facts{{}}
	left := maxBytes - messageBaseBytes
	reserve := func(n int) *crashsuspector.Facts {
		if n > left {
			parts = append(parts, crashsuspector.Facts{})
			left = maxBytes - messageBaseBytes
		}
		left -= n
		return &parts[len(parts)-1]
	}
	for _, c := range facts.Crashes {
		part := reserve(crashBytes + len(c.Suspects)*integerBytes)
		part.Crashes = append(part.Crashes, c)
	}
	for _, c := range facts.Clearings {
		part := reserve(clearingBytes)
		part.Clearings = append(part.Clearings, c)
	}
	return parts
}

// digest returns the same number for facts from which the same is concluded: the crashes with their suspects, and which
// of these were answered at another time. It does not depend on the ages, which differ by the time that messages take.
func digest(facts crashsuspector.Facts) uint64 {
	answered := make(map[crashsuspector.Feature]bool, len(facts.Clearings))
	for _, c := range facts.Clearings {
		answered[c.Feature] = true
	}
	var sum uint64
	var buf []byte
	for _, c := range facts.Crashes {
		if len(c.Suspects) == 0 {
			continue
		}
		buf = binary.BigEndian.AppendUint64(buf[:0], uint64(c.ID))
		for _, f := range slices.Sorted(slices.Values(c.Suspects)) {
			buf = binary.BigEndian.AppendUint64(buf, uint64(f))
			if answered[f] {
				buf = append(buf, 1)
			}
		}
		sum += xxhash.Sum64(buf)
	}
	return sum
}
