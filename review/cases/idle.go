package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/nutmegdock/nutmegdock/review/stage"
)

const (
	// newUsers is the number of users a second that come to each entry host, and usersTime for how long they come.
	newUsers, usersTime = 60, 85 * time.Second
	// restartAfter is when the process beside an engine is stopped and started.
	restartAfter = 80 * time.Second
	// keptClients is the number of clients that send the same requests without the disruption.
	keptClients = 30
	// stabilityWindow is StabilityWindowMs of the deployment, and minTries the number of clients that must have tried.
	stabilityWindow, minTries = 3 * time.Second, 7
)

// event is a try of a client or a question of the platform.
type event struct {
	at         time.Time
	isQuestion bool
	// isGood is set if the try had any answer, or the host said that it is ready.
	isGood bool
}

// playIdle lets users come, each of which opens a channel, sends one request and leaves the channel open. Without the
// disruption, the same requests come from few clients.
func playIdle(o stage.Options, isTroubled bool) (outcome, error) {
	o.Gateways, o.Engines, o.Plain, o.Zones = 2, 2, 3, 1
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
	restart := time.AfterFunc(restartAfter, func() { s.Stocks[0].Signal(syscall.SIGTERM) })
	defer restart.Stop()
	var wg sync.WaitGroup
	events := make([][]event, len(s.Gateways))
	for i := range s.Gateways {
		wg.Go(func() { events[i] = meetUsers(ctx, s, i, isTroubled) })
	}
	wg.Wait()
	isBroken, text := false, ""
	for i, all := range events {
		tries, answered := 0, 0
		for _, e := range all {
			if e.isQuestion {
				continue
			}
			tries++
			if e.isGood {
				answered++
			}
		}
		longest := longestRefusal(all)
		isBroken = isBroken || longest >= stabilityWindow
		text += fmt.Sprintf("entry host %d: %d of %d requests answered, took no new channel for %.1f s while it said that it is ready, ended %d times by itself; ",
			i, answered, tries, longest.Seconds(), s.Gateways[i].Ends())
	}
	return outcome{isBroken: isBroken, text: text}, nil
}

// meetUsers sends the requests to one entry host, and asks it each second whether it is ready.
func meetUsers(ctx context.Context, s *stage.Stage, i int, isTroubled bool) []event {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var events []event
	add := func(e event) {
		mu.Lock()
		defer mu.Unlock()
		events = append(events, e)
	}
	kept := make([]*stage.Client, keptClients)
	for n := range kept {
		kept[n] = stage.NewClient(s.Record)
	}
	platform := &http.Client{Timeout: time.Second}
	startTime := time.Now()
	end := startTime.Add(usersTime)
	wg.Go(func() {
		for time.Now().Before(end) {
			at := time.Now()
			isReady := s.Ready(platform, i)
			s.Record.Add("entry host %d is ready: %t", i, isReady)
			add(event{at: at, isQuestion: true, isGood: isReady})
			time.Sleep(time.Until(at.Add(time.Second)))
		}
	})
	for n := 0; time.Now().Before(end); n++ {
		client := kept[n%keptClients]
		if isTroubled {
			client = stage.NewClient(s.Record)
		}
		wg.Go(func() {
			a := client.Do(ctx, s.Front(i), stage.Request{Method: http.MethodGet, Target: "/read/x", TimeLimit: 600 * time.Millisecond})
			add(event{at: a.SentAt, isGood: a.Status != 0})
		})
		time.Sleep(time.Until(startTime.Add(time.Duration(n+1) * time.Second / newUsers)))
	}
	wg.Wait()
	return events
}

// longestRefusal returns the longest time in which no try had an answer although the host said that it is ready.
func longestRefusal(events []event) time.Duration {
	var longest time.Duration
	var from time.Time
	tries := 0
	for _, e := range sortedByTime(events) {
		switch {
		case e.isGood != e.isQuestion:
			from, tries = time.Time{}, 0
		case !e.isQuestion:
			if from.IsZero() {
				from = e.at
			}
			if tries++; tries >= minTries {
				longest = max(longest, e.at.Sub(from))
			}
		}
	}
	return longest
}

func sortedByTime(events []event) []event {
	return slices.SortedFunc(slices.Values(events), func(a, b event) int { return a.at.Compare(b.at) })
}
