// Command gatewayd runs the gateway of an entry host on the users' platform.
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
	"github.com/nutmegdock/nutmegdock/internal/fronthost"
	"github.com/nutmegdock/nutmegdock/internal/journaler"
	"github.com/nutmegdock/nutmegdock/platform/decoder"
	"github.com/nutmegdock/nutmegdock/platform/engineclient"
	"github.com/nutmegdock/nutmegdock/platform/names"
	"github.com/nutmegdock/nutmegdock/platform/settings"
	"github.com/nutmegdock/nutmegdock/platform/storeclient"
	"github.com/nutmegdock/nutmegdock/platform/translator"
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
		fmt.Fprintf(os.Stderr, "gatewayd: %v\n", err)
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
	origin := &engineclient.Client{Origin: (&connector.Connector{}).FreshClient()}
	h := &fronthost.Host{
		Name: cfg.Host, Zone: cfg.Zone, IP: cfg.IP, Callers: cfg.Callers, Readiness: cfg.Readiness,
		Metrics: net.JoinHostPort(cfg.IP, strconv.Itoa(cfg.Ports[0])), Exchange: cfg.Ports[0],
		Grace: cfg.Grace, RetryRatio: cfg.RetryRatio, RetrySlack: cfg.RetrySlack, RetryWindow: cfg.RetryWindow,
		ReleaseBound: cfg.ReleaseBound, Regions: cfg.Regions, First: cfg.First,
		Carrier: &carrier.Carrier{
			Name: ident.Host(cfg.IP), Zone: cfg.Zone, Region: cfg.Region, IP: cfg.IP, Seed: true, Control: cfg.Ports[0] + 1, Data: cfg.Ports[0] + 3,
			Manifest: origin.Manifest, Chunk: origin.Chunk, Dial: (&connector.Connector{}).DialContext, HTTP: calls, Logger: logger,
		},
		Dialect: translator.New(), Logger: logger,
		Fleet: &fleet.Follower{
			Topics: fleet.Topics{
				Operator: names.Operator, Endpoints: names.Endpoints, Status: names.Status,
				Directory: names.Directory, Release: names.ReleaseKey,
			},
			Decode: fleet.Decoder{Directory: decoder.Directory, Endpoint: decoder.Endpoint, Release: decoder.Release},
			Newest: store.Newest, Changes: store.Changes, Logger: logger,
		},
		Put: func(ctx context.Context, key string, value []byte) error {
			return store.Put(ctx, names.Status, key, value)
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
