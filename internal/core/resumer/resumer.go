// Package resumer passes on the whole events of a streamed answer, and says where a cut one has to go on.
package resumer

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/nutmegdock/nutmegdock/internal/core/eventscanner"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/quarantiner"
)

const (
	doneMark = "[DONE]"
	// maxEventBytes bounds one event, so that a stream without ends of events is not kept whole.
	maxEventBytes = 1 << 20
	dataField     = "data:"
	// died begins the comment by which an endpoint host says that its engine died, before it cuts the stream.
	died = ": engine died "
	// changed is the comment by which an endpoint host says that its engine changed its weights during the answer.
	changed = ": weights changed"
)

// Error is an event that does not belong to the answer.
type Error struct {
	Reason string
}

// Error states the reason.
func (e *Error) Error() string {
	return fmt.Sprintf("streamed answer: %s", e.Reason)
}

// Resumer follows one streamed answer over all its connections. Set its fields before the first Feed.
type Resumer struct {
	// ID is the id that each event must carry.
	ID ident.Request

	partial []byte
	tokens  int
	done    bool
	death   quarantiner.Death
	ended   bool
	broken  error
	many    bool
	mixed   bool
}

type event struct {
	ID      string `json:"id"`
	Choices []struct {
		Index  int     `json:"index"`
		Text   string  `json:"text"`
		Finish *string `json:"finish_reason"`
		Delta  struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// Feed takes bytes of the stream and returns the whole events that they complete.
func (r *Resumer) Feed(data []byte) ([]byte, error) {
	r.partial = append(r.partial, data...)
	var out []byte
	for {
		end, size := eventscanner.End(r.partial)
		if end < 0 {
			break
		}
		ev := r.partial[:end+size]
		pass, err := r.accept(ev[:end])
		if err != nil {
			return out, err
		}
		if pass {
			out = append(out, ev...)
		}
		r.partial = r.partial[end+size:]
	}
	if len(r.partial) > maxEventBytes {
		return out, &Error{Reason: "event is too large"}
	}
	return out, nil
}

func (r *Resumer) accept(ev []byte) (bool, error) {
	if r.done {
		return false, &Error{Reason: "event after the end mark"}
	}
	if len(bytes.TrimSpace(ev)) == 0 {
		return false, nil
	}
	if death, ok := bytes.CutPrefix(ev, []byte(died)); ok {
		r.death = quarantiner.Death(death)
		return false, nil
	}
	if bytes.Equal(ev, []byte(changed)) {
		r.mixed = true
		return false, nil
	}
	if r.broken != nil {
		return false, r.broken
	}
	var data []byte
	for line := range bytes.Lines(ev) {
		if rest, ok := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), []byte(dataField)); ok {
			data = append(data, bytes.TrimPrefix(rest, []byte(" "))...)
		}
	}
	if len(data) == 0 {
		return true, nil
	}
	if bytes.Equal(bytes.TrimSpace(data), []byte(doneMark)) {
		r.done = true
		return true, nil
	}
	var e event
	if err := json.Unmarshal(data, &e); err != nil {
		// It is the last part of a cut stream, if only the death of the engine follows.
		r.broken = &Error{Reason: "event is not JSON: " + err.Error()}
		return false, nil
	}
	if e.ID != "" && r.ID != "" && e.ID != string(r.ID) {
		return false, &Error{Reason: fmt.Sprintf("event of request %q in the answer to %q", e.ID, r.ID)}
	}
	return r.count(e), nil
}

// count takes one event of the answer into account and tells whether the caller has not seen it yet. An event is one
// token, but for one that only gives the reason of the end.
func (r *Resumer) count(e event) bool {
	if len(e.Choices) == 0 {
		return true
	}
	c := e.Choices[0]
	r.many = r.many || len(e.Choices) > 1 || c.Index > 0
	if c.Finish == nil || c.Text != "" || c.Delta.Content != "" {
		r.tokens++
	}
	if c.Finish == nil {
		return true
	}
	seen := r.ended
	r.ended = true
	return !seen || r.many
}

// Resumable tells whether the number of tokens says where the answer goes on: it has one alternative only, made by one
// weight set.
func (r *Resumer) Resumable() bool {
	return !r.many && !r.done && !r.mixed
}

// Seal forbids that the answer goes on elsewhere, since its tokens are confirmed at its end only.
func (r *Resumer) Seal() {
	r.mixed = true
}

// Restart drops the part of an event that a cut left behind, before the next connection's first byte.
func (r *Resumer) Restart() {
	r.partial = nil
	r.death = ""
	r.broken = nil
}

// Tokens returns the number of tokens that were passed on.
func (r *Resumer) Tokens() int {
	return r.tokens
}

// Done tells whether the end mark was passed on.
func (r *Resumer) Done() bool {
	return r.done
}

// Death returns the death of the connection's engine, or nothing if none was told.
func (r *Resumer) Death() quarantiner.Death {
	return r.death
}

// DeathEvent returns the event by which an endpoint host tells of its engine's death before it cuts a stream. It begins
// with the end of an event, since the stream may have been cut within one.
func DeathEvent(d quarantiner.Death) []byte {
	return []byte("\n\n" + died + string(d) + "\n\n")
}

// ChangeEvent returns the event by which an endpoint host tells that the tokens before it may be of several weight sets.
func ChangeEvent() []byte {
	return []byte("\n\n" + changed + "\n\n")
}
