package gateway_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var errCallerGone = errors.New("caller is gone")

// goneWriter fails all writes, as one whose caller has left a moment ago.
type goneWriter struct{ *httptest.ResponseRecorder }

func (goneWriter) Write([]byte) (int, error) { return 0, errCallerGone }

// A response that cannot be written to the caller is not fetched from another endpoint.
func TestNoRetryAfterFailedWriteToCaller(t *testing.T) {
	for name, first := range map[string]step{
		"stream": streamOf(1, 3, true), "large": rawResponse(unframedHeader + strings.Repeat("x", 2<<20)), "small": response(200, "ok"),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := startFleet(t, []step{first}, []step{streamOf(1, 3, true)})
			f.configure(1)
			path := "/stream/"
			if name != "stream" {
				path = "/read/"
			}
			r := httptest.NewRequest(http.MethodPost, "http://127.0.0.1"+path, nil)
			for k, v := range map[string]string{"Id": "id1", "Left": "3000", "Key": "k"} {
				r.Header.Set(k, v)
			}
			func() {
				defer func() {
					if v := recover(); v != nil && v != http.ErrAbortHandler {
						panic(v)
					}
				}()
				f.gateway.ServeHTTP(goneWriter{httptest.NewRecorder()}, r)
			}()
			is.Equal(len(f.requests()), 1)
			is.Equal(f.gateway.InFlight(), 0)
		})
	}
}
