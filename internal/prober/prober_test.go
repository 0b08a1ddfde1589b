package prober_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/dialer"
	"github.com/nutmegdock/nutmegdock/internal/headtest"
	"github.com/nutmegdock/nutmegdock/internal/prober"
)

// floodBytes ends a body that would have no end.
const floodBytes = 256 << 20

// A state without end is neither held in memory nor taken for a crash, however fast it arrives.
func TestStateWithoutEndIsNoCrash(t *testing.T) {
	for name, interval := range map[string]time.Duration{"fast": 0, "slow": 10 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var sent atomic.Int64
			text := strings.Repeat("x", 64<<10)
			if interval > 0 {
				text = "x"
			}
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				ctl := http.NewResponseController(w)
				for _, err := io.WriteString(w, `{"loaded":"`); err == nil && sent.Load() < floodBytes && ctl.Flush() == nil; {
					_, err = io.WriteString(w, text)
					sent.Add(int64(len(text)))
					time.Sleep(interval)
				}
			}))
			defer srv.Close()
			p := &prober.Prober{Kind: catalog.KindEngine, Backend: srv.URL, HTTP: &http.Client{}}
			startTime := time.Now()
			is.True(!p.HasCrashed(t.Context(), 1))
			is.True(!p.IsDown())
			is.True(time.Since(startTime) < 2*time.Second)
			is.True(sent.Load() <= 16<<20) // with the buffers of the sockets
		})
	}
}

func TestBrokenStateIsCrash(t *testing.T) {
	is := is.New(t)
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer srv.Close()
	p := &prober.Prober{Kind: catalog.KindEngine, Backend: srv.URL, HTTP: &http.Client{}}
	is.True(p.HasCrashed(t.Context(), 1))
	is.True(p.IsDown())
}

// A back end whose state has a broken head still runs, and its state is not used.
func TestBrokenHeadIsNoCrash(t *testing.T) {
	for _, form := range headtest.Broken {
		t.Run(form.Name, func(t *testing.T) {
			is := is.New(t)
			srv := httptest.NewServer(form.Handler("", `{"birth":2}`))
			defer srv.Close()
			p := &prober.Prober{Kind: catalog.KindEngine, Backend: srv.URL, HTTP: (&dialer.Dialer{}).Client()}
			is.True(!p.HasCrashed(t.Context(), 1))
			is.True(!p.IsDown())
			is.Equal(p.StartTime(), int64(0))
		})
	}
}
