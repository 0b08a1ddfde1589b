package configfollower

import "github.com/nutmegdock/nutmegdock/internal/core/ident"

// Bounds of the records that are held for peers.
const (
	maxRecentRecords = 4096
	maxRecentBytes   = 4 << 20
)

// recentRecords holds the latest records, without gaps.
type recentRecords struct {
	next    ident.Offset
	records [][]byte
	bytes   int
}

func (r *recentRecords) add(offset ident.Offset, data []byte) {
	r.next = offset + 1
	r.records = append(r.records, data)
	r.bytes += len(data)
	for len(r.records) > maxRecentRecords || r.bytes > maxRecentBytes {
		r.bytes -= len(r.records[0])
		r.records = r.records[1:]
	}
}

func (r *recentRecords) from(offset ident.Offset, limit int) ([][]byte, bool) {
	first := r.next - ident.Offset(len(r.records))
	if offset < first || offset >= r.next {
		return nil, false
	}
	var out [][]byte
	for _, data := range r.records[offset-first:] {
		if limit -= len(data); limit < 0 && len(out) > 0 {
			break
		}
		out = append(out, data)
	}
	return out, true
}
