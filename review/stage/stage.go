// Package stage runs the programs of the deploy file as processes on loopback addresses, with stand-ins of the platform's
// store, the origin of weights and the servers.
package stage

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/nutmegdock/nutmegdock/platform/standin/backend"
	"github.com/nutmegdock/nutmegdock/platform/standin/keyedlog"
	"github.com/nutmegdock/nutmegdock/platform/standin/origin"
	"github.com/nutmegdock/nutmegdock/platform/wirenames"
)

// Names in the configuration, and the figures of the deployment.
const (
	Model        = "m0"
	EnginePool   = "tiller-llm"
	PlainPool    = "bookings"
	originPool   = "fleet-admin"
	HostName     = "sailing.example"
	Key          = "key-of-a-school"
	organisation = "school"

	// EngineSlots and PlainSlots are the requests that a server processes at once.
	EngineSlots = 16
	PlainSlots  = 6
	chunkCount  = 64
	chunkBytes  = 32768
	layerCount  = 16
	// EventInterval is the time between two events of a stream, and PlainWork the time of a plain request.
	EventInterval = 50 * time.Millisecond
	PlainWork     = 15 * time.Millisecond

	storePort, servicePort, innerPort, frontPort, readinessPort = 8007, 8740, 8741, 8005, 8002
	// heartbeatInterval is HeartbeatIntervalMs.
	heartbeatInterval, heartbeatJitter = 1200 * time.Millisecond, 100 * time.Millisecond
	// gatewayDescriptors and stockDescriptors are FileDescriptors of the two classes of machines.
	gatewayDescriptors, stockDescriptors = 4200, 2048
	// hostsPerKind bounds the hosts of one kind, whose addresses are checked before the start.
	hostsPerKind = 9
	// restartDelay is the time after which the platform starts a process again.
	restartDelay = 500 * time.Millisecond
)

// Kinds of hosts: the third number of their addresses.
const (
	kindGateway = 1 + iota
	kindEngine
	kindPlain
	kindStore
)

// Options describe a deployment.
type Options struct {
	// Programs is the directory of gatewayd and stockd, and Dir that of the settings and logs.
	Programs, Dir string
	// Gateways, Engines and Plain are the numbers of entry hosts, of model engines, and of servers of the plain service. They
	// are spread over Zones zones in turn.
	Gateways, Engines, Plain, Zones int
	// Origin wraps the handler of the origin of weights; nil for none.
	Origin func(next http.Handler) http.Handler
	// HasFronts is set if engines may stop taking new channels while they finish requests.
	HasFronts bool
	// Engine changes the stand-in of an engine before it starts; nil for no change.
	Engine func(i int, b *backend.Backend)
	// Record receives what happens.
	Record *Record
}

// Stage is a running deployment.
type Stage struct {
	Options
	Store    keyedlog.Store
	Engines  []*backend.Backend
	Services []*backend.Backend
	Gateways []*Process
	Stocks   []*Process

	prefix  string
	origin  origin.Origin
	release atomic.Int64
	isAway  atomic.Bool
	servers []*http.Server
	fronts  map[*backend.Backend]*front
	mu      sync.Mutex
	version int64
	entries map[string]writtenEntry
	// left holds the ids of the servers whose entries are removed.
	left map[string]bool
}

