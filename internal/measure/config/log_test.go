package config_test

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/logclient"
)

var (
	errLogDown      = errors.New("log service is down")
	errResponseLost = errors.New("response to the append was lost")
)

// fakeLog is a log service in memory. Records expire after the retention time, if that is not zero, but stay in memory
// for the reference model.
type fakeLog struct {
	retention time.Duration

	mu              sync.Mutex
	down            bool
	responsesToLose int
	reads           int
	streams         map[logclient.Stream]*fakeStream
}

type fakeStream struct {
	firstOffset ident.Offset
	records     [][]byte
	appendedAt  []time.Time
	appended    chan struct{} // closed at the next append
}

// stream returns a stream after it has expired old records. The caller must hold mu.
func (l *fakeLog) stream(name logclient.Stream) *fakeStream {
	if l.streams == nil {
		l.streams = make(map[logclient.Stream]*fakeStream)
	}
	st, ok := l.streams[name]
	if !ok {
		st = &fakeStream{appended: make(chan struct{})}
		l.streams[name] = st
	}
	for l.retention > 0 && int(st.firstOffset) < len(st.records) && time.Since(st.appendedAt[st.firstOffset]) > l.retention {
		st.firstOffset++
	}
	return st
}

func (l *fakeLog) append(name logclient.Stream, data []byte) (ident.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, errLogDown
	}
	st := l.stream(name)
	st.records = append(st.records, data)
	st.appendedAt = append(st.appendedAt, time.Now())
	close(st.appended)
	st.appended = make(chan struct{})
	if l.responsesToLose > 0 {
		l.responsesToLose--
		return 0, errResponseLost
	}
	return ident.Offset(len(st.records) - 1), nil
}

// readPage reads without waiting. It also returns a channel that is closed at the next append.
func (l *fakeLog) readPage(name logclient.Stream, from ident.Offset, limit int) (logclient.Page, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return logclient.Page{}, nil, errLogDown
	}
	l.reads++
	st := l.stream(name)
	page := logclient.Page{FirstOffset: st.firstOffset, NextOffset: ident.Offset(len(st.records))}
	for offset := max(from, st.firstOffset); int(offset) < len(st.records) && len(page.Records) < limit; offset++ {
		page.Records = append(page.Records, logclient.Record{Offset: offset, Data: st.records[offset]})
	}
	return page, st.appended, nil
}

func (l *fakeLog) read(ctx context.Context, name logclient.Stream, from ident.Offset, limit int, wait time.Duration) (logclient.Page, error) {
	page, appended, err := l.readPage(name, from, limit)
	if err != nil || len(page.Records) > 0 || wait == 0 {
		return page, err
	}
	select {
	case <-ctx.Done():
		return page, ctx.Err()
	case <-appended:
	case <-time.After(wait):
	}
	page, _, err = l.readPage(name, from, limit)
	return page, err
}

func (l *fakeLog) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// loseResponses makes the next n appends fail after they have appended their record.
func (l *fakeLog) loseResponses(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.responsesToLose = n
}

// endOffset returns the offset that the next record gets.
func (l *fakeLog) endOffset(name logclient.Stream) ident.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()
	return ident.Offset(len(l.stream(name).records))
}

// allRecords returns all records ever appended to a stream, including the expired ones.
func (l *fakeLog) allRecords(name logclient.Stream) [][]byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([][]byte(nil), l.stream(name).records...)
}
