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
	"github.com/nutmegdock/nutmegdock/internal/descriptors"
	"github.com/nutmegdock/nutmegdock/internal/dialer"
	"github.com/nutmegdock/nutmegdock/internal/gatewayserver"
	"github.com/nutmegdock/nutmegdock/internal/headreporter"
	"github.com/nutmegdock/nutmegdock/platform/engineclient"
	"github.com/nutmegdock/nutmegdock/platform/settings"
	"github.com/nutmegdock/nutmegdock/platform/starter"
	"github.com/nutmegdock/nutmegdock/platform/storeclient"
	"github.com/nutmegdock/nutmegdock/platform/translator"
	"github.com/nutmegdock/nutmegdock/platform/wirenames"
)

func main() {
	os.Exit(starter.Main("gatewayd", run))
}

func run(ctx context.Context, cfg settings.Settings, l log.Interface) error {
	heads := headreporter.New(l)
	httpClient := heads.Observe((&dialer.Dialer{}).Client())
	store := &storeclient.Client{Address: cfg.StoreAddress, HTTP: httpClient}
	origin := &engineclient.Client{OriginHTTP: heads.Observe((&dialer.Dialer{}).NoKeepAliveClient())}
	return (&gatewayserver.Server{
		Name: cfg.Host, Zone: cfg.Zone, IP: cfg.IP, CallerAddress: cfg.CallerAddress, ReadinessAddress: cfg.ReadinessAddress,
		MetricsAddress: net.JoinHostPort(cfg.IP, strconv.Itoa(cfg.PortRange[0])), ExchangePort: cfg.PortRange[0],
		LinkMbps: cfg.LinkMbps, Memory: cfg.Memory, Descriptors: descriptors.Limit("Limits.FileDescriptors", cfg.Descriptors, l),
		GracePeriod: cfg.GracePeriod, RetryRatio: cfg.RetryRatio, RetryBurst: cfg.RetryBurst,
		EjectsOutliers: cfg.EjectsOutliers, BalancesZones: cfg.BalancesZones,
		ColdOvershoot: cfg.ColdOvershoot, ColdSlack: cfg.ColdSlack,
		RolloutTimeout: cfg.RolloutTimeout, Regions: cfg.Regions, IsFirstStart: cfg.IsFirstStart, Codec: translator.New(), Heads: heads, Logger: l,
		Replicator: &chunkreplicator.Replicator{
			Self: ident.Host(cfg.IP), Zone: cfg.Zone, Region: cfg.Region, IP: cfg.IP, IsSeed: true,
			ControlPort: cfg.PortRange[0] + 1, DataPort: cfg.PortRange[0] + 3, ReadManifest: origin.FetchManifest, ReadChunk: origin.FetchChunk,
			Archiver: starter.NewArchiver(store, cfg.Partitions),
			Dial:     (&dialer.Dialer{}).DialContext, HTTPClient: httpClient, Logger: l,
		},
		FleetWatcher: starter.NewFleetWatcher(store, cfg, l),
		PutEntry: func(ctx context.Context, key string, value []byte) error {
			return store.Put(ctx, wirenames.TopicStatus, key, value)
		},
		PutRecords: func(ctx context.Context, values map[string][]byte) error {
			const partition = 0
			return store.PutBatch(ctx, wirenames.TopicStatus, partition, values)
		},
	}).Run(ctx)
}
