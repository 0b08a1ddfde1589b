package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/nutmegdock/nutmegdock/platform/standin/keyedlog"
	"github.com/nutmegdock/nutmegdock/platform/wirenames"
)

const (
	callerPort    = "8005"
	readinessPort = "8002"
	storePort     = "8007"
	serverPort    = "8001"
	originPort    = "8006"
	// startTimeout bounds the wait until all entry hosts are ready.
	startTimeout = 20 * time.Second
	// firstPrefix and lastPrefix bound the second byte of the loopback addresses.
	firstPrefix, lastPrefix = 100, 199
)

// Kinds of hosts, which are the third byte of their addresses.
const (
	kindFrontend = 1 + iota
	kindSide
	kindBookings
	kindOrigin
	kindStore
)

// errNotReady means that the entry hosts did not become ready, so that the case could not run.
var errNotReady = errors.New("entry host is not ready")

// zones are the zones of the deployment.
var zones = []string{"rijeka-1", "split-1", "zagreb-1"}

// fleet is a small deployment on loopback addresses: the programs of the system, and stand-ins of the platform.
type fleet struct {
	record      *record
	dir, prefix string
	store       keyedlog.Store
	servers     []*http.Server

	mu        sync.Mutex
	processes []*process
	isClosed  bool
}

// newFleet picks free loopback addresses and starts the store.
func newFleet(rec *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-rig-")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: rec, dir: dir}
	for n := firstPrefix; n <= lastPrefix; n++ {
		f.prefix = fmt.Sprintf("127.%d", n)
		if f.isInUse() {
			continue
		}
		if err = f.serve(f.address(kindStore, 0, storePort), f.store.Handler("host")); err == nil {
			return f, nil
		}
	}
	return nil, errors.Join(errors.New("no free loopback addresses"), err)
}

// isInUse reports whether another program listens on the addresses of an entry host or of a host beside an engine.
func (f *fleet) isInUse() bool {
	for _, address := range []string{f.address(kindFrontend, 0, callerPort), f.address(kindSide, 0, serverPort)} {
		ln, err := net.Listen("tcp4", address)
		if err != nil {
			return true
		}
		_ = ln.Close() // it was only a test
	}
	return false
}

// ip returns the loopback address of a host.
func (f *fleet) ip(kind, i int) string {
	return fmt.Sprintf("%s.%d.%d", f.prefix, kind, i+1)
}

func (f *fleet) address(kind, i int, port string) string {
	return net.JoinHostPort(f.ip(kind, i), port)
}

func (f *fleet) serve(address string, h http.Handler) error {
	ln, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: startTimeout}
	f.servers = append(f.servers, srv)
	go func() { _ = srv.Serve(ln) }() // close ends it
	return nil
}

// close ends all processes and servers and removes the working directory.
func (f *fleet) close() {
	f.mu.Lock()
	f.isClosed = true
	processes := f.processes
	f.mu.Unlock()
	var stopping sync.WaitGroup
	for _, p := range processes {
		stopping.Go(p.stop)
	}
	stopping.Wait()
	for _, s := range f.servers {
		_ = s.Close() // its callers have ended
	}
	_ = os.RemoveAll(f.dir) // a temporary directory
}

// putConfig writes a configuration as the operator does.
func (f *fleet) putConfig(c config) error {
	data, err := json.Marshal(c)
	if err != nil {
		return err
	}
	f.store.PutRecord(wirenames.TopicOperator, wirenames.KeyConfiguration, data)
	f.record.add("the store confirms version %d of the configuration", c.Version)
	return nil
}

// startFrontends starts one entry host in each zone and waits until all are ready.
func (f *fleet) startFrontends() ([]*process, error) {
	var out []*process
	for i, zone := range zones {
		p, err := f.start("target/gatewayd", frontendSettings(f.ip(kindFrontend, i), zone, f.address(kindStore, 0, storePort)), f.ip(kindFrontend, i), "frontend-"+zone)
		if err != nil {
			return nil, err
		}
		out = append(out, p)
	}
	for _, p := range out {
		if !p.awaitReady(startTimeout) {
			return nil, fmt.Errorf("%w: %s", errNotReady, p.name)
		}
	}
	return out, nil
}

// startSide starts the program beside an engine.
func (f *fleet) startSide(i int, zone string) error {
	ip := f.ip(kindSide, i)
	_, err := f.start("target/stockd", sideSettings(ip, zone, f.address(kindStore, 0, storePort)), ip, fmt.Sprintf("side-%s-%d", zone, 1+i/len(zones)))
	return err
}

func (f *fleet) start(command, settings, ip, name string) (*process, error) {
	p := &process{command: command, name: name, ip: ip, dir: f.dir, settings: strings.TrimLeft(settings, "\n"), record: f.record}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isClosed {
		return nil, errors.New("the deployment is closed")
	}
	f.processes = append(f.processes, p)
	return p, p.start()
}
