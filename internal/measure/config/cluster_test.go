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
	zoneLatency   = 500 * time.Microsecond
	remoteLatency = time.Millisecond
	// frameBytes is the size of the TCP and IP headers of one message.
	frameBytes = 60
)

var errRefused = errors.New("connection refused")

// cluster simulates processes that share one log, with faults in the network between them.
type cluster struct {
	log                fakeLog
	baseline           bool
	checkpointInterval time.Duration
	digestMismatches   atomic.Int64

	mu        sync.Mutex
	processes map[ident.Host]*process
	peerList  []peerselector.Peer
	lag       time.Duration
	zoneCut   map[ident.Zone]bool
	logCut    map[ident.Zone]bool
	messages  int
}

// process is one incarnation of one process.
type process struct {
	cluster      *cluster
	host         ident.Host
	zone         ident.Zone
	entry        bool
	follower     *configfollower.Follower
	replicator   *configreplicator.Replicator
	checkpointer *checkpointer.Checkpointer
	cancel       context.CancelFunc
	done         chan struct{}
	// dropsCalls makes calls to a killed process time out. Otherwise they are refused.
	dropsCalls   atomic.Bool
	killed       atomic.Bool
	frozen       atomic.Pointer[chan struct{}]
	controlBytes atomic.Int64
	// highestOffset is the offset at the last check.
	highestOffset ident.Offset
	startedAt     time.Time
}

// HandleLog counts the events for differing state digests, which must not occur.
func (c *cluster) HandleLog(e *log.Entry) error {
	if n, ok := e.Fields["event"].(int); ok && n == event.StateDiffers.Number {
		c.digestMismatches.Add(1)
	}
	return nil
}

func (c *cluster) start(host ident.Host, zone ident.Zone, entry bool) *process {
	p := &process{cluster: c, host: host, zone: zone, entry: entry, done: make(chan struct{}), startedAt: time.Now()}
	logger := &log.Logger{Handler: c, Level: log.InfoLevel}
	p.follower = &configfollower.Follower{Logger: logger, Read: func(ctx context.Context, from ident.Offset, limit int, wait time.Duration) (logclient.Page, error) {
		return p.read(ctx, logclient.ConfigStream, from, limit, wait)
	}}
	p.checkpointer = &checkpointer.Checkpointer{
		Self: host, Follower: p.follower, Interval: c.checkpointInterval, Logger: logger, Writers: c.entries, Read: p.read, Append: p.append,
	}
	p.replicator = &configreplicator.Replicator{
		Self: host, Zone: zone, Follower: p.follower, Logger: logger, Peers: c.peers, RequestRecords: p.sendPull, RequestState: p.sendStateQuery, LoadCheckpoint: p.checkpointer.Restore,
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	c.mu.Lock()
	if c.processes == nil {
		c.processes, c.zoneCut, c.logCut = make(map[ident.Host]*process), make(map[ident.Zone]bool), make(map[ident.Zone]bool)
	}
	c.processes[host] = p
	c.mu.Unlock()
	go p.run(ctx)
	return p
}

func (p *process) run(ctx context.Context) {
	defer close(p.done)
	if p.cluster.baseline {
		_ = p.follower.Run(ctx)
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { _ = p.replicator.Run(ctx) })
	if p.entry && p.cluster.checkpointInterval > 0 {
		wg.Go(func() { _ = p.checkpointer.Run(ctx) })
	}
	wg.Wait()
}

// kill ends a process. Its host stays in the peer list until the next update.
func (p *process) kill(silent bool) {
	p.dropsCalls.Store(silent)
	p.killed.Store(true)
	p.cancel()
}

func (p *process) freeze() {
	c := make(chan struct{})
	p.frozen.CompareAndSwap(nil, &c)
}

func (p *process) unfreeze() {
	if c := p.frozen.Swap(nil); c != nil {
		close(*c)
	}
}

// waitWhileFrozen blocks a call of a frozen process until the process is unfrozen, whatever the deadline of the call.
func (p *process) waitWhileFrozen() {
	if c := p.frozen.Load(); c != nil {
		<-*c
	}
}

func (c *cluster) stop() {
	for _, p := range c.all() {
		p.unfreeze()
		p.cancel()
	}
	for _, p := range c.all() {
		<-p.done
	}
	// Let calls whose caller timed out end before the synctest bubble does.
	time.Sleep(time.Second)
}

func (c *cluster) all() []*process {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]*process, 0, len(c.processes))
	for _, p := range c.processes {
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b *process) int { return strings.Compare(string(a.host), string(b.host)) })
	return out
}

func (c *cluster) live() []*process {
	var out []*process
	for _, p := range c.all() {
		if !p.killed.Load() {
			out = append(out, p)
		}
	}
	return out
}

// updatePeerList replaces the peer list by the live processes. The list stays outdated until this is called.
func (c *cluster) updatePeerList() {
	var out []peerselector.Peer
	for _, p := range c.live() {
		out = append(out, peerselector.Peer{Host: p.host, Zone: p.zone, ControlAddress: string(p.host)})
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peerList = out
}

func (c *cluster) peers() []peerselector.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peerList
}

func (c *cluster) entries() []ident.Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []ident.Host
	for _, p := range c.peerList {
		if q, ok := c.processes[p.Host]; ok && q.entry {
			out = append(out, p.Host)
		}
	}
	return out
}

// setCut sets whether a zone is cut off from the other zones and from the log.
func (c *cluster) setCut(z ident.Zone, fromZones, fromLog bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.zoneCut[z], c.logCut[z] = fromZones, fromLog
}

func (c *cluster) isLogCut(z ident.Zone) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.logCut[z]
}
