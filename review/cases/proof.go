package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/nutmegdock/nutmegdock/platform/standin/backend"
	"github.com/nutmegdock/nutmegdock/review/stage"
)

const (
	// callTime is how long the slow engine takes for a read of its staging area, and orderSilence for how long it falls silent
	// when it gets the order.
	callTime, orderSilence = 240 * time.Millisecond, 1400 * time.Millisecond
	// killDelay is the time from the order to the kill of the process that has sent it.
	killDelay = 1100 * time.Millisecond
	// maxRot is for how long a chunk may have been spoilt when the engine takes it.
	maxRot = 3 * time.Second
	// stagedChunks is the number of chunks of a version.
	stagedChunks = 64
)

// rotting spoils a chunk of an engine right after it was read back for the order, and kills the process that reads it once the
// order is sent.
type rotting struct {
	stage  *stage.Stage
	engine *backend.Backend

	mu       sync.Mutex
	isActive bool
	written  int
	reads    int
	hasOrder bool
}

func (r *rotting) fault(c backend.Call) backend.CallFault {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case !r.isActive:
	case c == backend.CallRead && r.written >= stagedChunks && !r.hasOrder:
		return backend.CallFault{Before: callTime}
	case c == backend.CallLoad && !r.hasOrder:
		r.hasOrder = true
		r.stage.Silence(r.engine, orderSilence)
		if os.Getenv("KILL") != "0" {
			time.AfterFunc(killDelay, func() { r.stage.Stocks[0].Signal(syscall.SIGKILL) })
		}
	}
	return backend.CallFault{}
}

func (r *rotting) log(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	r.stage.Record.Add("engine-0: %s", line)
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case !r.isActive:
	case strings.HasPrefix(line, "write "):
		r.written++
	case strings.HasPrefix(line, "read Number=0:") && r.written >= stagedChunks:
		// The first read only shows how fast the engine is, and is made again as it becomes too old; so are others on a busy
		// machine. The chunk turns bad after each of those, so that it has done so after the last one.
		if r.reads++; r.reads >= 2 && !r.hasOrder {
			go r.engine.CorruptChunk(0)
		}
	}
}

// playProof names a version of the weights. One engine is slow, and a chunk in its staging area turns bad right after it was
// read back; the engine falls silent for a second when it gets the order, and the process beside it is killed meanwhile.
func playProof(o stage.Options, isTroubled bool) (outcome, error) {
	o.Gateways, o.Engines, o.Plain, o.Zones = 2, 4, 1, 1
	r := &rotting{}
	o.Engine = func(i int, b *backend.Backend) {
		if i == 0 {
			r.engine, b.CallFault, b.Log = b, r.fault, r.log
		}
	}
	s, err := stage.Start(o, func(s *stage.Stage) { r.stage = s })
	if s != nil {
		defer s.Stop()
	}
	if err != nil {
		return outcome{}, err
	}
	if err := s.AwaitReady(15 * time.Second); err != nil {
		return outcome{}, err
	}
	time.Sleep(6 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	client := stage.NewClient(o.Record)
	var mu sync.Mutex
	var answers []stage.Answer
	go func() {
		for n := 0; ctx.Err() == nil; n++ {
			front := s.Front(n % 2)
			go func() {
				a := client.Do(ctx, front, stage.Brief(4))
				mu.Lock()
				defer mu.Unlock()
				answers = append(answers, a)
			}()
			time.Sleep(30 * time.Millisecond)
		}
	}()
	time.Sleep(time.Second)
	r.mu.Lock()
	r.isActive = isTroubled
	r.mu.Unlock()
	s.NameVersion(2)
	time.Sleep(20 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	ran, bad := 0, 0
	for _, a := range answers {
		for _, e := range s.Record.Runs(a.ID) {
			if e.Release < 2 {
				continue
			}
			ran++
			if e.WrongFor > maxRot {
				bad++
				o.Record.Add("request %s ran at %s with a layer whose chunk had been spoilt for %s when it was taken", a.ID, e.EndpointID, e.WrongFor)
			}
		}
	}
	if ran == 0 {
		return outcome{}, fmt.Errorf("no request ran on version 2")
	}
	return outcome{isBroken: bad > 0, text: fmt.Sprintf("%d of %d requests on version 2 ran with a layer that was taken from a spoilt chunk", bad, ran)}, nil
}
