package sender_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A body is read to its end without an error only if it is complete: by its length, its last chunk, or, with neither, the
// end of the connection. Bytes after it belong to no request.
func TestBodyEnd(t *testing.T) {
	const resetDelay = 50 * time.Millisecond // lets the bytes before a reset arrive
	const chunked = responseHeader + "Transfer-Encoding: chunked\r\n\r\n"
	const otherResponse = "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 5\r\n\r\nother"
	for _, c := range []struct {
		name, text string
		isReset    bool
		isFramed   bool
		isComplete bool
	}{
		{"neither, closed", responseHeader + "\r\nok", false, false, true},
		{"neither, reset", responseHeader + "\r\nok", true, false, false},
		{"neither, response to another request first", otherResponse + responseHeader + "\r\nok", false, false, true},
		{"older protocol, closed", "HTTP/1.0 200 OK\r\nId: 1\r\n\r\nok", false, false, true},
		{"older protocol, reset", "HTTP/1.0 200 OK\r\nId: 1\r\n\r\nok", true, false, false},
		{"length", responseHeader + "Content-Length: 2\r\n\r\nok", false, true, true},
		{"length, reset after the body", responseHeader + "Content-Length: 2\r\n\r\nok", true, true, true},
		{"length longer than the body", responseHeader + "Content-Length: 3\r\n\r\nok", false, true, false},
		{"length longer than the body, reset", responseHeader + "Content-Length: 3\r\n\r\nok", true, true, false},
		{"length shorter than the body", responseHeader + "Content-Length: 2\r\n\r\nokmore", false, true, true},
		{"length and a further response", responseHeader + "Content-Length: 2\r\n\r\nok" + otherResponse, false, true, true},
		{"chunks", chunked + "2\r\nok\r\n0\r\n\r\n", false, true, true},
		{"chunks and a trailer", chunked + "2\r\nok\r\n0\r\nA: b\r\n\r\n", false, true, true},
		{"chunks and a further response", chunked + "2\r\nok\r\n0\r\n\r\n" + otherResponse, false, true, true},
		{"chunks without the last one", chunked + "2\r\nok\r\n", false, true, false},
		{"chunks without the last one, reset", chunked + "2\r\nok\r\n", true, true, false},
		{"closed in a chunk", chunked + "3\r\nok", false, true, false},
		{"closed in the last chunk", chunked + "2\r\nok\r\n0\r\n", false, true, false},
		{"closed in the trailer", chunked + "2\r\nok\r\n0\r\nA: b\r\n", false, true, false},
		{"reset in the last chunk", chunked + "2\r\nok\r\n0\r\n", true, true, false},
		{"chunk longer than announced", chunked + "2\r\nokmore\r\n0\r\n\r\n", false, true, false},
		{"length and chunks", responseHeader + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", false, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			address, _ := startEndpoint(t, func(conn *net.TCPConn, _ *http.Request) {
				_, _ = io.WriteString(conn, c.text)
				if c.isReset {
					time.Sleep(resetDelay)
					resetConn(conn)
				}
			})
			resp, err := send(context.Background(), address, nil)
			is.NoErr(err)
			defer resp.Close()
			is.Equal(resp.IsFramed, c.isFramed)
			data, err := io.ReadAll(resp)
			is.Equal(string(data), "ok")
			is.Equal(err == nil, c.isComplete)
		})
	}
}
