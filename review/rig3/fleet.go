package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/nutmegdock/nutmegdock/platform/standin/backend"
	"github.com/nutmegdock/nutmegdock/platform/standin/keyedlog"
)

// Bounds of the small deployment asistencia-hr that the settings and the checks use.
const (
	stabilityWindow = 3 * time.Second
	configApply     = 2 * time.Second
	outerBound      = 5 * time.Second
)

// storeHost is the store as one host reaches it.
type storeHost struct {
	handler http.Handler

	mu         sync.Mutex
	isRejected bool
	cancels    map[int]context.CancelFunc
	calls      int
	// onDone is called after each call that was answered.
	onDone func(path, topic string)
}

// ServeHTTP answers a call, or rejects it with 503. A call that waits while the rejection begins is reset.
func (s *storeHost) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	s.mu.Lock()
	isRejected := s.isRejected
	s.calls++
	id := s.calls
	s.cancels[id] = cancel
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.cancels, id)
	}()
	if isRejected {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.handler.ServeHTTP(w, r.WithContext(ctx))
	if ctx.Err() != nil {
		panic(http.ErrAbortHandler)
	}
	s.mu.Lock()
	onDone := s.onDone
	s.mu.Unlock()
	if onDone != nil {
		onDone(r.URL.Path, r.URL.Query().Get("Topic"))
	}
}

// reject begins or ends the rejection of all calls of the host.
func (s *storeHost) reject(isRejected bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isRejected = isRejected
	if isRejected {
		for _, cancel := range s.cancels {
			cancel()
		}
	}
}

func (s *storeHost) setOnDone(f func(path, topic string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onDone = f
}

// gateway is one entry host.
type gateway struct {
	*process
	ip    string
	store *storeHost
}

// execution is one run of a request by an endpoint.
type execution struct {
	service string
	at      time.Time
}

// fleet is the system under test with its stand-ins.
type fleet struct {
	record   *record
	workDir  string
	store    keyedlog.Store
	gateways []*gateway
	backends []*backend.Backend
	servers  []*http.Server

	mu         sync.Mutex
	executions map[string][]execution
	// nextID numbers the requests and the endpoints.
	nextID int
}

// loopback returns an address of a host: kind 1 for entry hosts, 2 for endpoints, 5 for the store addresses of entry hosts.
// Each run has addresses of its own.
func loopback(kind, i int) string {
	const firstNetwork, networks, firstHost = 20, 200, 10
	return fmt.Sprintf("127.%d.%d.%d", firstNetwork+os.Getpid()%networks, kind, firstHost+i)
}

const zone = "rijeka-1"

func newFleet(rec *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, fmt.Errorf("create work directory: %w", err)
	}
	return &fleet{record: rec, workDir: dir, executions: make(map[string][]execution)}, nil
}

func (f *fleet) serve(address string, h http.Handler) error {
	ln, err := net.Listen("tcp4", address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	srv := &http.Server{Handler: h}
	f.servers = append(f.servers, srv)
	go func() { _ = srv.Serve(ln) }() // stop ends it
	return nil
}

// startBackend starts an endpoint of a plain service.
func (f *fleet) startBackend(i int, service string) error {
	address := loopback(2, i) + ":7000"
	b := &backend.Backend{
		ListenAddress: address, PublicAddress: address, Pool: service, Zone: zone, SlotCount: 6, WorkDuration: 20 * time.Millisecond,
		PutEntry:  func(key string, value []byte) { f.store.PutRecord("keyed.servers", key, value) },
		OnRequest: func(string, string, string, bool) {},
		OnStart: func(e backend.Execution) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.executions[e.RequestID] = append(f.executions[e.RequestID], execution{service: e.Pool, at: time.Now()})
		},
		OnEnd: func(string, string, time.Time) {},
	}
	f.backends = append(f.backends, b)
	return b.Start(fmt.Sprintf("i-%s-%d", service, i), 0)
}

