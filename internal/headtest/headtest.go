// Package headtest holds responses with broken heads, and with unusual but valid ones, for the tests of all that reads
// responses.
package headtest

import (
	"fmt"
	"io"
	"net/http"
	"strings"
)

// Form is a response of a stand-in.
type Form struct {
	Name string
	// head and body have placeholders, see Text.
	head, body string
	// hasBareLF is set if the lines of the head end with a line feed only.
	hasBareLF bool
}

// Text returns the response on the wire. {fields} stands for the given lines, each of which ends with CRLF, {body} for the
// given body, {length} for its length, {chunk} for the body as a chunk, {whole} for a complete response with the lines and
// the body, and {size} for the length of that response.
func (f Form) Text(fields, body string) string {
	whole := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", fields, len(body), body)
	r := strings.NewReplacer("{fields}", fields, "{body}", body, "{length}", fmt.Sprint(len(body)),
		"{chunk}", fmt.Sprintf("%x\r\n%s\r\n", len(body), body), "{whole}", whole, "{size}", fmt.Sprint(len(whole)))
	head := r.Replace(f.head + "\r\n")
	if f.hasBareLF {
		head = strings.ReplaceAll(head, "\r\n", "\n")
	}
	return head + r.Replace(f.body)
}

// Handler returns a handler that sends the response, and closes the connection once the client has.
func (f Form) Handler(fields, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = io.WriteString(c, f.Text(fields, body))
		_, _ = io.Copy(io.Discard, c) // until the client closes
	}
}

const (
	ok      = "HTTP/1.1 200 OK\r\n"
	framed  = "{fields}Content-Length: {length}\r\n"
	around  = "{fields}Content-Length: {size}\r\n"
	chunked = "{fields}Transfer-Encoding: chunked\r\n"
)

