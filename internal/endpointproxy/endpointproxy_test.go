package endpointproxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/gate"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/inflighttracker"
	"github.com/nutmegdock/nutmegdock/internal/core/resumer"
	"github.com/nutmegdock/nutmegdock/internal/forwarder"
	"github.com/nutmegdock/nutmegdock/internal/headers"
)

// ask sends one request for set "a" through a proxy whose engine answers by backend.
func ask(t *testing.T, confirm error, backend http.HandlerFunc) (*http.Response, string, error) {
	t.Helper()
	engine := httptest.NewServer(backend)
	defer engine.Close()
	u := &Proxy{
		Gate: &gate.Gate{}, Backend: engine.URL, Forwarder: &forwarder.Forwarder{HTTP: forwarder.NewClient()},
		Tracker: &inflighttracker.Tracker{}, Birth: func() int64 { return 1 }, Dead: func(context.Context, int64) bool { return false },
	}
	u.Watch = func(ident.WeightSet) Confirm {
		return func(context.Context) error { return confirm }
	}
	u.Gate.Open("a")
	front := httptest.NewServer(u)
	defer front.Close()
	req, err := http.NewRequest(http.MethodPost, front.URL+Prefix+"/v1/completions", strings.NewReader("{}"))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(headers.Set, "a")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

func answer(set, kind string, status int, parts ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", kind)
		if set != "" {
			w.Header().Set(headers.Set, set)
		}
		w.WriteHeader(status)
		for _, p := range parts {
			_, _ = io.WriteString(w, p)
			_ = http.NewResponseController(w).Flush()
		}
	}
}

func TestAnswerOfAnotherSetIsUnknown(t *testing.T) {
	for _, tt := range []struct {
		set     string
		status  int
		outcome string
	}{
		{"a", http.StatusOK, headers.Answered},
		{"b", http.StatusOK, headers.Unknown},
		{"", http.StatusOK, headers.Unknown},
		{"b", http.StatusBadRequest, headers.Unknown},
		{"", http.StatusBadRequest, headers.Answered},
		{"", http.StatusServiceUnavailable, headers.Unknown},
	} {
		t.Run(fmt.Sprint(tt.set, tt.status), func(t *testing.T) {
			is := is.New(t)
			resp, _, err := ask(t, nil, answer(tt.set, "application/json", tt.status, "{}"))
			is.NoErr(err)
			is.Equal(resp.Header.Get(headers.Outcome), tt.outcome)
		})
	}
}

func TestEndIsHeldBackUntilConfirmed(t *testing.T) {
	changed := errors.New("weights changed")
	for _, tt := range []struct {
		name, kind string
		parts      []string
		whole      string
		cut        string
	}{
		{"stream", "text/event-stream", []string{"data: 1\n\n", "data: [DONE]\n\n"}, "data: 1\n\ndata: [DONE]\n\n", "data: 1\n\ndata: "},
		{"split mark", "text/event-stream", []string{"data: 1\n\ndata: [DO", "NE]\n\n"}, "data: 1\n\ndata: [DONE]\n\n", "data: 1\n\ndata: "},
		{"object", "application/json", []string{`{"a":`, `1}`}, `{"a":1}`, `{"a":1`},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, body, err := ask(t, nil, answer("a", tt.kind, http.StatusOK, tt.parts...))
			is.NoErr(err)
			is.Equal(body, tt.whole)
			_, body, err = ask(t, changed, answer("a", tt.kind, http.StatusOK, tt.parts...))
			is.True(err != nil) // the connection is broken
			told := string(resumer.ChangeEvent())
			is.True(strings.HasPrefix(tt.cut+told, body)) // without the end
		})
	}
}

func TestEventsAreNotHeldBack(t *testing.T) {
	is := is.New(t)
	s := &sealed{
		ReadCloser: io.NopCloser(iotest.OneByteReader(strings.NewReader("data: 1\n\n"))),
		confirm:    func(context.Context) error { return nil }, stream: true,
	}
	buf := make([]byte, 64)
	var got int
	for got < len("data: 1\n\n") {
		n, err := s.Read(buf)
		is.NoErr(err)
		got += n
	}
}
