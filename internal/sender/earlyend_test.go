package sender_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/endtest"
)

// Guards against a part of a response that is taken as whole, because the write of the request heard of the reset and the read did not.
func TestEarlyResponseWithoutLength(t *testing.T) {
	const repeats = 10
	for _, form := range endtest.Forms {
		t.Run(form.Name, func(t *testing.T) {
			is := is.New(t)
			address, _ := startEndpoint(t, func(c *net.TCPConn, _ *http.Request) { form.Respond(c, "Id: 1\r\n", "body") })
			for range repeats {
				resp, err := send(context.Background(), address, make([]byte, endtest.UploadBytes))
				if err != nil && !form.IsWhole {
					continue // the reset came before the head was read
				}
				is.NoErr(err)
				data, err := io.ReadAll(resp)
				is.Equal(err == nil, form.IsWhole)
				is.True(err != nil || string(data) == "body")
				is.NoErr(resp.Close())
			}
		})
	}
}
