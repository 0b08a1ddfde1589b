package follower

import "github.com/nutmegdock/nutmegdock/internal/core/ident"

// Bounds of the records that are kept for peers.
const (
	maxTailRecords = 4096
	maxTailBytes   = 4 << 20
)

// tail keeps the latest records without gaps.
type tail struct {
	next    ident.Offset
	records [][]byte
	bytes   int
}

func (t *tail) add(offset ident.Offset, data []byte) {
	t.next = offset + 1
	t.records = append(t.records, data)
	t.bytes += len(data)
	for len(t.records) > maxTailRecords || t.bytes > maxTailBytes {
		t.bytes -= len(t.records[0])
		t.records = t.records[1:]
	}
}

func (t *tail) from(offset ident.Offset, limit int) ([][]byte, bool) {
	first := t.next - ident.Offset(len(t.records))
	if offset < first || offset >= t.next {
		return nil, false
	}
	var out [][]byte
	for _, data := range t.records[offset-first:] {
		if limit -= len(data); limit < 0 && len(out) > 0 {
			break
		}
		out = append(out, data)
	}
	return out, true
}
