package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/nutmegdock/nutmegdock/review/stage"
)

const (
	// streamEvents is the length of each stream, and silence for how long an engine is silent.
	streamEvents, silence = 70, time.Second
	// graceTime is GracePeriodS of the deployment.
	graceTime = 8 * time.Second
	// leavingStreams is the number of streams in progress.
	leavingStreams = 56
	// servingTime is how long an engine that leaves takes new channels after its report: DrainMs and a little longer.
	servingTime = 2200 * time.Millisecond
)

// playLeave takes an engine away: it reports that it is draining, serves for DrainMs and a little longer, takes no new channels
// then, and finishes the streams in progress. It falls silent for a second meanwhile and goes on. An entry host with such
// streams is stopped.
func playLeave(o stage.Options, isTroubled bool) (outcome, error) {
	o.Gateways, o.Engines, o.Plain, o.Zones, o.HasFronts = 2, 4, 1, 1, true
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
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	client := stage.NewClient(o.Record)
	go func() {
		for ctx.Err() == nil {
			go client.Do(ctx, s.Front(0), stage.Request{Method: http.MethodGet, Target: "/read/x", TimeLimit: 600 * time.Millisecond})
			time.Sleep(20 * time.Millisecond)
		}
	}()
	time.Sleep(6 * time.Second)
	engine := s.Engines[0]
	answers := make([]stage.Answer, leavingStreams)
	var wg sync.WaitGroup
	for i := range answers {
		wg.Go(func() { answers[i] = client.Do(ctx, s.Front(0), stage.Brief(streamEvents)) })
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(100 * time.Millisecond)
	stoppedAt := time.Now()
	if isTroubled {
		engine.Drain()
		o.Record.Add("%s is draining", engine.ID())
		s.Gateways[0].Signal(syscall.SIGTERM)
		time.Sleep(servingTime)
		s.StopListening(engine)
		s.Silence(engine, silence)
	}
	wg.Wait()
	return judgeLost(s, answers, stoppedAt)
}

// judgeLost counts the requests that were passed on and have no complete answer around the stop of their entry host.
func judgeLost(s *stage.Stage, answers []stage.Answer, stoppedAt time.Time) (outcome, error) {
	lost, ran := 0, 0
	for _, a := range answers {
		runs := s.Record.Runs(a.ID)
		if len(runs) == 0 {
			continue
		}
		ran++
		if !a.IsComplete && a.DoneAt.Sub(stoppedAt) < graceTime+time.Second && a.DoneAt.Sub(a.SentAt) < 6*time.Second {
			lost++
			s.Record.Add("request %s was passed on to %s and has no complete answer %s after it was sent", a.ID, runs[0].EndpointID, a.DoneAt.Sub(a.SentAt))
		}
	}
	if ran == 0 {
		return outcome{}, fmt.Errorf("none of %d requests ran", len(answers))
	}
	return outcome{isBroken: lost > 0, text: fmt.Sprintf("%d of %d requests that were passed on have no complete answer", lost, ran)}, nil
}