// Start starts a deployment. The configuration and version 1 of the weights are there from the start. It calls prepare with
// the stage before anything runs.
func Start(o Options, prepare ...func(s *Stage)) (*Stage, error) {
	s := &Stage{Options: o, fronts: make(map[*backend.Backend]*front), left: make(map[string]bool), entries: make(map[string]writtenEntry)}
	for _, p := range prepare {
		p(s)
	}
	s.release.Store(1)
	s.Store.Fault = func(string) keyedlog.Fault {
		if s.isAway.Load() {
			return keyedlog.Fault{Status: http.StatusServiceUnavailable}
		}
		return keyedlog.Fault{}
	}
	var err error
	if s.prefix, err = freePrefix(); err != nil {
		return nil, err
	}
	s.origin = origin.Origin{Model: Model, ChunkCount: chunkCount, ChunkBytes: chunkBytes, NewestRelease: s.release.Load}
	var handler http.Handler = &s.origin
	if o.Origin != nil {
		handler = o.Origin(handler)
	}
	if err := s.serve(s.address(kindStore, 1, servicePort), handler); err != nil {
		return s, err
	}
	if err := s.serve(s.address(kindStore, 0, storePort), s.Store.Handler("store")); err != nil {
		return s, err
	}
	s.WriteConfiguration()
	for i := range o.Engines {
		b := s.newBackend(kindEngine, i, EnginePool, EngineSlots, EventInterval)
		b.Origin, b.Layers = &s.origin, layerCount
		if o.Engine != nil {
			o.Engine(i, b)
		}
		s.Engines = append(s.Engines, b)
		if o.HasFronts {
			if err := s.addFront(b); err != nil {
				return s, err
			}
		}
		if err := b.Start(fmt.Sprintf("engine-%d", i), 1); err != nil {
			return s, err
		}
		time.Sleep(s.startGap())
	}
	for i := range o.Plain {
		b := s.newBackend(kindPlain, i, PlainPool, PlainSlots, PlainWork)
		s.Services = append(s.Services, b)
		if err := b.Start(fmt.Sprintf("plain-%d", i), 0); err != nil {
			return s, err
		}
		time.Sleep(s.startGap())
	}
	for i := range o.Gateways {
		s.Gateways = append(s.Gateways, s.newProcess("gatewayd", "frontend", kindGateway, i))
	}
	for i := range o.Engines {
		s.Stocks = append(s.Stocks, s.newProcess("stockd", "side", kindEngine, i))
	}
	for _, p := range s.Processes() {
		if err := p.Start(); err != nil {
			return s, err
		}
	}
	return s, nil
}

// Silence makes an engine silent for some time: it sends nothing and reads nothing.
func (s *Stage) Silence(b *backend.Backend, d time.Duration) {
	s.Record.Add("%s falls silent for %s", b.ID(), d)
	b.Silence(d)
}

// putEntry writes the entry of a server, unless the server has left. An entry without news is written each
// HeartbeatIntervalMs: the stand-in writes more often.
func (s *Stage) putEntry(key string, value []byte) {
	var entry map[string]any
	_ = json.Unmarshal(value, &entry) // the empty value of a server that has ended is news
	delete(entry, "Sequence")
	news := fmt.Sprint(entry)
	s.mu.Lock()
	last := s.entries[key]
	isWritten := !s.left[key] && (last.news != news || time.Since(last.at) >= heartbeatInterval-heartbeatJitter)
	if isWritten {
		s.entries[key] = writtenEntry{news: news, at: time.Now()}
	}
	s.mu.Unlock()
	if isWritten {
		s.Store.PutRecord(wirenames.TopicEndpoints, key, value)
	}
}

// writtenEntry is what a server has written last.
type writtenEntry struct {
	news string
	at   time.Time
}

// SetStoreAway makes the store answer 503, or end that.
func (s *Stage) SetStoreAway(isAway bool) {
	s.isAway.Store(isAway)
}

// Leave removes the entry of a server, which goes on serving.
func (s *Stage) Leave(b *backend.Backend) {
	s.mu.Lock()
	s.left[b.ID()] = true
	s.mu.Unlock()
	s.Store.PutRecord(wirenames.TopicEndpoints, b.ID(), nil)
	s.Record.Add("the entry of %s is removed; it goes on serving", b.ID())
}

// startGap is the time between the starts of two servers, so that they write their entries at different times.
func (s *Stage) startGap() time.Duration {
	return heartbeatInterval / time.Duration(max(1, s.Options.Engines+s.Plain))
}

// Processes returns all processes of the system.
func (s *Stage) Processes() []*Process {
	return append(append([]*Process(nil), s.Gateways...), s.Stocks...)
}

// Stop ends all processes and stand-ins.
func (s *Stage) Stop() {
	for _, p := range s.Processes() {
		p.End()
	}
	for _, b := range append(append([]*backend.Backend(nil), s.Engines...), s.Services...) {
		b.Stop(true)
	}
	for _, srv := range s.servers {
		_ = srv.Close()
	}
	for _, f := range s.fronts {
		_ = f.ln.Close() // it may be closed
	}
}

// freePrefix returns the first two numbers of loopback addresses that no other program uses.
func freePrefix() (string, error) {
	for n := range 100 {
		prefix := fmt.Sprintf("127.%d", 100+(os.Getpid()+n)%100)
		if isFree(prefix) {
			return prefix, nil
		}
	}
	return "", errors.New("no free loopback addresses")
}

