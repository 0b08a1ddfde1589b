// Command gatewayd runs an entry host on the users' platform: the gateway that routes callers' requests to the engines.
package main

import (
	"context"
	"net"
	"os"
	"strconv"

	"github.com/apex/log"

	"github.com/nutmegdock/nutmegdock/internal/chunkreplicator"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/dialer"
	"github.com/nutmegdock/nutmegdock/internal/gatewayserver"
	"github.com/nutmegdock/nutmegdock/platform/engineclient"
	"github.com/nutmegdock/nutmegdock/platform/names"
	"github.com/nutmegdock/nutmegdock/platform/settings"
	"github.com/nutmegdock/nutmegdock/platform/starter"
	"github.com/nutmegdock/nutmegdock/platform/storeclient"
	"github.com/nutmegdock/nutmegdock/platform/translator"
)

func main() {
	os.Exit(starter.Main("gatewayd", run))
}

func run(ctx context.Context, cfg settings.Settings, l log.Interface) error {
	httpClient := (&dialer.Dialer{}).Client()
	store := &storeclient.Client{Address: cfg.Store, HTTP: httpClient}
	origin := &engineclient.Client{Origin: (&dialer.Dialer{}).FreshClient()}
	return (&gatewayserver.Host{
		Name: cfg.Host, Zone: cfg.Zone, IP: cfg.IP, Callers: cfg.Callers, Readiness: cfg.Readiness,
		Metrics: net.JoinHostPort(cfg.IP, strconv.Itoa(cfg.Ports[0])), Exchange: cfg.Ports[0],
		Link:  cfg.Link,
		Grace: cfg.Grace, RetryRatio: cfg.RetryRatio, RetrySlack: cfg.RetrySlack,
		ReleaseBound: cfg.ReleaseBound, Regions: cfg.Regions, First: cfg.First, Dialect: translator.New(), Logger: l,
		Replicator: &chunkreplicator.Replicator{
			Name: ident.Host(cfg.IP), Zone: cfg.Zone, Region: cfg.Region, IP: cfg.IP, Seed: true,
			Control: cfg.Ports[0] + 1, Data: cfg.Ports[0] + 3, Manifest: origin.Manifest, Chunk: origin.Chunk,
			Archiver: starter.Archiver(store, cfg.Partitions),
			Dial:     (&dialer.Dialer{}).DialContext, HTTP: httpClient, Logger: l,
		},
		Fleet: starter.Fleet(store, l),
		Put: func(ctx context.Context, key string, value []byte) error {
			return store.Put(ctx, names.Status, key, value)
		},
	}).Run(ctx)
}
