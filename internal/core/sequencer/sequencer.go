// Package sequencer forwards the complete events of a stream in the order of their ids and each one once, across all
// connections that deliver parts of the stream.
package sequencer

import (
	"bytes"
	"fmt"
	"strconv"

	"github.com/nutmegdock/nutmegdock/internal/core/eventscanner"
)

const (
	// maxEventBytes is the maximum size of one event. It bounds the buffer for a stream that never ends an event.
	maxEventBytes = 1 << 20
	// maxErrorTextBytes is how much of a part that is no event is reported.
	maxErrorTextBytes = 80
	// maxUnnumberedBytes is the maximum size of the events without an id between two events with one.
	maxUnnumberedBytes = 1 << 20
)

// OrderError reports an event whose id does not follow that of the previous event.
type OrderError struct {
	Got, Want int64
}

// Error names the received and the expected id.
func (e *OrderError) Error() string {
	return fmt.Sprintf("stream event has id %d, expected %d", e.Got, e.Want)
}

// SizeError reports an event that exceeds the maximum size.
type SizeError struct {
	Bytes int
}

// Error names the maximum size.
func (e *SizeError) Error() string {
	return fmt.Sprintf("stream event exceeds %d bytes", e.Bytes)
}

// UnnumberedError reports too many bytes of events without an id.
type UnnumberedError struct {
	Bytes int
}

// Error names the maximum size.
func (e *UnnumberedError) Error() string {
	return fmt.Sprintf("stream events without an id exceed %d bytes", e.Bytes)
}

// NoEventError reports a part of a stream that is none of its events.
type NoEventError struct {
	// Text is the beginning of the part, and After the id of the event before it, or zero if there is none.
	Text  string
	After int64
}

// Error includes the text and the id.
func (e *NoEventError) Error() string {
	return fmt.Sprintf("stream has %q after event %d, which is no event of it", e.Text, e.After)
}

// Sequencer tracks one stream. The zero value accepts any id for the first event.
type Sequencer struct {
	// LastID is the id of the last event that the caller has received; zero means none.
	LastID int64
	// LastIDKnown says that the id is certain, so that the next event must follow it.
	LastIDKnown bool

	buffer []byte
	// unnumberedBytes is the size of the events since the last one with an id.
	unnumberedBytes int
	count, received int
}

// Feed adds received bytes and returns the events that they complete.
func (s *Sequencer) Feed(data []byte) ([]byte, error) {
	s.buffer = append(s.buffer, data...)
	var out []byte
	for {
		end, blankLine := eventscanner.FindEnd(s.buffer)
		if end < 0 {
			break
		}
		ev := s.buffer[:end+blankLine]
		s.received++
		forward, err := s.accept(ev)
		if err != nil {
			return out, err
		}
		if forward {
			out = append(out, ev...)
		}
		s.buffer = s.buffer[end+blankLine:]
	}
	if len(s.buffer) > maxEventBytes {
		return out, &SizeError{Bytes: maxEventBytes}
	}
	return out, nil
}

// accept reports whether an event is to be forwarded. It returns an error if events are missing before it, or if too many
// without an id precede it. Once events have ids, one without an id is not of the stream: it would be the error text of an
// endpoint.
func (s *Sequencer) accept(ev []byte) (bool, error) {
	id, ok := eventID(ev)
	if !ok {
		if s.LastIDKnown && !eventscanner.IsComment(ev) || !eventscanner.HasFields(ev) {
			return false, &NoEventError{Text: string(ev[:min(len(ev), maxErrorTextBytes)]), After: s.LastID}
		}
		if s.unnumberedBytes += len(ev); s.unnumberedBytes > maxUnnumberedBytes {
			return false, &UnnumberedError{Bytes: maxUnnumberedBytes}
		}
		return true, nil
	}
	s.unnumberedBytes = 0
	if s.LastIDKnown && id <= s.LastID {
		return false, nil
	}
	if s.LastIDKnown && id != s.LastID+1 {
		return false, &OrderError{Got: id, Want: s.LastID + 1}
	}
	s.LastID, s.LastIDKnown = id, true
	s.count++
	return true, nil
}

func eventID(ev []byte) (int64, bool) {
	for line := range bytes.Lines(ev) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		return id, err == nil
	}
	return 0, false
}

// Count returns the number of events with an id that were forwarded.
func (s *Sequencer) Count() int {
	return s.count
}

// Received returns the number of complete events that were received, with or without an id.
func (s *Sequencer) Received() int {
	return s.received
}

// HasPartial reports whether the buffer holds an incomplete event.
func (s *Sequencer) HasPartial() bool {
	return len(bytes.TrimSpace(s.buffer)) > 0
}

// Buffered returns the number of bytes of the incomplete event.
func (s *Sequencer) Buffered() int {
	return len(s.buffer)
}

// DiscardPartial discards an incomplete event after the connection was interrupted.
func (s *Sequencer) DiscardPartial() {
	s.buffer = nil
	s.unnumberedBytes = 0
}