// Broken are responses that no client may act on.
var Broken = []Form{
	{Name: "status 000", head: "HTTP/1.1 000 X\r\n" + framed, body: "{body}"},
	{Name: "status 000 around a response", head: "HTTP/1.1 000 X\r\n" + around, body: "{whole}"},
	{Name: "status 099", head: "HTTP/1.1 099 X\r\n" + framed, body: "{body}"},
	{Name: "status 101", head: "HTTP/1.1 101 X\r\n{fields}Upgrade: x\r\nConnection: upgrade\r\n", body: "{body}"},
	{Name: "status 101 around a response", head: "HTTP/1.1 101 X\r\n" + around, body: "{whole}"},
	{Name: "status 103 around a response", head: "HTTP/1.1 103 X\r\n" + around, body: "{whole}"},
	{Name: "status 100 with chunks", head: "HTTP/1.1 100 X\r\n" + chunked, body: "{whole}"},
	{Name: "status 600", head: "HTTP/1.1 600 X\r\n" + framed, body: "{body}"},
	{Name: "status 999", head: "HTTP/1.1 999 X\r\n" + framed, body: "{body}"},
	{Name: "status with a plus", head: "HTTP/1.1 +20 X\r\n" + framed, body: "{body}"},
	{Name: "status with a minus", head: "HTTP/1.1 -00 X\r\n" + framed, body: "{body}"},
	{Name: "status of four digits", head: "HTTP/1.1 2000 X\r\n" + framed, body: "{body}"},
	{Name: "two blanks before the status", head: "HTTP/1.1  200 X\r\n" + framed, body: "{body}"},
	{Name: "no status", head: "HTTP/1.1\r\n" + framed, body: "{body}"},
	{Name: "control byte in the reason", head: "HTTP/1.1 200 O\x01K\r\n" + framed, body: "{body}"},
	{Name: "version 9.9", head: "HTTP/9.9 200 OK\r\n" + framed, body: "{body}"},
	{Name: "version 2.0", head: "HTTP/2.0 200 OK\r\n" + framed, body: "{body}"},
	{Name: "version 0.9", head: "HTTP/0.9 200 OK\r\n" + framed, body: "{body}"},
	{Name: "other protocol", head: "ICY 200 OK\r\n" + framed, body: "{body}"},
	{Name: "blank in a name", head: ok + "X Y: z\r\n" + framed, body: "{body}"},
	{Name: "blank before a colon", head: ok + "X : z\r\n" + framed, body: "{body}"},
	{Name: "tab before a colon", head: ok + "X\t: z\r\n" + framed, body: "{body}"},
	{Name: "blank before the colon of the length", head: ok + "{fields}Content-Length : {length}\r\n", body: "{body}more"},
	{Name: "blank in the name of the encoding", head: ok + "{fields}Transfer- Encoding: chunked\r\n", body: "{chunk}0\r\n\r\n"},
	{Name: "control byte in a name", head: ok + "X\x01Y: z\r\n" + framed, body: "{body}"},
	{Name: "NUL in a name", head: ok + "X\x00Y: z\r\n" + framed, body: "{body}"},
	{Name: "delete in a name", head: ok + "X\x7fY: z\r\n" + framed, body: "{body}"},
	{Name: "high byte in a name", head: ok + "X\xe9Y: z\r\n" + framed, body: "{body}"},
	{Name: "bracket in a name", head: ok + "X(Y): z\r\n" + framed, body: "{body}"},
	{Name: "empty name", head: ok + ": z\r\n" + framed, body: "{body}"},
	{Name: "no colon", head: ok + "X\r\n" + framed, body: "{body}"},
	{Name: "folded line before any field", head: ok + " X: y\r\n" + framed, body: "{body}"},
	{Name: "control byte in a value", head: ok + "X: y\x01z\r\n" + framed, body: "{body}"},
	{Name: "carriage return in a value", head: ok + "X: y\rz\r\n" + framed, body: "{body}"},
	{Name: "line feed in a value", head: ok + "X: y\nZ: z\r\n" + framed, body: "{body}"},
	{Name: "control byte in a folded line", head: ok + "X: y\r\n \x01z\r\n" + framed, body: "{body}"},
	{Name: "blank in a name of an informational response", head: "HTTP/1.1 103 X\r\nX Y: z\r\n", body: "{whole}"},
	{Name: "version of an informational response", head: "HTTP/9.9 103 X\r\n", body: "{whole}"},
	{Name: "two lengths", head: ok + "Content-Length: 1\r\n" + framed, body: "{body}"},
	{Name: "length with a sign", head: ok + "{fields}Content-Length: +{length}\r\n", body: "{body}"},
	{Name: "chunks of the older protocol", head: "HTTP/1.0 200 OK\r\n" + chunked, body: "{chunk}0\r\n\r\n"},
	{Name: "blank in a name of a trailer", head: ok + chunked, body: "{chunk}0\r\nX Y: z\r\n\r\n"},
	{Name: "blank before a colon of a trailer", head: ok + chunked, body: "{chunk}0\r\nX : z\r\n\r\n"},
	{Name: "control byte in a name of a trailer", head: ok + chunked, body: "{chunk}0\r\nX\x01: z\r\n\r\n"},
	{Name: "control byte in a value of a trailer", head: ok + chunked, body: "{chunk}0\r\nX: \x01\r\n\r\n"},
}

// Sound are successful responses that a sound server may send.
var Sound = []Form{
	{Name: "length", head: ok + framed, body: "{body}"},
	{Name: "no reason", head: "HTTP/1.1 200\r\n" + framed, body: "{body}"},
	{Name: "empty reason", head: "HTTP/1.1 200 \r\n" + framed, body: "{body}"},
	{Name: "older protocol", head: "HTTP/1.0 200 OK\r\n" + framed, body: "{body}"},
	{Name: "neither length nor chunks", head: ok + "{fields}", body: "{body}"},
	{Name: "line feeds only", head: ok + framed, body: "{body}", hasBareLF: true},
	{Name: "informational responses", head: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>; rel=preload\r\n", body: "{whole}"},
	{Name: "folded lines", head: ok + "X: y\r\n z,\r\n\tz\r\n" + framed, body: "{body}"},
	{Name: "tab and high byte in a value", head: ok + "X: y\t\xe9\r\nEmpty:\r\n" + framed, body: "{body}"},
	{Name: "punctuation in a name", head: ok + "!#$%&'*+-.^_`|~0aZ: y\r\n" + framed, body: "{body}"},
	{Name: "the same length twice", head: ok + "Content-Length: {length}\r\n" + framed, body: "{body}"},
	{Name: "chunks", head: ok + chunked, body: "{chunk}0\r\n\r\n"},
	{Name: "chunks with trailers", head: ok + "Trailer: X\r\n" + chunked, body: "{chunk}0\r\nX: y\r\nZ:\r\n\r\n"},
}
