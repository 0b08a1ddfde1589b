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
	// maxUnnumberedBytes is the maximum size of the events without an id between two events with one: comments that keep a
	// connection alive for hours.
	maxUnnumberedBytes = 64 << 10
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
	// HoldsUnnumbered says that events without an id at the start of a response are held back until one with an id shows that
	// it is a part of the stream. Another endpoint can continue the stream until then as if nothing had arrived.
	HoldsUnnumbered bool

	scanner eventscanner.Scanner
	// held holds the events without an id that are held back, and hasNumbered says that the response has had one with an id.
	held        []byte
	hasNumbered bool
	// unnumberedBytes is the size of the events since the last one with an id.
	unnumberedBytes int
	count, received int
}

// Feed adds received bytes and returns the events that they complete.
func (s *Sequencer) Feed(data []byte) ([]byte, error) {
	s.scanner.Add(data)
	var out []byte
	for {
		ev, _, ok := s.scanner.Next()
		if !ok {
			break
		}
		s.received++
		forward, err := s.accept(ev)
		switch {
		case err != nil:
			return out, err
		case !forward:
		case s.HoldsUnnumbered && !s.hasNumbered:
			s.held = append(s.held, ev...)
		default:
			out = append(append(out, s.TakeHeld()...), ev...)
		}
	}
	if len(s.scanner.Rest()) > maxEventBytes {
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
	s.unnumberedBytes, s.hasNumbered = 0, true
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
	return len(bytes.TrimSpace(s.scanner.Rest())) > 0
}

// TakeHeld returns the events that were held back. They are the response if it has ended without one that has an id.
func (s *Sequencer) TakeHeld() []byte {
	held := s.held
	s.held = nil
	return held
}

// Buffered returns the number of bytes of the incomplete event and of the events that are held back.
func (s *Sequencer) Buffered() int {
	return len(s.scanner.Rest()) + len(s.held)
}

// DiscardPartial discards an incomplete event, and the events that are held back, after the connection was interrupted.
func (s *Sequencer) DiscardPartial() {
	s.scanner.Reset()
	s.held, s.hasNumbered, s.unnumberedBytes = nil, false, 0
}
