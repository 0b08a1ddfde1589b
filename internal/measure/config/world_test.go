package config_test

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/nutmegdock/nutmegdock/internal/checkpointer"
	"github.com/nutmegdock/nutmegdock/internal/configfollower"
	"github.com/nutmegdock/nutmegdock/internal/configreplicator"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/peerselector"
	"github.com/nutmegdock/nutmegdock/internal/event"
	"github.com/nutmegdock/nutmegdock/internal/logclient"
)

const (
	zoneLatency  = 500 * time.Microsecond
	otherLatency = time.Millisecond
	// frameBytes is what TCP and IP add to a message.
	frameBytes = 60
)

var errRefused = errors.New("connection refused")

// world is a set of processes around one log, with faults between them.
type world struct {
	log      logFake
	baseline bool
	interval time.Duration
	differs  atomic.Int64

	mu       sync.Mutex
	procs    map[ident.Host]*proc
	listed   []peerselector.Peer
	lag      time.Duration
	cut      map[ident.Zone]bool
	cutLog   map[ident.Zone]bool
	messages int
}

// proc is one incarnation of one process.
type proc struct {
	w          *world
	host       ident.Host
	zone       ident.Zone
	entry      bool
	follow     *configfollower.Follower
	replicator *configreplicator.Replicator
	points     *checkpointer.Checkpointer
	cancel     context.CancelFunc
	done       chan struct{}
	// silent makes a dead process swallow calls in place of refusing them.
	silent atomic.Bool
	dead   atomic.Bool
	thaw   atomic.Pointer[chan struct{}]
	bytes  atomic.Int64
	// last is the highest offset seen by the checker.
	last ident.Offset
	born time.Time
}

// HandleLog counts the events that no run may raise.
func (w *world) HandleLog(e *log.Entry) error {
	if n, ok := e.Fields["event"].(int); ok && n == event.StateDiffers.Number {
		w.differs.Add(1)
	}
	return nil
}

func (w *world) start(host ident.Host, zone ident.Zone, entry bool) *proc {
	p := &proc{w: w, host: host, zone: zone, entry: entry, done: make(chan struct{}), born: time.Now()}
	logger := &log.Logger{Handler: w, Level: log.InfoLevel}
	p.follow = &configfollower.Follower{Logger: logger, Read: func(ctx context.Context, from ident.Offset, limit int, wait time.Duration) (logclient.Page, error) {
		return p.read(ctx, logclient.ConfigStream, from, limit, wait)
	}}
	p.points = &checkpointer.Checkpointer{
		Self: host, Follower: p.follow, Interval: w.interval, Logger: logger, Writers: w.entries, Read: p.read, Append: p.append,
	}
	p.replicator = &configreplicator.Replicator{
		Self: host, Zone: zone, Follower: p.follow, Logger: logger, Peers: w.peers, RequestRecords: p.pull, RequestState: p.state, LoadCheckpoint: p.points.Restore,
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	w.mu.Lock()
	if w.procs == nil {
		w.procs, w.cut, w.cutLog = make(map[ident.Host]*proc), make(map[ident.Zone]bool), make(map[ident.Zone]bool)
	}
	w.procs[host] = p
	w.mu.Unlock()
	go p.run(ctx)
	return p
}

func (p *proc) run(ctx context.Context) {
	defer close(p.done)
	if p.w.baseline {
		_ = p.follow.Run(ctx)
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { _ = p.replicator.Run(ctx) })
	if p.entry && p.w.interval > 0 {
		wg.Go(func() { _ = p.points.Run(ctx) })
	}
	wg.Wait()
}

// kill ends a process; its host stays in the lagging list.
func (p *proc) kill(silent bool) {
	p.silent.Store(silent)
	p.dead.Store(true)
	p.cancel()
}

func (p *proc) freeze() {
	c := make(chan struct{})
	p.thaw.CompareAndSwap(nil, &c)
}

func (p *proc) unfreeze() {
	if c := p.thaw.Swap(nil); c != nil {
		close(*c)
	}
}

// gate holds a call of a frozen process until it wakes, whatever its deadline.
func (p *proc) gate() {
	if c := p.thaw.Load(); c != nil {
		<-*c
	}
}

func (w *world) stop() {
	for _, p := range w.all() {
		p.unfreeze()
		p.cancel()
	}
	for _, p := range w.all() {
		<-p.done
	}
	// Calls whose caller gave up end too, before the bubble's time stops.
	time.Sleep(time.Second)
}

func (w *world) all() []*proc {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make([]*proc, 0, len(w.procs))
	for _, p := range w.procs {
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b *proc) int { return strings.Compare(string(a.host), string(b.host)) })
	return out
}

func (w *world) live() []*proc {
	var out []*proc
	for _, p := range w.all() {
		if !p.dead.Load() {
			out = append(out, p)
		}
	}
	return out
}

// list makes the hosts known to all; until then the list lags.
func (w *world) list() {
	var out []peerselector.Peer
	for _, p := range w.live() {
		out = append(out, peerselector.Peer{Host: p.host, Zone: p.zone, Control: string(p.host)})
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.listed = out
}

func (w *world) peers() []peerselector.Peer {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.listed
}

func (w *world) entries() []ident.Host {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []ident.Host
	for _, p := range w.listed {
		if q, ok := w.procs[p.Host]; ok && q.entry {
			out = append(out, p.Host)
		}
	}
	return out
}

func (w *world) setCut(z ident.Zone, others, log bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut[z], w.cutLog[z] = others, log
}

func (w *world) isLogCut(z ident.Zone) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cutLog[z]
}
