// Package localcluster runs the whole system in one process on loopback, with stand-ins for the platform.
package localcluster

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/apex/log"
	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"github.com/nutmegdock/nutmegdock/internal/adminclient"
	"github.com/nutmegdock/nutmegdock/internal/authorizer"
	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/manifest"
	"github.com/nutmegdock/nutmegdock/internal/core/reducer"
	"github.com/nutmegdock/nutmegdock/internal/endpointhost"
	"github.com/nutmegdock/nutmegdock/internal/engineapi"
	"github.com/nutmegdock/nutmegdock/internal/entryhost"
	"github.com/nutmegdock/nutmegdock/internal/headers"
	"github.com/nutmegdock/nutmegdock/internal/standin/engine"
	"github.com/nutmegdock/nutmegdock/internal/standin/platform"
	"github.com/nutmegdock/nutmegdock/internal/standin/service"
)

const (
	token        = "dev-token"
	organisation = "agency"
	key          = "dev-key"
	enginePool   = "lm-fleet"
	servicePool  = "bookings-app"
	model        = "sample"
	answerTokens = 8
	pollWait     = 50 * time.Millisecond
	memoryBytes  = 1 << 30
	graceSeconds = 10
	maxBodyBytes = 1 << 20
	questions    = 20
)

// Cluster is the system on loopback. Set its fields before Run.
type Cluster struct {
	// Engines is the number of endpoint hosts with a model engine.
	Engines int
	// Size is the size of the sample model.
	Size ident.Bytes
	// Chunk is the size of its chunks.
	Chunk ident.Bytes
	// Logger receives the events of all programs.
	Logger log.Interface
	// Progress is told of replicas ready and chunks held.
	Progress func(ready, want, have, total int)

	dir      string
	platform *platform.Platform
	entries  []entryhost.Settings
	admin    *adminclient.Client
	result   Result
	set      ident.WeightSet
}

// Result is what a run measured.
type Result struct {
	Size     ident.Bytes `json:"size"`
	Want     int         `json:"want"`
	Ready    int         `json:"ready"`
	Seconds  float64     `json:"seconds"`
	Origin   ident.Bytes `json:"origin"`
	Answers  int         `json:"answers"`
	Wrong    int         `json:"wrong"`
	Bookings int         `json:"bookings"`
	Doubled  int         `json:"doubled"`
}

// Run starts everything, does the main job once, and calls then while the system is still up.
func (c *Cluster) Run(ctx context.Context, then func(ctx context.Context, r Result, entries []entryhost.Settings) error) error {
	dir, err := os.MkdirTemp("", "nutmegdock")
	if err != nil {
		return fmt.Errorf("dev: %w", err)
	}
	defer os.RemoveAll(dir)
	c.dir = dir
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	platformCtx, stopPlatform := context.WithCancel(context.WithoutCancel(ctx))
	defer stopPlatform()
	var platformDone errgroup.Group
	var daemons errgroup.Group
	if err := c.start(ctx, platformCtx, &daemons, &platformDone); err != nil {
		return err
	}
	err = c.job(ctx)
	if err == nil {
		err = then(ctx, c.result, c.entries)
	}
	stop()
	if derr := daemons.Wait(); err == nil {
		err = derr
	}
	stopPlatform()
	_ = platformDone.Wait()
	return err
}

