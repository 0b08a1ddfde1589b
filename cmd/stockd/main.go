// Command stockd runs the host beside a model engine on the users' platform.
package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"

	"github.com/apex/log"

	"github.com/nutmegdock/nutmegdock/internal/carrier"
	"github.com/nutmegdock/nutmegdock/internal/connector"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/event"
	"github.com/nutmegdock/nutmegdock/internal/fleet"
	"github.com/nutmegdock/nutmegdock/internal/journaler"
	"github.com/nutmegdock/nutmegdock/internal/stocker"
	"github.com/nutmegdock/nutmegdock/platform/decoder"
	"github.com/nutmegdock/nutmegdock/platform/engineclient"
	"github.com/nutmegdock/nutmegdock/platform/names"
	"github.com/nutmegdock/nutmegdock/platform/settings"
	"github.com/nutmegdock/nutmegdock/platform/storeclient"
)

// heapGrowth is in percent of the live heap. Memory is dearer than processor time on these hosts, and the live heap is a
// few megabytes.
const heapGrowth = 30

func main() {
	debug.SetGCPercent(heapGrowth)
	os.Exit(run())
}

func run() int {
	cfg, err := settings.Load(os.Getenv(settings.Variable))
	if err != nil {
		fmt.Fprintf(os.Stderr, "stockd: %v\n", err)
		return 2
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	journal := &journaler.Journaler{Writer: os.Stdout}
	done, written := make(chan struct{}), make(chan struct{})
	go func() {
		journal.Run(done)
		close(written)
	}()
	logger := &log.Logger{Handler: journal, Level: log.InfoLevel}
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	go settings.Watch(ctx, hup, os.Getenv(settings.Variable), cfg, logger)
	calls := (&connector.Connector{}).Client()
	store := &storeclient.Client{Address: cfg.Store, HTTP: calls}
	engine := &engineclient.Client{HTTP: calls, Origin: (&connector.Connector{}).FreshClient(), Engine: cfg.Engine}
	conn, err := net.ListenPacket("udp4", net.JoinHostPort(cfg.IP, strconv.Itoa(cfg.Ports[0])))
	if err != nil {
		fmt.Fprintf(os.Stderr, "stockd: %v\n", err)
		return 1
	}
	h := &stocker.Host{
		IP: cfg.IP, Zone: cfg.Zone, Address: cfg.Engine, Conn: conn, Pool: cfg.Pool, Regions: cfg.Regions, Metrics: cfg.Ports[0] + 2, ReleaseBound: cfg.ReleaseBound, Logger: logger,
		Engine: stocker.Engine{Report: engine.Report, Stage: engine.Stage, Staged: engine.Staged, Load: engine.Load},
		Carrier: &carrier.Carrier{
			Name: ident.Host(cfg.IP), Zone: cfg.Zone, Region: cfg.Region, IP: cfg.IP, Control: cfg.Ports[0] + 1, Data: cfg.Ports[0] + 3,
			Manifest: engine.Manifest, Chunk: engine.Chunk, Dial: (&connector.Connector{}).DialContext, HTTP: calls, Logger: logger,
		},
		Fleet: &fleet.Follower{
			Topics: fleet.Topics{
				Operator: names.Operator, Endpoints: names.Endpoints, Status: names.Status,
				Directory: names.Directory, Release: names.ReleaseKey,
			},
			Decode: fleet.Decoder{Directory: decoder.Directory, Endpoint: decoder.Endpoint, Release: decoder.Release},
			Newest: store.Newest, Changes: store.Changes, Logger: logger,
		},
	}
	err = h.Run(ctx)
	if err != nil {
		event.ProcessFailed.Log(logger.WithError(err), nil)
	}
	close(done)
	<-written
	if err != nil {
		return 1
	}
	return 0
}
