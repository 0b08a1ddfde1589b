package main

import (
	"context"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/nutmegdock/nutmegdock/review/stage"
)

const (
	// leavingStreams is the number of streams in progress.
	leavingStreams = 56
	// servingTime is how long an engine that leaves takes new channels after its report: DrainMs and a little longer.
	servingTime = 2200 * time.Millisecond
)

// playLeave takes an engine away: it reports that it is draining, serves for DrainMs and a little longer, takes no new channels
// then, and finishes the streams in progress. It falls silent for a second meanwhile and goes on. An entry host with such
// streams is stopped.
func playLeave(o stage.Options, isTroubled bool) (outcome, error) {
	o.Gateways, o.Engines, o.Plain, o.Zones = 2, 4, 1, 1
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