func (c *Cluster) start(ctx, platformCtx context.Context, daemons, platformDone *errgroup.Group) error {
	ports, err := freeAddresses(1 + 3*2 + 4*(c.Engines+2))
	if err != nil {
		return err
	}
	next := func() string {
		p := ports[0]
		ports = ports[1:]
		return p
	}
	cfg := platform.Settings{Listen: next()}
	cfg.Artifacts = []platform.Artifact{{Name: model, Version: "1", Size: c.Size, Chunk: c.Chunk, Seed: 1}}
	base := "http://" + cfg.Listen
	zones := []ident.Zone{"rijeka-1", "split-1", "zagreb-1"}
	regions := []ident.Region{"kvarner", "dalmatia", "panonija"}
	var ends []endpointhost.Settings
	for i := range c.Engines + 2 {
		e := endpointhost.Settings{
			Host: ident.Host(fmt.Sprintf("endpoint-%d", i)), Zone: zones[i%3], Region: regions[i%3],
			Pool: enginePool, Kind: catalog.KindEngine, DataAddress: next(), ControlAddress: next(), AdminAddress: next(),
			LogURL: base + "/log", MembersURL: base + "/members", StoreURL: base + "/store", OriginURL: base + "/origin",
			CacheLimit: memoryBytes, GraceSeconds: graceSeconds,
		}
		backend := next()
		e.BackendURL = "http://" + backend
		if i < c.Engines {
			cfg.Engines = append(cfg.Engines, platform.Engine{Listen: backend})
		} else {
			e.Kind, e.Pool = catalog.KindService, servicePool
			cfg.Services = append(cfg.Services, platform.Service{Listen: backend})
		}
		ends = append(ends, e)
	}
	tokens, err := c.writeTokens()
	if err != nil {
		return err
	}
	for i := range 2 {
		c.entries = append(c.entries, entryhost.Settings{
			Host: ident.Host(fmt.Sprintf("entry-%d", i)), Zone: zones[i], Region: regions[i], CallerAddress: next(), AdminAddress: next(), ControlAddress: next(),
			LogURL: base + "/log", MembersURL: base + "/members", StoreURL: base + "/store", TokensFile: tokens, GraceSeconds: graceSeconds,
		})
	}
	c.platform = &platform.Platform{Settings: cfg}
	platformDone.Go(func() error { return c.platform.Run(platformCtx) })
	for _, s := range c.entries {
		daemons.Go(func() error { return (&entryhost.Server{Settings: s, Logger: c.Logger}).Run(ctx) })
	}
	for _, s := range ends {
		daemons.Go(func() error { return (&endpointhost.Server{Settings: s, Logger: c.Logger}).Run(ctx) })
	}
	c.admin = &adminclient.Client{URL: "http://" + c.entries[0].AdminAddress, Token: token, HTTP: &http.Client{}}
	return nil
}

func (c *Cluster) writeTokens() (string, error) {
	data, err := json.Marshal([]authorizer.Token{{Name: "dev", Role: authorizer.Operator, SecretDigest: manifest.DigestOf([]byte(token))}})
	if err != nil {
		return "", fmt.Errorf("dev: %w", err)
	}
	path := filepath.Join(c.dir, "tokens.json")
	return path, os.WriteFile(path, data, 0o600)
}

func freeAddresses(n int) ([]string, error) {
	var out []string
	for range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("dev: %w", err)
		}
		defer ln.Close()
		out = append(out, ln.Addr().String())
	}
	return out, nil
}

func (c *Cluster) job(ctx context.Context) error {
	if err := c.awaitMembers(ctx); err != nil {
		return err
	}
	begin := time.Now()
	if err := c.publish(ctx); err != nil {
		return err
	}
	if err := c.awaitReady(ctx); err != nil {
		return err
	}
	c.result.Seconds = time.Since(begin).Seconds()
	c.result.Size = c.Size
	c.result.Origin = c.platform.Counts().Origin + c.platform.Counts().Store
	if err := c.ask(ctx); err != nil {
		return err
	}
	return c.book(ctx)
}

func (c *Cluster) awaitMembers(ctx context.Context) error {
	return poll(ctx, func() (bool, error) {
		st, err := c.admin.Status(ctx)
		return err == nil && len(st.Endpoints) == c.Engines+2, nil
	})
}

func poll(ctx context.Context, ready func() (bool, error)) error {
	for {
		ok, err := ready()
		if ok || err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollWait):
		}
	}
}

