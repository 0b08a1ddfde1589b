package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	unframedHeader = "HTTP/1.1 200 OK\r\nSigned: s\r\nId: id1\r\n\r\n"
	chunkedHeader  = "HTTP/1.1 200 OK\r\nSigned: s\r\nId: id1\r\nTransfer-Encoding: chunked\r\n\r\n"
)

// resetDelay lets the bytes before a reset arrive, which a reset would otherwise discard.
const resetDelay = 50 * time.Millisecond

// endOf sends text, and then closes or resets the connection.
func endOf(text string, isReset bool) step {
	return func(c *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(c, text)
		if isReset {
			time.Sleep(resetDelay)
			_ = c.SetLinger(0)
		}
	}
}

func chunk(text string) string {
	return fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
}

// A response with neither a length nor chunks is complete when its connection is closed. A caller never gets a response
// that was broken off as a complete one.
func TestIncompleteResponseIsNotForwardedAsComplete(t *testing.T) {
	const lengthHeader = "HTTP/1.1 200 OK\r\nSigned: s\r\nId: id1\r\nContent-Length: %d\r\n\r\n%s"
	large := strings.Repeat("x", 2<<20)
	for _, c := range []struct {
		name, text string
		isReset    bool
		isComplete bool
		body       string
	}{
		{"without length, closed", unframedHeader + "ok", false, true, "ok"},
		{"without length, empty", unframedHeader, false, true, ""},
		{"without length, reset in the body", unframedHeader + "ok", true, false, ""},
		{"without length, reset after the header", unframedHeader, true, false, ""},
		{"closed in the header", "HTTP/1.1 200 OK\r\nSigned: s\r\nId: id1\r\n", false, false, ""},
		{"reset in the header", "HTTP/1.1 200 OK\r\nSigned: s\r\nId: id1\r\n", true, false, ""},
		{"older protocol, without length", "HTTP/1.0 200 OK\r\nSigned: s\r\nId: id1\r\n\r\nok", false, true, "ok"},
		{"length", fmt.Sprintf(lengthHeader, 2, "ok"), false, true, "ok"},
		{"length, then reset", fmt.Sprintf(lengthHeader, 2, "ok"), true, true, "ok"},
		{"length longer than the body", fmt.Sprintf(lengthHeader, 3, "ok"), false, false, ""},
		{"length longer than the body, reset", fmt.Sprintf(lengthHeader, 3, "ok"), true, false, ""},
		{"length and further bytes", fmt.Sprintf(lengthHeader, 2, "ok") + "more", false, true, "ok"},
		{"length and a further response", fmt.Sprintf(lengthHeader, 2, "ok") + fmt.Sprintf(lengthHeader, 2, "no"), false, true, "ok"},
		{"two lengths", "HTTP/1.1 200 OK\r\nSigned: s\r\nId: id1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nok", false, false, ""},
		{"invalid length", "HTTP/1.1 200 OK\r\nSigned: s\r\nId: id1\r\nContent-Length: 2x\r\n\r\nok", false, false, ""},
		{"negative length", "HTTP/1.1 200 OK\r\nSigned: s\r\nId: id1\r\nContent-Length: -2\r\n\r\nok", false, false, ""},
		{"chunks", chunkedHeader + chunk("ok") + "0\r\n\r\n", false, true, "ok"},
		{"chunks and a length", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nSigned: s\r\nId: id1\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("ok") + "0\r\n\r\n", false, true, "ok"},
		{"chunks and further bytes", chunkedHeader + chunk("ok") + "0\r\n\r\n" + "HTTP/1.1 200 OK\r\nSigned: s\r\nId: id1\r\n\r\nno", false, true, "ok"},
		{"chunks without the last one", chunkedHeader + chunk("ok"), false, false, ""},
		{"chunks without the last one, reset", chunkedHeader + chunk("ok"), true, false, ""},
		{"closed in a chunk", chunkedHeader + "9\r\nok", false, false, ""},
		{"closed in a chunk's length", chunkedHeader + chunk("ok") + "1", false, false, ""},
		{"closed in the last chunk", chunkedHeader + chunk("ok") + "0\r\n", false, false, ""},
		{"invalid chunk", chunkedHeader + chunk("ok") + "zz\r\n", false, false, ""},
		{"unknown encoding", "HTTP/1.1 200 OK\r\nSigned: s\r\nId: id1\r\nTransfer-Encoding: gzip\r\n\r\nok", false, false, ""},
		{"large, without length", unframedHeader + large, false, true, large},
		{"large, without length, reset", unframedHeader + large, true, false, ""},
		{"large, length longer than the body", fmt.Sprintf(lengthHeader, len(large)+1, large), false, false, ""},
		{"large, chunks without the last one", chunkedHeader + chunk(large), false, false, ""},
		{"large, chunks", chunkedHeader + chunk(large) + "0\r\n\r\n", false, true, large},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.NewRelaxed(t)
			f := startFleet(t, []step{endOf(c.text, c.isReset)}, []step{response(500, "other")})
			f.configure(1)
			status, body, h, err := f.send("/once/", nil)
			is.Equal(len(f.requests()), 1) // a request that may have run is not sent again
			if c.isComplete {
				is.NoErr(err)
				is.Equal(status, 200)
				is.True(body == c.body)
				is.Equal(h.Get("Signed"), "s")
				return
			}
			is.True(err != nil || status == 502 && h.Get("Signed") == "")
			// The same response to a repeatable request is no success either.
			f = startFleet(t, []step{endOf(c.text, c.isReset)}, []step{response(500, "other")})
			f.configure(1)
			status, body, _, err = f.send("/read/", nil)
			is.True(err != nil || status == 500 && body == "other")
		})
	}
}

