package storerelayer

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/messages"
	"github.com/nutmegdock/nutmegdock/internal/watcher"
)

// snapshotOffset stands for the offset of a snapshot among the encodings of a topic.
const snapshotOffset = -1

// encoding is the encoded form of a list of records, made at its first use.
type encoding struct {
	once         sync.Once
	data         []byte
	isCompressed bool
	err          error
}

// response returns the response with the records, which must be the same at each call.
func (e *encoding) response(records []watcher.Change, epoch, next int64, age time.Duration) (messages.RecordsResponse, error) {
	e.once.Do(func() { e.data, e.isCompressed, e.err = encodeRecords(records) })
	return messages.RecordsResponse{NextOffset: next, Epoch: epoch, AgeMs: age.Milliseconds(), Data: e.data, Compressed: e.isCompressed}, e.err
}

// encodeRecords returns the records as JSON, compressed if that is large.
func encodeRecords(records []watcher.Change) (data []byte, isCompressed bool, err error) {
	if len(records) == 0 {
		return nil, false, nil
	}
	data, err = json.Marshal(records)
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