func (c *Cluster) publish(ctx context.Context) error {
	changes := []catalog.Record{
		{Object: ident.OrganisationObject(organisation), Organisation: &catalog.Organisation{Key: manifest.DigestOf([]byte(key)), Weight: 1}},
		{Object: ident.TemplateObject("chat"), Template: &catalog.Template{
			Kind: catalog.KindEngine, Pool: enginePool, Model: &catalog.ArtifactRef{Name: model, Version: "1"}, Replicas: c.Engines, FetchGoal: catalog.MinimizeFetchTime,
		}},
		{Object: ident.TemplateObject("bookings"), Template: &catalog.Template{Kind: catalog.KindService, Pool: servicePool}},
		{Object: ident.DeploymentObject(organisation, "chat"), Deployment: &catalog.Deployment{Template: "chat"}},
		{Object: ident.DeploymentObject(organisation, "bookings"), Deployment: &catalog.Deployment{Template: "bookings"}},
	}
	for _, rec := range changes {
		rec.ID = ident.ChangeID(uuid.NewString())
		a, err := c.admin.PublishChange(ctx, rec)
		if err != nil {
			return err
		}
		if a.Verdict != reducer.Accepted {
			return fmt.Errorf("dev: change of %s: %s: %s", rec.Object, a.Verdict, a.Reason)
		}
	}
	return nil
}

func (c *Cluster) awaitReady(ctx context.Context) error {
	c.result.Want = c.Engines
	return poll(ctx, func() (bool, error) {
		st, err := c.admin.Status(ctx)
		if err != nil {
			return false, err
		}
		for _, d := range st.Deployments {
			if d.Name == "chat" {
				c.set = d.WeightSet
			}
		}
		ready, have, total := 0, 0, 0
		for _, r := range st.Endpoints {
			have += r.HeldChunks
			total += r.TotalChunks
			if c.set != "" && r.GateOpen && r.ServedSet == c.set {
				ready++
			}
		}
		c.result.Ready = ready
		c.Progress(ready, c.Engines, have, total)
		return ready == c.Engines, nil
	})
}

func (c *Cluster) ask(ctx context.Context) error {
	for i := range questions {
		prompt := fmt.Sprintf("question %d", i)
		q := engineapi.Request{Model: "chat", Prompt: prompt, MaxTokens: answerTokens}
		e := c.entries[i%len(c.entries)]
		resp, body, err := send(ctx, http.MethodPost, "http://"+e.CallerAddress+engineapi.CompletionsPath, q, "")
		if err != nil {
			return err
		}
		var a engineapi.Completion
		if resp.StatusCode != http.StatusOK || json.Unmarshal(body, &a) != nil || len(a.Choices) != 1 {
			return fmt.Errorf("dev: question %d: status %d: %s", i, resp.StatusCode, body)
		}
		c.result.Answers++
		set := ident.WeightSet(resp.Header.Get(headers.WeightSet))
		if set != c.set || a.Choices[0].Text != engine.Text(set, prompt, answerTokens) {
			c.result.Wrong++
		}
	}
	return nil
}

func (c *Cluster) book(ctx context.Context) error {
	for i := range questions {
		ref := fmt.Sprintf("booking-%d", i)
		e := c.entries[i%len(c.entries)]
		resp, body, err := send(ctx, http.MethodPost, "http://"+e.CallerAddress+"/services/bookings/bookings", service.Booking{Ref: ref}, ref)
		if err != nil {
			return err
		}
		if resp.StatusCode != http.StatusCreated {
			return fmt.Errorf("dev: booking %s: status %d: %s", ref, resp.StatusCode, body)
		}
	}
	for _, n := range c.platform.Counts().Bookings {
		c.result.Bookings++
		if n > 1 {
			c.result.Doubled++
		}
	}
	return nil
}

func send(ctx context.Context, method, url string, q any, idempotencyKey string) (*http.Response, []byte, error) {
	data, err := json.Marshal(q)
	if err != nil {
		return nil, nil, fmt.Errorf("dev: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return nil, nil, fmt.Errorf("dev: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Content-Type", "application/json")
	if idempotencyKey != "" {
		req.Header.Set(headers.CallerIdempotencyKey, idempotencyKey)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, nil, fmt.Errorf("dev: %w", err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	return resp, body, err
}
