// Package recordpacker packs the records of a topic for another host.
package recordpacker

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"github.com/nutmegdock/nutmegdock/internal/bodyreader"
	"github.com/nutmegdock/nutmegdock/internal/watcher"
)

const (
	// maxRecordsBytes limits the decompressed records of one response of another host.
	maxRecordsBytes = 32 << 20
	// maxRecords limits the number of records.
	maxRecords = 1 << 20
	// minCompressBytes is the size from which records are compressed.
	minCompressBytes = 4 << 10
)

// decMode accepts keys that are not valid UTF-8: other writers may use any bytes, and their records must not hide the others.
var decMode = newDecMode()

func newDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid, MaxArrayElements: maxRecords}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}

// Packer packs one list of records at the first use, so that many hosts that need the same list cost no more than one. Set Records
// before use. It is safe for concurrent use.
type Packer struct {
	Records []watcher.Change

	once         sync.Once
	data         []byte
	isCompressed bool
	err          error
}

// Pack returns the packed records, which the caller must not change, and whether they are compressed.
func (p *Packer) Pack() (data []byte, isCompressed bool, err error) {
	p.once.Do(func() { p.data, p.isCompressed, p.err = pack(p.Records) })
	return p.data, p.isCompressed, p.err
}

// pack returns the records as CBOR, compressed if that is large. In JSON, values would be base64, which compresses badly.
func pack(records []watcher.Change) (data []byte, isCompressed bool, err error) {
	if len(records) == 0 {
		return nil, false, nil
	}
	data, err = cbor.Marshal(records)
	if err != nil {
		return nil, false, fmt.Errorf("encode records: %w", err)
	}
	if len(data) < minCompressBytes {
		return data, false, nil
	}
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if _, err := w.Write(data); err != nil {
		return nil, false, fmt.Errorf("compress records: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, false, fmt.Errorf("compress records: %w", err)
	}
	return b.Bytes(), true, nil
}

// Unpack returns the records that another host has packed.
func Unpack(data []byte, isCompressed bool) ([]watcher.Change, error) {
	if len(data) == 0 {
		return nil, nil
	}
	if isCompressed {
		r, err := gzip.NewReader(bytes.NewReader(data))
		if err != nil {
			return nil, fmt.Errorf("decompress records: %w", err)
		}
		if data, err = bodyreader.ReadAll(r, maxRecordsBytes); err != nil {
			return nil, fmt.Errorf("decompress records: %w", err)
		}
	}
	var records []watcher.Change
	if err := decMode.Unmarshal(data, &records); err != nil {
		return nil, fmt.Errorf("decode records: %w", err)
	}
	return records, nil
}
