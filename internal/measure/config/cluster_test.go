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
	// zoneLatency is the one-way latency between processes in the same zone. remoteLatency is the one between zones and to
	// the log.
	zoneLatency   = 500 * time.Microsecond
	remoteLatency = time.Millisecond
	// headerBytes is the size of the TCP and IP headers of one message.
	headerBytes = 60
)

var errRefused = errors.New("connection refused")

// cluster simulates processes that share one log, with faults in the network between them.
type cluster struct {
	log fakeLog
	// baseline makes every process poll the log by itself, without replication between processes.
	baseline           bool
	checkpointInterval time.Duration
	digestMismatches   atomic.Int64

	mu        sync.Mutex
	processes map[ident.Host]*process
	peerList  []peerselector.Peer
	lag       time.Duration
	zoneCut   map[ident.Zone]bool // zones that are cut off from the other zones
	logCut    map[ident.Zone]bool // zones that are cut off from the log
	messages  int
}

// process is one incarnation of a simulated process.
type process struct {
	cluster      *cluster
	host         ident.Host
	zone         ident.Zone
	isEntryHost  bool
	follower     *configfollower.Follower
	replicator   *configreplicator.Replicator
	checkpointer *checkpointer.Checkpointer
	cancel       context.CancelFunc
	done         chan struct{}
	// dropsCalls makes calls to a killed process time out. Otherwise they are refused.
	dropsCalls atomic.Bool
	killed     atomic.Bool
	// frozen points to a channel that is closed when the process is unfrozen. It is nil if the process is not frozen.
	frozen       atomic.Pointer[chan struct{}]
	controlBytes atomic.Int64
	// lastOffset is the offset that the last check found.
	lastOffset ident.Offset
	startedAt  time.Time
}

// HandleLog counts the log events that report different states at the same offset. None may occur.
func (c *cluster) HandleLog(e *log.Entry) error {
	if n, ok := e.Fields["event"].(int); ok && n == event.StateDiffers.Number {
		c.digestMismatches.Add(1)
	}
	return nil
}

func (c *cluster) start(host ident.Host, zone ident.Zone, isEntryHost bool) *process {
	p := &process{cluster: c, host: host, zone: zone, isEntryHost: isEntryHost, done: make(chan struct{}), startedAt: time.Now()}
	logger := &log.Logger{Handler: c, Level: log.InfoLevel}
	p.follower = &configfollower.Follower{Logger: logger, Read: func(ctx context.Context, from ident.Offset, limit int, wait time.Duration) (logclient.Page, error) {
		return p.read(ctx, logclient.ConfigStream, from, limit, wait)
	}}
	p.checkpointer = &checkpointer.Checkpointer{
		Self: host, Follower: p.follower, Interval: c.checkpointInterval, Logger: logger, Writers: c.entryHosts, Read: p.read, Append: p.append,
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
	if p.isEntryHost && p.cluster.checkpointInterval > 0 {
		wg.Go(func() { _ = p.checkpointer.Run(ctx) })
	}
	wg.Wait()
}

// kill ends a process. Later calls to it time out if silent is true, and are refused otherwise. Its host stays in the
// peer list until updatePeerList is called.
func (p *process) kill(silent bool) {
	p.dropsCalls.Store(silent)
	p.killed.Store(true)
	p.cancel()
}

// freeze blocks all calls that the process sends or receives until it is unfrozen.
func (p *process) freeze() {
	unfrozen := make(chan struct{})
	p.frozen.CompareAndSwap(nil, &unfrozen)
}

func (p *process) unfreeze() {
	if unfrozen := p.frozen.Swap(nil); unfrozen != nil {
		close(*unfrozen)
	}
}

// waitWhileFrozen blocks a call while the process is frozen, even past the deadline of the call.
func (p *process) waitWhileFrozen() {
	if unfrozen := p.frozen.Load(); unfrozen != nil {
		<-*unfrozen
	}
}

func (c *cluster) stop() {
	for _, p := range c.allProcesses() {
		p.unfreeze()
		p.cancel()
	}
	for _, p := range c.allProcesses() {
		<-p.done
	}
	// Calls whose caller timed out may still be running. They have to end before the synctest bubble does.
	time.Sleep(time.Second)
}

func (c *cluster) allProcesses() []*process {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]*process, 0, len(c.processes))
	for _, p := range c.processes {
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b *process) int { return strings.Compare(string(a.host), string(b.host)) })
	return out
}

func (c *cluster) liveProcesses() []*process {
	var out []*process
	for _, p := range c.allProcesses() {
		if !p.killed.Load() {
			out = append(out, p)
		}
	}
	return out
}

// updatePeerList sets the peer list to the live processes. Nothing else changes the list, so it is outdated after a
// process was started or killed.
func (c *cluster) updatePeerList() {
	var peers []peerselector.Peer
	for _, p := range c.liveProcesses() {
		peers = append(peers, peerselector.Peer{Host: p.host, Zone: p.zone, ControlAddress: string(p.host)})
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peerList = peers
}

func (c *cluster) peers() []peerselector.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peerList
}

// entryHosts returns the entry hosts in the peer list.
func (c *cluster) entryHosts() []ident.Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []ident.Host
	for _, peer := range c.peerList {
		if p, ok := c.processes[peer.Host]; ok && p.isEntryHost {
			out = append(out, peer.Host)
		}
	}
	return out
}

// setCut sets whether a zone is cut off from the other zones, and whether it is cut off from the log.
func (c *cluster) setCut(zone ident.Zone, fromZones, fromLog bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.zoneCut[zone], c.logCut[zone] = fromZones, fromLog
}

func (c *cluster) isLogCut(zone ident.Zone) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.logCut[zone]
}
