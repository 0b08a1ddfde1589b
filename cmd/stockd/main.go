// Command stockd runs an endpoint host on the users' platform: it fetches releases for the model engine beside it and
// issues load commands to that engine.
package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"strconv"

	"github.com/apex/log"

	"github.com/nutmegdock/nutmegdock/internal/chunkreplicator"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/dialer"
	"github.com/nutmegdock/nutmegdock/internal/engineagent"
	"github.com/nutmegdock/nutmegdock/platform/engineclient"
	"github.com/nutmegdock/nutmegdock/platform/settings"
	"github.com/nutmegdock/nutmegdock/platform/starter"
	"github.com/nutmegdock/nutmegdock/platform/storeclient"
)

func main() {
	os.Exit(starter.Main("stockd", run))
}

func run(ctx context.Context, cfg settings.Settings, l log.Interface) error {
	httpClient := (&dialer.Dialer{}).Client()
	store := &storeclient.Client{Address: cfg.Store, HTTP: httpClient}
	engine := &engineclient.Client{HTTP: httpClient, Origin: (&dialer.Dialer{}).FreshClient(), Engine: cfg.Engine}
	conn, err := net.ListenPacket("udp4", net.JoinHostPort(cfg.IP, strconv.Itoa(cfg.Ports[0])))
	if err != nil {
		return fmt.Errorf("open UDP socket for entry hosts: %w", err)
	}
	return (&engineagent.Host{
		IP: cfg.IP, Zone: cfg.Zone, Address: cfg.Engine, Conn: conn, Pool: cfg.Pool, Regions: cfg.Regions,
		Metrics: cfg.Ports[0] + 2, ReleaseBound: cfg.ReleaseBound, Logger: l,
		Engine: engineagent.Engine{Report: engine.Report, Stage: engine.Stage, Staged: engine.Staged, Load: engine.Load},
		Replicator: &chunkreplicator.Replicator{
			Name: ident.Host(cfg.IP), Zone: cfg.Zone, Region: cfg.Region, IP: cfg.IP,
			Control: cfg.Ports[0] + 1, Data: cfg.Ports[0] + 3, Manifest: engine.Manifest, Chunk: engine.Chunk,
			Dial: (&dialer.Dialer{}).DialContext, HTTP: httpClient, Logger: l,
		},
		Fleet: starter.Fleet(store, l),
	}).Run(ctx)
}
