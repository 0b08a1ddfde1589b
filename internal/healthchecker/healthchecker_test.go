package healthchecker_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/headtest"
	"github.com/nutmegdock/nutmegdock/internal/healthchecker"
)

// check checks the health of an endpoint that sends text.
func check(t *testing.T, text string) error {
	near, far := net.Pipe()
	defer near.Close()
	go func() {
		defer far.Close()
		if _, err := http.ReadRequest(bufio.NewReader(far)); err == nil {
			_, _ = io.WriteString(far, text)
		}
	}()
	return (&healthchecker.Checker{Timeout: time.Second}).Check(t.Context(), near, "/health")
}

func TestOnlySoundResponsesAreHealthy(t *testing.T) {
	is := is.New(t)
	for _, form := range headtest.Sound {
		is.NoErr(check(t, form.Text("", "ok")))
	}
	is.NoErr(check(t, "HTTP/1.1 503 Service Unavailable\r\n\r\n")) // any status shows that the endpoint runs
	for _, form := range headtest.Broken {
		if !strings.Contains(form.Name, "trailer") && check(t, form.Text("", "ok")) == nil {
			t.Errorf("%s is healthy", form.Name)
		}
	}
	is.True(check(t, "") != nil)
	is.True(check(t, "HTTP/1.1 200 OK\r\nX: y\r\n") != nil) // closed in the head
}
