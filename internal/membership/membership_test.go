package membership

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"
)

// TestUnchangedListIsReadFromNotModifiedResponses polls a list three times. Only the first response has a body, and the
// hosts stay listed after the others.
func TestUnchangedListIsReadFromNotModifiedResponses(t *testing.T) {
	is := is.New(t)
	const tag = `"v1"`
	full, unchanged := 0, 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("ETag", tag)
		if r.Header.Get("If-None-Match") == tag {
			unchanged++
			w.WriteHeader(http.StatusNotModified)
			return
		}
		full++
		_, _ = w.Write([]byte(`[{"host":"a","role":"entry","zone":"z","birth":1}]`))
	}))
	defer server.Close()
	l := &List{URL: server.URL, HTTP: server.Client(), Logger: &log.Logger{Handler: discard.New()}}
	for range 3 {
		is.NoErr(l.poll(context.Background()))
		is.Equal(len(l.Members(RoleEntry)), 1)
	}
	is.Equal(full, 1)
	is.Equal(unchanged, 2)
}

func TestPollFailsIfTheServiceIsUnavailable(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "down", http.StatusServiceUnavailable)
	}))
	defer server.Close()
	l := &List{URL: server.URL, HTTP: server.Client(), Logger: &log.Logger{Handler: discard.New()}}
	is.True(l.poll(context.Background()) != nil)
}
