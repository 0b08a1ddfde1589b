package sequencer_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/nutmegdock/nutmegdock/internal/core/sequencer"
)

func event(id int) string { return fmt.Sprintf("id: %d\ndata: x%d\n\n", id, id) }

// However a stream is split into reads and interrupted, the caller receives each event once, complete and in order.
func TestInterruptedStreamIsForwardedCompletely(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 30).Draw(rt, "events")
		var s sequencer.Sequencer
		var got, want strings.Builder
		for i := 1; i <= n; i++ {
			want.WriteString(event(i))
		}
		interruptions := rapid.IntRange(0, 20).Draw(rt, "cuts")
		for attempt := range interruptions + 1 {
			s.DiscardPartial()
			var resumed strings.Builder
			// A resumed stream may begin with events that were already forwarded.
			for i := max(1, int(s.LastID)-rapid.IntRange(0, 2).Draw(rt, "again")); i <= n; i++ {
				resumed.WriteString(event(i))
			}
			text := resumed.String()
			end := len(text) // the last connection is not interrupted
			if attempt < interruptions {
				end = rapid.IntRange(0, len(text)).Draw(rt, "cut")
			}
			for offset := 0; offset < end; {
				size := min(end-offset, rapid.IntRange(1, 40).Draw(rt, "part"))
				out, err := s.Feed([]byte(text[offset : offset+size]))
				if err != nil {
					rt.Fatal(err)
				}
				got.Write(out)
				offset += size
			}
		}
		if got.String() != want.String() {
			rt.Fatalf("got %q", got.String())
		}
	})
}

func TestMissingEventIsAnError(t *testing.T) {
	is := is.New(t)
	s := sequencer.Sequencer{LastID: 3, LastIDKnown: true}
	out, err := s.Feed([]byte(event(4) + event(6)))
	is.Equal(string(out), event(4))
	var orderErr *sequencer.OrderError
	is.True(errors.As(err, &orderErr))
	is.Equal(orderErr.Want, int64(5))
}

func TestDiscardPartialDropsIncompleteEvent(t *testing.T) {
	is := is.New(t)
	var s sequencer.Sequencer
	out, err := s.Feed([]byte("id: 1\r\ndata: a\r\n\r\nid: 2\r\nda"))
	is.NoErr(err)
	is.Equal(string(out), "id: 1\r\ndata: a\r\n\r\n")
	is.True(s.HasPartial())
	s.DiscardPartial()
	is.True(!s.HasPartial())
	out, err = s.Feed([]byte(": comment\n\n"))
	is.NoErr(err)
	is.Equal(string(out), ": comment\n\n")
}

func TestEventWithoutEndIsAnError(t *testing.T) {
	var s sequencer.Sequencer
	var sizeErr *sequencer.SizeError
	_, err := s.Feed([]byte(strings.Repeat("x", 2<<20)))
	is.New(t).True(errors.As(err, &sizeErr))
}

// A stream that sends events without an id for ever is broken. A few between two events with an id are not.
func TestUnnumberedEventsWithoutEndAreAnError(t *testing.T) {
	is := is.New(t)
	var s sequencer.Sequencer
	const comment = ": comment\n\n"
	for id := 1; id <= 50; id++ {
		_, err := s.Feed([]byte(strings.Repeat(comment, 4000) + event(id)))
		is.NoErr(err)
	}
	var unnumbered *sequencer.UnnumberedError
	forwarded := 0
	for range 1000 {
		out, err := s.Feed([]byte(strings.Repeat(comment, 1000)))
		forwarded += len(out)
		if errors.As(err, &unnumbered) {
			break
		}
	}
	is.True(unnumbered != nil)
	is.True(forwarded <= unnumbered.Bytes)
}

// Guards against a caller that gets a part of what was no response: nothing without an id is passed on before an event with
// one, and everything in order after that.
func TestUnnumberedEventsAreHeldBack(t *testing.T) {
	is := is.New(t)
	s := sequencer.Sequencer{HoldsUnnumbered: true}
	const comment = ": x\n\n"
	out, err := s.Feed([]byte(comment + "\n\n"))
	is.NoErr(err)
	is.Equal(len(out), 0)
	is.True(s.Buffered() > 0)
	s.DiscardPartial() // another endpoint
	out, err = s.Feed([]byte(comment + event(1) + comment + event(2)))
	is.NoErr(err)
	is.Equal(string(out), comment+event(1)+comment+event(2))
	s.DiscardPartial()
	out, err = s.Feed([]byte(comment + event(2)))
	is.NoErr(err)
	is.Equal(len(out), 0) // the caller has event 2
	is.Equal(string(s.TakeHeld()), comment)
}

// The text of an error that an endpoint writes into a stream is none of its events.
func TestErrorTextIsNoEvent(t *testing.T) {
	const response = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
	for _, c := range []struct {
		name, first, text string
		isError           bool
	}{
		{"response first", "", response, true},
		{"object first", "", "{\"error\": \"failed\"}\n\n", true},
		{"text first", "", "engine failed\n\n", true},
		{"event without an id first", "", "data: x\n\n", false},
		{"event without a value first", "", "data\n\n", false},
		{"response", event(1), response, true},
		{"object", event(1), "{\"error\": \"failed\"}\n\n", true},
		{"text", event(1), "engine failed\n\n", true},
		{"event without an id", event(1), "event: error\ndata: x\n\n", true},
		{"event with an invalid id", event(1), "id: x\ndata: x\n\n", true},
		{"line of text with a colon", event(1), "error: failed\n\n", true},
		{"comment", event(1), ": comment\n\n", false},
		{"retry interval", event(1), "retry: 1000\n\n", false},
		{"empty lines", event(1), "\n\n", false},
		{"event with a further field", event(1), "version: 7\nid: 2\ndata: x\n\n", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var s sequencer.Sequencer
			out, err := s.Feed([]byte(c.first + c.text + event(9)))
			var noEvent *sequencer.NoEventError
			is.Equal(errors.As(err, &noEvent), c.isError)
			if c.isError {
				is.Equal(string(out), c.first)
				return
			}
			is.True(strings.HasPrefix(string(out), c.first+c.text))
		})
	}
}
