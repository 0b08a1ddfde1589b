package loader_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/bodyreader"
	"github.com/nutmegdock/nutmegdock/internal/core/enginecontroller"
	"github.com/nutmegdock/nutmegdock/internal/loader"
)

// A response without end does not tell whether the engine has loaded.
func TestResponseWithoutEndIsLost(t *testing.T) {
	is := is.New(t)
	ended := make(chan struct{}, 2)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		defer func() { ended <- struct{}{} }()
		for _, err := io.WriteString(w, `{"loaded":"`); err == nil; {
			_, err = io.WriteString(w, strings.Repeat("x", 64<<10))
		}
	}))
	defer srv.Close()
	l := &loader.Loader{Engine: srv.URL, HTTP: &http.Client{}}
	startTime := time.Now()
	_, err := l.State(t.Context())
	var sizeErr *bodyreader.SizeError
	is.True(errors.As(err, &sizeErr))
	<-ended
	result, err := l.Load(t.Context(), nil, 1)
	is.True(errors.As(err, &sizeErr))
	is.Equal(result, enginecontroller.LoadResponseLost)
	<-ended
	is.True(time.Since(startTime) < 5*time.Second)
}