// A stream with neither a length nor chunks ends with its connection. One that ends inside an event has been broken off,
// as has one that ends before its first event.
func TestIncompleteStreamIsNotForwardedAsComplete(t *testing.T) {
	lengthHeader := func(n int) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nSigned: s\r\nId: id1\r\nContent-Length: %d\r\n\r\n", n)
	}
	events := streamBody(1, 2)
	for _, c := range []struct {
		name, text string
		isReset    bool
		isComplete bool
		// body is what the caller of a stream that cannot resume gets.
		body string
	}{
		{"without length, closed after an event", unframedHeader + events, false, true, events},
		{"without length, closed in an event", unframedHeader + events + "id: 3\nda", false, false, events},
		{"without length, closed before the empty line", unframedHeader + events + "id: 3\ndata: x\n", false, false, events},
		{"without length, closed in the first event", unframedHeader + "id: 1\nda", false, false, ""},
		{"without length, closed before the first event", unframedHeader, false, false, ""},
		{"without length, reset after an event", unframedHeader + events, true, false, events},
		{"without length, reset in an event", unframedHeader + events + "id: 3\nda", true, false, events},
		{"without length, reset before the first event", unframedHeader, true, false, ""},
		{"older protocol, closed after an event", "HTTP/1.0 200 OK\r\nSigned: s\r\nId: id1\r\n\r\n" + events, false, true, events},
		{"older protocol, closed in an event", "HTTP/1.0 200 OK\r\nSigned: s\r\nId: id1\r\n\r\n" + events + "id", false, false, events},
		{"length", lengthHeader(len(events)) + events, false, true, events},
		{"length and further bytes", lengthHeader(len(events)) + events + streamBody(3, 4), false, true, events},
		{"length that ends in an event", lengthHeader(len(events)-3) + events, false, false, streamBody(1, 1)},
		{"length longer than the body", lengthHeader(len(events)+1) + events, false, false, events},
		{"length longer than the body, reset", lengthHeader(len(events)+1) + events, true, false, events},
		{"chunks", chunkedHeader + chunk(events) + "0\r\n\r\n", false, true, events},
		{"chunks and further bytes", chunkedHeader + chunk(events) + "0\r\n\r\n" + unframedHeader + streamBody(3, 4), false, true, events},
		{"no chunk but the last", chunkedHeader + "0\r\n\r\n", false, true, ""},
		{"chunks that end in an event", chunkedHeader + chunk(events+"id: 3\nda") + "0\r\n\r\n", false, false, events},
		{"chunks without the last one", chunkedHeader + chunk(events), false, false, events},
		{"chunks without the last one, reset", chunkedHeader + chunk(events), true, false, events},
		{"closed in a chunk", chunkedHeader + chunk(events) + "9\r\nid: 3\n", false, false, events},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.NewRelaxed(t)
			f := startFleet(t, []step{endOf(c.text, c.isReset)}, []step{response(500, "other")})
			f.configure(1)
			status, body, _, err := f.send("/fixed/", nil)
			is.Equal(len(f.requests()), 1)
			switch {
			case c.isComplete:
				is.NoErr(err)
				is.Equal(status, 200)
			case c.body == "":
				is.True(err != nil || status == 502)
			default:
				is.True(err != nil) // the header has been sent
			}
			if status != 502 {
				is.Equal(body, c.body)
			}
			if c.isComplete {
				return
			}
			// A stream that can resume goes on elsewhere.
			first := strings.Count(c.body, "\n\n") + 1
			f = startFleet(t, []step{endOf(c.text, c.isReset)}, []step{endOf(unframedHeader+streamBody(first, 4), false)})
			f.configure(1)
			status, body, _, err = f.send("/stream/", nil)
			is.NoErr(err)
			is.Equal(status, 200)
			is.Equal(body, streamBody(1, 4))
			// A resumed stream that is broken off before its next event is not complete.
			for _, resumed := range []string{"", streamBody(1, first-1)} {
				f = startFleet(t, []step{endOf(c.text, c.isReset)}, []step{endOf(unframedHeader+resumed, false)}, []step{endOf(unframedHeader, false)})
				f.configure(1)
				status, _, _, err = f.send("/stream/", nil)
				is.True(err != nil || status == 502)
			}
		})
	}
}
