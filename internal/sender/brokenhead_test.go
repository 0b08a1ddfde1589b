package sender_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/outcome"
	"github.com/nutmegdock/nutmegdock/internal/headchecker"
	"github.com/nutmegdock/nutmegdock/internal/headtest"
	"github.com/nutmegdock/nutmegdock/internal/sender"
)

// A broken response to another request ends the attempt, as the bytes after it may be a part of it.
func TestBrokenSkippedResponseEndsAttempt(t *testing.T) {
	for _, form := range headtest.Broken {
		t.Run(form.Name, func(t *testing.T) {
			is := is.New(t)
			e := &pipeEndpoint{serve: func(c net.Conn) {
				_, _ = io.WriteString(c, form.Text("Id: 2\r\n", "other")+responseHeader+"Content-Length: 2\r\n\r\nok")
			}}
			var refused []string
			s := &sender.Sender{Dial: e.dial, OnRefusal: func(address string, _ *headchecker.Error) { refused = append(refused, address) }}
			_, err := s.Send(t.Context(), sender.Attempt{Address: "endpoint", Method: http.MethodGet, Target: "/", Host: "h.example", Check: checkID})
			var o *outcome.Error
			is.True(errors.As(err, &o))
			is.Equal(o.Kind, outcome.Unknown)
			is.Equal(o.Reason, outcome.Malformed)
			is.Equal(refused, []string{"endpoint"})
			<-e.closed
		})
	}
}
