package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/nutmegdock/nutmegdock/platform/wirenames"
	"github.com/nutmegdock/nutmegdock/review/stage"
)

const (
	// recoveryTime is RecoveryS of the deployment, and judgedTime how long after it requests are counted.
	recoveryTime, judgedTime = 12 * time.Second, 15 * time.Second
	downTime                 = 900 * time.Millisecond
	// startSpread is the time between the starts of the first and the last machine.
	startSpread = 300 * time.Millisecond
	// spoiltAnswers is the number of answers that the origin spoils: one list of digests for each entry host.
	spoiltAnswers = 2
)

// playManifest kills all processes right after a version of the weights was confirmed. The origin spoils two answers after
// that: a digit in its list of digests. With SPOIL=0 it spoils none.
func playManifest(o stage.Options, isTroubled bool) (outcome, error) {
	o.Gateways, o.Engines, o.Plain, o.Zones = 2, 3, 1, 1
	var isSpoiling atomic.Bool
	var answers, spoilt atomic.Int64
	o.Origin = func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			recorder := httptest.NewRecorder()
			next.ServeHTTP(recorder, r)
			body := recorder.Body.Bytes()
			n := answers.Add(1)
			if strings.HasPrefix(r.URL.Path, wirenames.PathManifest) {
				if isSpoiling.Load() && r.URL.Query().Get("Version") == "2" && spoilt.Add(1) <= spoiltAnswers {
					body = spoilDigit(body)
					o.Record.Add("the origin's answer %d is spoilt: %s", n, r.URL)
				} else {
					o.Record.Add("the origin's answer %d is sound: %s", n, r.URL)
				}
			}
			w.WriteHeader(recorder.Code)
			_, _ = w.Write(body)
		})
	}
	s, err := stage.Start(o)
	if s != nil {
		defer s.Stop()
	}
	if err != nil {
		return outcome{}, err
	}
	if err := s.AwaitReady(15 * time.Second); err != nil {
		return outcome{}, err
	}
	t := startTraffic(s, o.Record)
	time.Sleep(8 * time.Second)
	faultAt := time.Now()
	backAt := faultAt
	s.NameVersion(2)
	if isTroubled {
		isSpoiling.Store(os.Getenv("SPOIL") != "0")
		backAt = killAll(s)
	}
	time.Sleep(time.Until(backAt.Add(recoveryTime + judgedTime)))
	t.stop()
	before, after := t.share(time.Time{}, faultAt), t.share(backAt.Add(recoveryTime), time.Now())
	text := fmt.Sprintf("served before the fault %.3f, later than RecoveryS after the machines are back %.3f; the origin gave %d answers", before, after, answers.Load())
	return outcome{isBroken: before >= 0.25 && after < 0.25, text: text}, nil
}

// killAll kills all processes of the system at once, and returns when they were started again.
func killAll(s *stage.Stage) (backAt time.Time) {
	var releases []func()
	for _, p := range s.Processes() {
		releases = append(releases, p.Hold())
	}
	for _, p := range s.Processes() {
		p.Signal(syscall.SIGKILL)
	}
	time.Sleep(downTime)
	for i, release := range releases {
		if i == len(s.Gateways) {
			time.Sleep(startSpread)
		}
		release()
	}
	return time.Now()
}

// spoilDigit changes one digit of the first digest.
func spoilDigit(body []byte) []byte {
	out := bytes.Clone(body)
	i := bytes.Index(out, []byte(`"Digests":["`)) + len(`"Digests":["`)
	if out[i] == '0' {
		out[i] = '1'
	} else {
		out[i] = '0'
	}
	return out
}

// traffic sends streaming requests at a steady rate.
type traffic struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu      sync.Mutex
	answers []stage.Answer
}

func startTraffic(s *stage.Stage, record *stage.Record) *traffic {
	ctx, cancel := context.WithCancel(context.Background())
	t := &traffic{cancel: cancel}
	t.wg.Go(func() {
		client := stage.NewClient(record)
		for n := 0; ctx.Err() == nil; n++ {
			front, request := s.Front(n%len(s.Gateways)), stage.Brief(10)
			t.wg.Go(func() {
				a := client.Do(ctx, front, request)
				if ctx.Err() != nil {
					return
				}
				t.mu.Lock()
				defer t.mu.Unlock()
				t.answers = append(t.answers, a)
			})
			time.Sleep(100 * time.Millisecond)
		}
	})
	return t
}

func (t *traffic) stop() {
	t.cancel()
	t.wg.Wait()
}

// share returns the share of the requests sent in a period that were served.
func (t *traffic) share(from, to time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	sent, served := 0, 0
	for _, a := range t.answers {
		if a.SentAt.Before(from) || a.SentAt.After(to) {
			continue
		}
		sent++
		if a.IsServed() {
			served++
		}
	}
	if sent == 0 {
		return 0
	}
	return float64(served) / float64(sent)
}
