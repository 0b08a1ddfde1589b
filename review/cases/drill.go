package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/nutmegdock/nutmegdock/platform/wirenames"
	"github.com/nutmegdock/nutmegdock/review/stage"
)

const (
	// drainTime is DrainMs of the deployment.
	drainTime = 2 * time.Second
	// copyAge is the age of the copy from which the store is restored, and awayTime for how long it is away before.
	copyAge, awayTime = 4 * time.Second, 200 * time.Millisecond
	// deleteInterval is the time between two deletions of records, and expiryTime three times HeartbeatIntervalMs.
	deleteInterval, deletions, expiryTime = time.Second, 3, 3600 * time.Millisecond
)

// playDrill restores the store from an older copy after a server has left: the copy has the server's entry, which expires. The
// records of the log are deleted meanwhile, but for the newest of each key.
func playDrill(o stage.Options, isTroubled bool) (outcome, error) {
	o.Gateways, o.Engines, o.Plain, o.Zones = 2, 2, 7, 1
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
	server := s.Services[0]
	var mu sync.Mutex
	var arrivals []time.Time
	onRequest := server.OnRequest
	server.OnRequest = func(request, endpoint, pool string, isMisdirected bool) {
		onRequest(request, endpoint, pool, isMisdirected)
		if !isMisdirected {
			mu.Lock()
			defer mu.Unlock()
			arrivals = append(arrivals, time.Now())
		}
	}
	client := stage.NewClient(o.Record)
	go func() {
		for n := 0; ctx.Err() == nil; n++ {
			go client.Do(ctx, s.Front(n%2), stage.Request{Method: http.MethodGet, Target: "/read/x", TimeLimit: 600 * time.Millisecond})
			time.Sleep(20 * time.Millisecond)
		}
	}()
	time.Sleep(5 * time.Second)
	older := s.Store.Backup()
	time.Sleep(copyAge / 4)
	s.Leave(server)
	leftAt := time.Now()
	time.Sleep(copyAge * 3 / 4)
	if isTroubled {
		o.Record.Add("the store is away")
		s.SetStoreAway(true)
		time.Sleep(awayTime)
		s.Store.Restore(older)
		s.SetStoreAway(false)
		expiresAt := time.Now().Add(expiryTime)
		o.Record.Add("the store is back from a copy that is %s old", copyAge)
		for range deletions {
			time.Sleep(deleteInterval)
			s.Store.Truncate(wirenames.TopicEndpoints)
			o.Record.Add("the records of the servers are deleted but for the newest of each key")
		}
		time.Sleep(time.Until(expiresAt))
		s.Store.PutRecord(wirenames.TopicEndpoints, server.ID(), nil)
		o.Record.Add("the entry of %s expires", server.ID())
	}
	time.Sleep(2 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	late := 0
	for _, t := range arrivals {
		if t.Sub(leftAt) > drainTime {
			late++
		}
	}
	return outcome{isBroken: late > 0, text: fmt.Sprintf("%d requests reached the server later than DrainMs after its entry was removed", late)}, nil
}
