package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/headtest"
)

// A response with a broken head may have run, and nothing of it reaches the caller.
func TestBrokenHeadsAreNotForwarded(t *testing.T) {
	events := streamBody(1, 2)
	for _, form := range headtest.Broken {
		for _, c := range []struct {
			path, body string
			next       step
			status     int
			want       string
			sent       int
		}{
			{"/once/", "no", response(200, "ok"), 502, "", 1},
			{"/read/", "no", response(200, "ok"), 200, "ok", 2},
			{"/fixed/", events, streamOf(1, 4, true), 502, "", 1},
			{"/stream/", events, streamOf(1, 4, true), 200, streamBody(1, 4), 2},
		} {
			if strings.Contains(form.Name, "trailer") && c.body == events {
				continue // events that have arrived are passed on, see TestStreamWithBrokenTrailerIsAborted
			}
			t.Run(form.Name+c.path, func(t *testing.T) {
				is := is.NewRelaxed(t)
				f := startFleet(t, []step{rawResponse(form.Text("Signed: s\r\nId: id1\r\n", c.body))}, []step{c.next})
				f.configure(1)
				status, body, h, err := f.send(c.path, nil)
				is.NoErr(err)
				is.Equal(status, c.status)
				is.True(strings.HasPrefix(body, c.want)) // the gateway's own failure has another body
				is.True(c.status == http.StatusOK || h.Get("Signed") == "" && h.Get("Retry-After") == "")
				is.Equal(len(f.requests()), c.sent)
			})
		}
	}
}

func TestStreamWithBrokenTrailerIsAborted(t *testing.T) {
	for _, form := range headtest.Broken {
		if !strings.Contains(form.Name, "trailer") {
			continue
		}
		t.Run(form.Name, func(t *testing.T) {
			is := is.New(t)
			first := rawResponse(form.Text("Signed: s\r\nId: id1\r\n", streamBody(1, 2)))
			f := startFleet(t, []step{first}, []step{rawResponse(unframedHeader + streamBody(3, 4))})
			f.configure(1)
			_, body, _, err := f.send("/fixed/", nil)
			is.True(err != nil)
			is.Equal(body, streamBody(1, 2))
			f = startFleet(t, []step{first}, []step{rawResponse(unframedHeader + streamBody(3, 4))})
			f.configure(1)
			_, body, _, err = f.send("/stream/", nil)
			is.NoErr(err)
			is.Equal(body, streamBody(1, 4))
		})
	}
}

func TestSoundHeadsAreForwarded(t *testing.T) {
	for _, form := range headtest.Sound {
		t.Run(form.Name, func(t *testing.T) {
			is := is.New(t)
			f := startFleet(t, []step{rawResponse(form.Text("Signed: s\r\nId: id1\r\n", "ok"))})
			f.configure(1)
			status, body, h, err := f.send("/once/", nil)
			is.NoErr(err)
			is.Equal(status, 200)
			is.Equal(body, "ok")
			is.Equal(h.Get("Signed"), "s")
			if strings.Contains(form.Name, "folded") {
				is.Equal(h.Get("X"), "y z, z")
			}
		})
	}
}

func TestAllSoundStatusesAreForwarded(t *testing.T) {
	for _, want := range []int{201, 202, 204, 206, 299, 304, 307, 404, 422, 499, 500, 501, 599} {
		is := is.New(t)
		f := startFleet(t, []step{rawResponse(fmt.Sprintf("HTTP/1.1 %d X\r\nSigned: s\r\nId: id1\r\n\r\n", want))})
		f.configure(1)
		status, _, h, err := f.send("/once/", nil)
		is.NoErr(err)
		is.Equal(status, want)
		is.Equal(h.Get("Signed"), "s")
	}
}
