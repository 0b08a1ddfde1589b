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

// A caller that did not read and closed its sending side kept the endpoint for as long as the write to it was blocked.
func TestBlockedWriteKeepsEndpointAfterCallerHasLeft(t *testing.T) {
	for path, header := range map[string]string{"/stream/": "Transfer-Encoding: chunked", "/read/": "Content-Length: 100000000"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			released := make(chan time.Time, 1)
			text := "id: 1\ndata: " + strings.Repeat("x", 1<<16) + "\n\n"
			f := startFleet(t, []step{func(c *net.TCPConn, _ *http.Request) {
				_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nSigned: s\r\nId: id1\r\n"+header+"\r\n\r\n")
				for i := 1; err == nil; i++ {
					chunk := strings.Replace(text, "1", fmt.Sprint(i), 1)
					if path == "/stream/" {
						chunk = fmt.Sprintf("%x\r\n%s\r\n", len(chunk), chunk)
					}
					_, err = io.WriteString(c, chunk)
				}
				released <- time.Now()
			}})
			f.configure(1)
			c, err := net.Dial("tcp4", f.Listener.Addr().String())
			is.NoErr(err)
			defer c.Close()
			_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: 127.0.0.1\r\nId: id1\r\nLeft: 3000\r\nKey: k\r\nContent-Length: 0\r\n\r\n", path)
			is.NoErr(err)
			time.Sleep(300 * time.Millisecond)
			leftAt := time.Now()
			is.NoErr(c.(*net.TCPConn).CloseWrite())
			const closeNotice = 500 * time.Millisecond
			select {
			case at := <-released:
				t.Logf("endpoint was released after %s", at.Sub(leftAt))
				is.True(at.Sub(leftAt) < closeNotice)
			case <-time.After(5 * time.Second):
				t.Error("endpoint was not released within 5 s")
			}
		})
	}
}
