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
	errDown = errors.New("log is down")
	errLost = errors.New("answer is lost")
)

// logFake keeps streams with a retention. It remembers all records for the oracle.
type logFake struct {
	retention time.Duration

	mu      sync.Mutex
	down    bool
	lose    int
	reads   int
	streams map[logclient.Stream]*streamFake
}

type streamFake struct {
	first   ident.Offset
	records [][]byte
	times   []time.Time
	more    chan struct{}
}

func (l *logFake) stream(name logclient.Stream) *streamFake {
	if l.streams == nil {
		l.streams = make(map[logclient.Stream]*streamFake)
	}
	st, ok := l.streams[name]
	if !ok {
		st = &streamFake{more: make(chan struct{})}
		l.streams[name] = st
	}
	for l.retention > 0 && int(st.first) < len(st.records) && time.Since(st.times[st.first]) > l.retention {
		st.first++
	}
	return st
}

func (l *logFake) append(name logclient.Stream, data []byte) (ident.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, errDown
	}
	st := l.stream(name)
	st.records = append(st.records, data)
	st.times = append(st.times, time.Now())
	close(st.more)
	st.more = make(chan struct{})
	if l.lose > 0 {
		l.lose--
		return 0, errLost
	}
	return ident.Offset(len(st.records) - 1), nil
}

func (l *logFake) page(name logclient.Stream, from ident.Offset, limit int) (logclient.Page, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return logclient.Page{}, nil, errDown
	}
	l.reads++
	st := l.stream(name)
	page := logclient.Page{FirstOffset: st.first, NextOffset: ident.Offset(len(st.records))}
	for o := max(from, st.first); int(o) < len(st.records) && len(page.Records) < limit; o++ {
		page.Records = append(page.Records, logclient.Record{Offset: o, Data: st.records[o]})
	}
	return page, st.more, nil
}

func (l *logFake) read(ctx context.Context, name logclient.Stream, from ident.Offset, limit int, wait time.Duration) (logclient.Page, error) {
	page, more, err := l.page(name, from, limit)
	if err != nil || len(page.Records) > 0 || wait == 0 {
		return page, err
	}
	select {
	case <-ctx.Done():
		return page, ctx.Err()
	case <-more:
	case <-time.After(wait):
	}
	page, _, err = l.page(name, from, limit)
	return page, err
}

func (l *logFake) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

func (l *logFake) setLose(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lose = n
}

func (l *logFake) end(name logclient.Stream) ident.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()
	return ident.Offset(len(l.stream(name).records))
}

// all returns every record ever appended.
func (l *logFake) all(name logclient.Stream) [][]byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([][]byte(nil), l.stream(name).records...)
}
