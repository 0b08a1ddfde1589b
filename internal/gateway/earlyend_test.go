package gateway_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/endtest"
)

// Guards against callers who get a part of a response, or of a stream between two events, as a whole one, after an endpoint has responded
// to a request while it was written and then reset the connection. A sound response of this kind is served.
func TestEarlyResponseThatIsResetIsNotWhole(t *testing.T) {
	events := streamBody(1, 2)
	upload := strings.Repeat("x", endtest.UploadBytes)
	for _, form := range endtest.Forms {
		for _, c := range []struct {
			name, path, fields, body string
			next                     step
			status                   int
			want                     string
		}{
			{"not repeatable", "/once/", "Id: id1\r\n", "ok", response(200, "no"), 502, ""},
			{"repeatable", "/read/", "Id: id1\r\n", "ok", response(200, "ok"), 200, "ok"},
			{"stream", "/fixed/", "Id: id1\r\n", events, streamOf(1, 4, true), 502, events},
			{"resumable stream", "/stream/", "Id: id1\r\n", events, streamOf(3, 4, true), 200, streamBody(1, 4)},
			{"to another request", "/once/", "Id: other\r\n", "ok", response(200, "no"), 502, ""},
		} {
			t.Run(form.Name+", "+c.name, func(t *testing.T) {
				is := is.New(t)
				first := step(func(conn *net.TCPConn, _ *http.Request) { form.Respond(conn, "Signed: s\r\n"+c.fields, c.body) })
				f := startFleet(t, []step{first}, []step{c.next})
				f.bodyBytes = endtest.UploadBytes
				f.configure(1)
				status, body, _, err := f.send(c.path, func(r *http.Request) {
					r.Body, r.ContentLength = io.NopCloser(strings.NewReader(upload)), endtest.UploadBytes
				})
				switch {
				case form.IsWhole && c.name != "to another request":
					is.NoErr(err)
					is.Equal(status, 200)
					is.Equal(body, c.body)
				case c.status == http.StatusOK:
					is.NoErr(err)
					is.Equal(status, 200)
					// An attempt that ended before its events were read begins anew.
					is.True(body == c.want || c.name == "resumable stream" && body == streamBody(3, 4))
				default:
					is.True(err != nil || status == c.status)
					is.True(err == nil || strings.HasPrefix(c.want, body))
				}
			})
		}
	}
}