// startGateway starts an entry host with settings like those of asistencia-hr.
func (f *fleet) startGateway(i int) error {
	g := &gateway{ip: loopback(1, i)}
	storeAddress := loopback(5, i) + ":8007"
	g.store = &storeHost{handler: f.store.Handler(storeAddress), cancels: make(map[int]context.CancelFunc)}
	if err := f.serve(storeAddress, g.store); err != nil {
		return err
	}
	settings := fmt.Sprintf(`NodeName = "frontend-%[1]d"
Role = "gateway"
MachineClass = "frontend"
Ip = %[2]q
Zone = %[3]q
Region = "kvarner"
InternalPortRange = [7700, 7715]
Bootstrap = true
HeartbeatIntervalMs = 1200
Contracts = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "chunks"]
[Zones]
%[3]s = "kvarner"
[ListenAddresses]
Front = "%[2]s:8005"
ReadinessAddress = "%[2]s:8002"
[Limits]
CpuShare = 0.4
MemoryMb = 284
FileDescriptors = 4100
LinkMbps = 1000.0
[Bounds]
StabilityWindowMs = 3000
DrainMs = 2000
GracePeriodS = 8
ConfigApplyMs = 2000
OuterBoundMs = 5000
RetryBudgetRatio = 0.2
RetryWindowS = 10
RetryBudgetSlack = 104
version_ms = 8000
[Platform]
Address = %[4]q
form = "log"
parts = 24
`, i, g.ip, zone, storeAddress)
	var err error
	if g.process, err = startProcess(f.workDir, fmt.Sprintf("gateway-%d", i), "gatewayd", settings); err != nil {
		return err
	}
	f.gateways = append(f.gateways, g)
	return nil
}

// isReady reports whether an entry host answers the balancer's question with 200.
func (g *gateway) isReady() bool {
	client := http.Client{Timeout: 300 * time.Millisecond}
	resp, err := client.Get("http://" + g.ip + ":8002/nutmegdock/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// putOperatorRecord writes a record as the operator. The store's answer is the confirmation.
func (f *fleet) putOperatorRecord(key string, value any) (time.Time, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return time.Time{}, fmt.Errorf("encode %s: %w", key, err)
	}
	f.store.PutRecord("keyed.op", key, data)
	f.record.writef("operator writes op/%s, confirmed: %s", key, data)
	return time.Now(), nil
}

// answer is what a client got.
type answer struct {
	id     string
	sentAt time.Time
	status int
	err    error
}

// send sends a request to an entry host.
func (f *fleet) send(g *gateway, key string) answer {
	f.mu.Lock()
	f.nextID++
	a := answer{id: fmt.Sprintf("%016x", f.nextID), sentAt: time.Now()}
	f.mu.Unlock()
	req, err := http.NewRequest(http.MethodGet, "http://"+g.ip+":8005/booking/x", nil)
	if err != nil {
		a.err = err
		return a
	}
	req.Host = "app.example"
	req.Header.Set("Attempt-Id", a.id)
	req.Header.Set("Deadline-Remaining", "2500")
	req.Header.Set("Api-Key", key)
	client := http.Client{Timeout: 2500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		a.err = err
		return a
	}
	_ = resp.Body.Close()
	a.status = resp.StatusCode
	return a
}

// services returns the services that have run a request.
func (f *fleet) services(id string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for _, e := range f.executions[id] {
		names = append(names, e.service)
	}
	return strings.Join(names, ",")
}

// stop ends all that was started.
func (f *fleet) stop() {
	for _, g := range f.gateways {
		g.kill()
	}
	for _, b := range f.backends {
		b.Stop(false)
	}
	for _, s := range f.servers {
		_ = s.Close() // no clients remain
	}
	_ = os.RemoveAll(f.workDir) // a temporary folder
}

// freeze stops an entry host, and wake lets it run on.
func (f *fleet) freeze(g *gateway) {
	g.signal(syscall.SIGSTOP)
	f.record.writef("%s is frozen", g.ip)
}

func (f *fleet) wake(g *gateway) {
	g.signal(syscall.SIGCONT)
	f.record.writef("%s runs on", g.ip)
}