func isFree(prefix string) bool {
	for kind := kindGateway; kind <= kindStore; kind++ {
		for i := range hostsPerKind {
			for _, port := range []int{storePort, servicePort, innerPort, frontPort, readinessPort, 7700, 7701, 7702, 7703} {
				ln, err := net.Listen("tcp4", fmt.Sprintf("%s.%d.%d:%d", prefix, kind, 1+i, port))
				if err != nil {
					return false
				}
				_ = ln.Close()
			}
		}
	}
	return true
}

func (s *Stage) ip(kind, i int) string {
	return fmt.Sprintf("%s.%d.%d", s.prefix, kind, 1+i)
}

func (s *Stage) address(kind, i, port int) string {
	return fmt.Sprintf("%s:%d", s.ip(kind, i), port)
}

// Front returns the address of an entry host for clients.
func (s *Stage) Front(i int) string {
	return s.address(kindGateway, i, frontPort)
}

func (s *Stage) zone(i int) string {
	return fmt.Sprintf("zone-%d", i%s.Zones)
}

func (s *Stage) serve(address string, h http.Handler) error {
	ln, err := net.Listen("tcp4", address)
	if err != nil {
		return fmt.Errorf("serve a stand-in: %w", err)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	s.servers = append(s.servers, srv)
	go func() { _ = srv.Serve(ln) }() // returns an error after Stop
	return nil
}

func (s *Stage) newBackend(kind, i int, pool string, slots int, work time.Duration) *backend.Backend {
	address := s.address(kind, i, servicePort)
	return &backend.Backend{
		ListenAddress: address, PublicAddress: address, Pool: pool, Zone: s.zone(i), SlotCount: slots, WorkDuration: work,
		PutEntry: s.putEntry,
		OnRequest: func(id, endpointID, _ string, isMisdirected bool) {
			s.Record.Add("reaches %s: request %s, for another server %t", endpointID, id, isMisdirected)
		},
		OnStart: func(e backend.Execution) {
			s.Record.started(e)
		},
		OnEnd: func(id, endpointID string, _ time.Time) {
			s.Record.Add("%s ends request %s", endpointID, id)
		},
	}
}

func (s *Stage) newProcess(program, class string, kind, i int) *Process {
	name, descriptors := fmt.Sprintf("%s-%d", class, i), uint64(gatewayDescriptors)
	if kind == kindEngine {
		descriptors = stockDescriptors
	}
	return &Process{
		Name: name, descriptors: descriptors, program: filepath.Join(s.Programs, program), dir: s.Dir, settings: s.settings(name, class, kind, i), record: s.Record,
	}
}

// settings returns a settings file with the figures of bks-helm.
func (s *Stage) settings(name, class string, kind, i int) string {
	text := fmt.Sprintf("NodeName = %q\nRole = %q\nMachineClass = %q\nIp = %q\nZone = %q\nRegion = \"r\"\nInternalPortRange = [7700, 7715]\n", name, class, class, s.ip(kind, i), s.zone(i))
	text += "Discovery = \"platform\"\nEntry = \"virtual_ip\"\nHeartbeatIntervalMs = 1200\n"
	text += "Contracts = [\"base\", \"drain\", \"config\", \"cost\", \"retry\", \"recover\", \"engine\", \"stream\", \"tenants\", \"platform\", \"chunks\"]\n"
	if kind == kindEngine {
		text += fmt.Sprintf("app = %q\nService = %q\n", s.address(kindEngine, i, servicePort), EnginePool)
	}
	text += "[Zones]\n"
	for z := range s.Zones {
		text += fmt.Sprintf("zone-%d = \"r\"\n", z)
	}
	text += "[ListenAddresses]\n"
	if kind == kindGateway {
		text += fmt.Sprintf("Front = %q\nReadinessAddress = %q\n", s.Front(i), s.address(kindGateway, i, readinessPort))
	}
	if kind == kindGateway {
		text += fmt.Sprintf("[Limits]\nCpuShare = 0.4\nCpuCores = 1\nMemoryMb = 284\nFileDescriptors = %d\nLinkMbps = 1000.0\nDiskMb = 0\n", gatewayDescriptors)
	} else {
		text += fmt.Sprintf("[Limits]\nCpuShare = 0.48\nCpuCores = 1\nMemoryMb = 152\nFileDescriptors = %d\nLinkMbps = 7.6\nDiskMb = 0\n", stockDescriptors)
	}
	text += "[Bounds]\nSeedLagS = 3\nAddressReuseS = 2\nStabilityWindowMs = 3000\nAckMs = 4000\nCatchUpS = 4\nDrainMs = 2000\nGracePeriodS = 8\nLossSlackMs = 200\n"
	text += "ConfigApplyMs = 2000\nRollbackSlackMs = 250\nOuterBoundMs = 5000\nRevokeWhenPartitioned = false\nRevocationMs = 5000\nRetryBudgetRatio = 0.2\nRetryWindowS = 10\n"
	text += "RetryBudgetSlack = 100\nRecoveryS = 12\nPassMs = 120\nRetryAfterS = 0\nversion_ms = 8000\nversion_all_ms = 0\n"
	text += fmt.Sprintf("[Platform]\nAddress = %q\nform = \"log\"\nWritesPerS = 400\nReadsPerS = 2000\nparts = 24\nAppendMs = 1.0\n", s.address(kindStore, 0, storePort))
	text += "PartMbPerS = 20.0\nReadMbPerS = 80.0\nRecordBytes = 262144\nMaxBatchBytes = 2097152\nkeep_s = 300\nMaxPartitionMb = 200\nMinTtlMs = 1000\n"
	return text
}

// WriteConfiguration writes the next configuration to the store.
func (s *Stage) WriteConfiguration() {
	s.mu.Lock()
	s.version += 2
	version := s.version
	s.mu.Unlock()
	route := func(name, kind, service string, timeout, aim, attempts int) map[string]any {
		return map[string]any{
			"Name": name, "Host": HostName, "PathPrefix": "/" + name + "/", "Kind": kind, "Service": service, "TimeoutMs": timeout, "TargetLatencyMs": aim,
			"Attempts": attempts, "Priority": 1, "Resumable": kind == "streaming", "StickySessions": kind == "streaming",
		}
	}
	brief := route("brief", "streaming", EnginePool, 6000, 500, 2)
	brief["TargetGapMs"] = 400
	s.putOperator(wirenames.KeyConfiguration, map[string]any{
		"Version": version,
		"Routes":  []any{brief, route("book", "non_idempotent", PlainPool, 600, 100, 1), route("read", "idempotent", PlainPool, 600, 100, 2)},
		"Services": []any{
			map[string]any{"Name": EnginePool, "HealthPath": "/health", "Engine": map[string]any{
				"Slots": EngineSlots, "KvCacheTokens": 317000, "Stride": 5, "step_ms": 9.27, "per_seq_ms": 0.0232, "context_per_k": 0.0322, "read_per_s": 20700,
				"usual": map[string]any{"prompt": 900, "answer": 90}, "layers": layerCount, "Chunks": chunkCount, "ChunkBytes": chunkBytes,
				"Models": []any{map[string]string{"Name": Model}},
			}},
			map[string]any{"Name": PlainPool, "HealthPath": "/health"},
			map[string]any{"Name": originPool, "Origin": s.address(kindStore, 1, servicePort), "Zone": "zone-0"},
		},
		"Tenants": []any{map[string]any{"Name": organisation, "ApiKeys": []string{Key}}},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
}

// NameVersion names a new version of the weights.
func (s *Stage) NameVersion(version int64) {
	s.release.Store(version)
	s.putOperator(wirenames.KeyPrefixRelease+Model, map[string]any{"Model": Model, "Version": version})
	s.Record.Add("version %d of the weights is confirmed", version)
}

func (s *Stage) putOperator(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // only maps of plain values are written
	}
	s.Store.PutRecord(wirenames.TopicOperator, key, data)
}

// Ready asks an entry host whether it is ready, as the platform does.
func (s *Stage) Ready(client *http.Client, i int) bool {
	resp, err := client.Get("http://" + s.address(kindGateway, i, readinessPort) + wirenames.PathReadiness)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body) // without it, the channel is not kept
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// AwaitReady waits until all entry hosts say that they are ready.
func (s *Stage) AwaitReady(timeout time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(timeout); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for i := range s.Gateways {
			if s.Ready(client, i) {
				ready++
			}
		}
		if ready == len(s.Gateways) {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d entry hosts are ready after %s", ready, len(s.Gateways), timeout)
		}
	}
}
