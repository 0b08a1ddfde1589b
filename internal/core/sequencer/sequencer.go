// Package sequencer passes on whole events of a stream, in the order of their ids and each one once, over all the
// connections that carried parts of it.
package sequencer

import (
	"bytes"
	"fmt"
	"strconv"

	"github.com/nutmegdock/nutmegdock/internal/core/eventscanner"
)

// maxEventBytes bounds one event, so that a stream without ends of events is not kept whole.
const maxEventBytes = 1 << 20

// Error is an event that does not follow the one before it.
type Error struct {
	Got, Want int64
}

// Error names both ids.
func (e *Error) Error() string {
	return fmt.Sprintf("event %d of the stream where %d follows", e.Got, e.Want)
}

// SizeError is an event that is too large to keep.
type SizeError struct {
	Bytes int
}

// Error states the size.
func (e *SizeError) Error() string {
	return fmt.Sprintf("event of the stream has more than %d bytes", e.Bytes)
}

// Sequencer follows one stream. The zero value starts at the first event.
type Sequencer struct {
	// Last is the id of the last event that the caller has; zero means none.
	Last int64
	// Known says that Last is certain.
	Known bool

	partial []byte
	count   int
}

// Feed takes bytes of the stream and returns the whole events that they complete.
func (s *Sequencer) Feed(data []byte) ([]byte, error) {
	s.partial = append(s.partial, data...)
	var out []byte
	for {
		end, size := eventscanner.End(s.partial)
		if end < 0 {
			break
		}
		ev := s.partial[:end+size]
		pass, err := s.accept(ev)
		if err != nil {
			return out, err
		}
		if pass {
			out = append(out, ev...)
		}
		s.partial = s.partial[end+size:]
	}
	if len(s.partial) > maxEventBytes {
		return out, &SizeError{Bytes: maxEventBytes}
	}
	return out, nil
}

func (s *Sequencer) accept(ev []byte) (bool, error) {
	id, ok := eventID(ev)
	if !ok {
		return true, nil
	}
	if s.Known && id <= s.Last {
		return false, nil
	}
	if s.Known && id != s.Last+1 {
		return false, &Error{Got: id, Want: s.Last + 1}
	}
	s.Last, s.Known = id, true
	s.count++
	return true, nil
}

func eventID(ev []byte) (int64, bool) {
	for line := range bytes.Lines(ev) {
		rest, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(rest)), 10, 64)
		return id, err == nil
	}
	return 0, false
}

// Count returns the number of events that were passed on.
func (s *Sequencer) Count() int {
	return s.count
}

// Pending tells whether a part of an event is left.
func (s *Sequencer) Pending() bool {
	return len(bytes.TrimSpace(s.partial)) > 0
}

// Restart drops the part of an event that a cut left behind.
func (s *Sequencer) Restart() {
	s.partial = nil
}
