// Command stockd runs an endpoint host on the users' platform: it fetches releases for the model engine beside it and
// issues load commands to that engine.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"

	"github.com/apex/log"

	"github.com/nutmegdock/nutmegdock/internal/chunkreplicator"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/dialer"
	"github.com/nutmegdock/nutmegdock/internal/engineagent"
	"github.com/nutmegdock/nutmegdock/internal/headreporter"
	"github.com/nutmegdock/nutmegdock/platform/engineclient"
	"github.com/nutmegdock/nutmegdock/platform/settings"
	"github.com/nutmegdock/nutmegdock/platform/starter"
	"github.com/nutmegdock/nutmegdock/platform/storeclient"
)

func main() {
	os.Exit(starter.Main("stockd", run))
}

func run(ctx context.Context, cfg settings.Settings, l log.Interface) error {
	heads := headreporter.New(l)
	httpClient := heads.Observe((&dialer.Dialer{}).Client())
	store := &storeclient.Client{Address: cfg.StoreAddress, HTTP: httpClient}
	engine := &engineclient.Client{EngineHTTP: httpClient, OriginHTTP: heads.Observe((&dialer.Dialer{}).NoKeepAliveClient()), EngineAddress: cfg.EngineAddress}
	conn, err := net.ListenPacket("udp4", net.JoinHostPort(cfg.IP, strconv.Itoa(cfg.PortRange[0])))
	if err != nil {
		return fmt.Errorf("open UDP socket for entry hosts: %w", err)
	}
	return (&engineagent.Agent{
		IP: cfg.IP, Zone: cfg.Zone, Address: cfg.EngineAddress, GateConn: conn, Pool: cfg.Pool, Regions: cfg.Regions,
		MetricsPort: cfg.PortRange[0] + 2, RolloutTimeout: cfg.RolloutTimeout, Heads: heads, Logger: l,
		Engine: engineagent.Engine{
			Report: engine.QueryState, WriteStaged: engine.StageChunk, ReadStaged: engine.ReadStagedChunk, Load: engine.IssueLoadCommand,
			IsAnswer: func(err error) bool {
				var answer *engineclient.Error
				return errors.As(err, &answer)
			},
		},
		Replicator: &chunkreplicator.Replicator{
			Self: ident.Host(cfg.IP), Zone: cfg.Zone, Region: cfg.Region, IP: cfg.IP,
			ControlPort: cfg.PortRange[0] + 1, DataPort: cfg.PortRange[0] + 3, ReadManifest: engine.FetchManifest, ReadChunk: engine.FetchChunk,
			Dial: (&dialer.Dialer{}).DialContext, HTTPClient: httpClient, Logger: l,
		},
		FleetWatcher: starter.NewFleetWatcher(store, cfg, l),
	}).Run(ctx)
}
