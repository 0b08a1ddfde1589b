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
	// streams is the number of streams in progress, and streamEvents the length of each.
	streams, streamEvents = 6, 70
	// rollGap is the time between two machines that are stopped and started in turn.
	rollGap = 1100 * time.Millisecond
	silence = time.Second
	// graceTime is GracePeriodS of the deployment.
	graceTime = 8 * time.Second
)

// playSilence stops an entry host with streams in progress, and then the process beside their engine. The engine falls
// silent for a second and goes on.
func playSilence(o stage.Options, isTroubled bool) (outcome, error) {
	o.Gateways, o.Engines, o.Plain, o.Zones = 2, 2, 1, 1
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
	time.Sleep(3 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	busy, engine := s.Engines[1], s.Engines[0]
	client := stage.NewClient(o.Record)
	// Other requests go on all the while, as on any day.
	go func() {
		for ctx.Err() == nil {
			go client.Do(ctx, s.Front(0), stage.Request{Method: http.MethodGet, Target: "/read/x", TimeLimit: 600 * time.Millisecond})
			time.Sleep(20 * time.Millisecond)
		}
	}()
	time.Sleep(3 * time.Second)
	answers := make([]stage.Answer, streams)
	var wg sync.WaitGroup
	for i := range answers {
		wg.Go(func() { answers[i] = client.Do(ctx, s.Front(0), stage.Brief(streamEvents)) })
	}
	time.Sleep(300 * time.Millisecond)
	stage.Occupy(ctx, busy.PublicAddress, 4*stage.EngineSlots, 1000)
	time.Sleep(200 * time.Millisecond)
	stoppedAt := time.Now()
	if isTroubled {
		s.Gateways[0].Signal(syscall.SIGTERM)
		time.Sleep(rollGap)
		s.Stocks[0].Signal(syscall.SIGTERM)
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
