package asynclogger_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/asynclogger"
)

// blockedWriter is a writer that blocks until it is released.
type blockedWriter struct {
	release chan struct{}
	bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return s.Buffer.Write(p)
}

func lines(is *is.I, data []byte) []map[string]any {
	var out []map[string]any
	for line := range bytes.Lines(data) {
		var m map[string]any
		is.NoErr(json.Unmarshal(line, &m))
		out = append(out, m)
	}
	return out
}

func TestBlockedWriterDoesNotBlockLogging(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := &blockedWriter{release: make(chan struct{})}
		handler := &asynclogger.Handler{Writer: w, LinesPerSecond: 1e6}
		l := &log.Logger{Handler: handler, Level: log.InfoLevel}
		done, ended := make(chan struct{}), make(chan struct{})
		go func() {
			handler.Run(done)
			close(ended)
		}()
		startTime := time.Now()
		for range 5000 {
			l.WithError(errors.New("x")).Warn("one of many")
		}
		is.Equal(time.Since(startTime), time.Duration(0))
		close(w.release)
		close(done)
		<-ended
		got := lines(is, w.Bytes())
		last := got[len(got)-1]
		is.Equal(last["text"], "log lines dropped")
		is.Equal(int(last["lines"].(float64))+len(got)-1, 5000) // every line is written or counted as dropped
		is.Equal(got[0]["error"], "x")
	})
}

func TestRateIsLimitedExceptForWarnings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var w bytes.Buffer
		handler := &asynclogger.Handler{Writer: &w}
		l := &log.Logger{Handler: handler, Level: log.InfoLevel}
		done, ended := make(chan struct{}), make(chan struct{})
		go func() {
			handler.Run(done)
			close(ended)
		}()
		const seconds = 60
		for range seconds * 1000 {
			l.Info("flood")
			time.Sleep(time.Millisecond)
		}
		l.Warn("not limited")
		time.Sleep(time.Second)
		close(done)
		<-ended
		got := lines(is, w.Bytes())
		is.True(len(got) < seconds*(asynclogger.DefaultLinesPerSecond+1)+500)
		isWarningWritten := false
		for _, m := range got {
			isWarningWritten = isWarningWritten || m["text"] == "not limited"
		}
		is.True(isWarningWritten)
	})
}
