package resumer_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/quarantiner"
	"github.com/nutmegdock/nutmegdock/internal/core/resumer"
)

const (
	token  = "data: {\"id\":\"r\",\"choices\":[{\"text\":\"t\",\"finish_reason\":null}]}\n\n"
	finish = "data: {\"id\":\"r\",\"choices\":[{\"text\":\"\",\"finish_reason\":\"stop\"}]}\n\n"
	done   = "data: [DONE]\n\n"
)

func feed(t *testing.T, r *resumer.Resumer, s string) string {
	t.Helper()
	out, err := r.Feed([]byte(s))
	is.New(t).NoErr(err)
	return string(out)
}

func TestOnlyCompleteEventsAreForwarded(t *testing.T) {
	is := is.New(t)
	r := &resumer.Resumer{ID: "r"}
	is.Equal(feed(t, r, token+token[:20]), token)
	is.Equal(feed(t, r, token[20:]), token)
	is.Equal(feed(t, r, token[:10]), "")
	r.DiscardPartial()
	is.Equal(r.Tokens(), 2)
	is.Equal(feed(t, r, token+finish), token+finish)
	is.Equal(r.Tokens(), 3)
	r.DiscardPartial() // interrupted between the finish reason and the end marker
	is.Equal(feed(t, r, finish+done), done)
	is.True(r.Done())
}

func TestEventOfAnotherRequestIsAnError(t *testing.T) {
	is := is.New(t)
	r := &resumer.Resumer{ID: "other"}
	out, err := r.Feed([]byte(token))
	var e *resumer.Error
	is.True(errors.As(err, &e))
	is.Equal(len(out), 0)
}

func TestCrashReportAfterIncompleteEventIsAccepted(t *testing.T) {
	is := is.New(t)
	r := &resumer.Resumer{ID: "r"}
	is.Equal(feed(t, r, token+token[:30]), token)
	is.Equal(feed(t, r, string(resumer.CrashEvent("d"))), "")
	is.Equal(r.Crash(), quarantiner.CrashID("d"))
	is.Equal(r.Tokens(), 1)
}

func TestMalformedEventBeforeAnotherEventIsAnError(t *testing.T) {
	r := &resumer.Resumer{ID: "r"}
	_, err := r.Feed([]byte("data: {\n\n" + token))
	is.New(t).True(err != nil)
}

func TestResponseWithSeveralChoicesIsNotResumable(t *testing.T) {
	r := &resumer.Resumer{ID: "r"}
	feed(t, r, "data: {\"id\":\"r\",\"choices\":[{\"index\":1,\"finish_reason\":null}]}\n\n")
	is.New(t).True(!r.Resumable())
}
