// Package localcluster runs the complete system in one process on loopback, with stand-ins for the platform services.
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
	adminToken           = "dev-token"
	organisation         = "agency"
	callerKey            = "dev-key"
	enginePool           = "lm-fleet"
	servicePool          = "bookings-app"
	model                = "sample"
	maxTokens            = 8
	pollInterval         = 50 * time.Millisecond
	cacheLimitBytes      = 1 << 30
	shutdownGraceSeconds = 10
	maxBodyBytes         = 1 << 20
	requestCount         = 20
)

// Cluster is a complete system on loopback: two entry hosts, the endpoint hosts and the stand-ins. Set its fields
// before calling Run.
type Cluster struct {
	// Engines is the number of endpoint hosts with a model engine. Two more endpoint hosts run a booking service.
	Engines int
	// ModelSize is the size of the sample model.
	ModelSize ident.Bytes
	// ChunkSize is the chunk size of the sample model.
	ChunkSize ident.Bytes
	// Logger receives the log events of all daemons.
	Logger log.Interface
	// Progress is called with the number of replicas that are ready, the number that are wanted, the number of chunks
	// that the endpoint hosts hold, and the number that they need.
	Progress func(readyReplicas, wantedReplicas, heldChunks, totalChunks int)

	tempDir   string
	platform  *platform.Platform
	entries   []entryhost.Settings
	admin     *adminclient.Client
	result    Result
	weightSet ident.WeightSet
}

// Result reports the measurements of one run.
type Result struct {
	// ModelSize is the size of the sample model.
	ModelSize ident.Bytes `json:"size"`
	// WantedReplicas is the number of replicas that must become ready.
	WantedReplicas int `json:"want"`
	// ReadyReplicas is the number of replicas that serve the sample model.
	ReadyReplicas int `json:"ready"`
	// Seconds is the time from the first configuration change until all replicas are ready.
	Seconds float64 `json:"seconds"`
	// SourceBytes is the number of chunk bytes read from the weight store and the origin.
	SourceBytes ident.Bytes `json:"origin"`
	// Completions is the number of completions received.
	Completions int `json:"answers"`
	// WrongCompletions is the number of completions with unexpected text or weight set.
	WrongCompletions int `json:"wrong"`
	// ExecutedBookings is the number of booking references that were executed at least once.
	ExecutedBookings int `json:"bookings"`
	// RepeatedBookings is the number of booking references that were executed more than once.
	RepeatedBookings int `json:"doubled"`
}

// Run starts the system, publishes the sample configuration, sends the sample requests and calls onComplete while the
// system is still running. The system stops when onComplete returns.
func (c *Cluster) Run(ctx context.Context, onComplete func(ctx context.Context, r Result, entries []entryhost.Settings) error) error {
	dir, err := os.MkdirTemp("", "nutmegdock")
	if err != nil {
		return fmt.Errorf("dev: create temporary directory: %w", err)
	}
	defer os.RemoveAll(dir)
	c.tempDir = dir
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	// The stand-ins stop after the daemons, so they have a context of their own.
	platformCtx, stopPlatform := context.WithCancel(context.WithoutCancel(ctx))
	defer stopPlatform()
	var platformGroup errgroup.Group
	var daemons errgroup.Group
	if err := c.start(ctx, platformCtx, &daemons, &platformGroup); err != nil {
		return err
	}
	err = c.runWorkload(ctx)
	if err == nil {
		err = onComplete(ctx, c.result, c.entries)
	}
	stop()
	if daemonErr := daemons.Wait(); err == nil {
		err = daemonErr
	}
	stopPlatform()
	_ = platformGroup.Wait()
	return err
}

// start starts the stand-ins, which run until platformCtx is done, and the daemons, which run until ctx is done.
func (c *Cluster) start(ctx, platformCtx context.Context, daemons, platformGroup *errgroup.Group) error {
	addresses, err := freeAddresses(1 + 3*2 + 4*(c.Engines+2))
	if err != nil {
		return err
	}
	nextAddress := func() string {
		address := addresses[0]
		addresses = addresses[1:]
		return address
	}
	platformSettings := platform.Settings{Listen: nextAddress()}
	platformSettings.Artifacts = []platform.Artifact{{Name: model, Version: "1", Size: c.ModelSize, ChunkSize: c.ChunkSize, Seed: 1}}
	platformURL := "http://" + platformSettings.Listen
	zones := []ident.Zone{"rijeka-1", "split-1", "zagreb-1"}
	regions := []ident.Region{"kvarner", "dalmatia", "panonija"}
	var endpoints []endpointhost.Settings
	for i := range c.Engines + 2 {
		e := endpointhost.Settings{
			Host: ident.Host(fmt.Sprintf("endpoint-%d", i)), Zone: zones[i%3], Region: regions[i%3],
			Pool: enginePool, Kind: catalog.KindEngine, DataAddress: nextAddress(), ControlAddress: nextAddress(), AdminAddress: nextAddress(),
			LogURL: platformURL + "/log", MembersURL: platformURL + "/members", StoreURL: platformURL + "/store", OriginURL: platformURL + "/origin",
			CacheLimit: cacheLimitBytes, GraceSeconds: shutdownGraceSeconds,
		}
		backend := nextAddress()
		e.BackendURL = "http://" + backend
		if i < c.Engines {
			platformSettings.Engines = append(platformSettings.Engines, platform.Engine{Listen: backend})
		} else {
			e.Kind, e.Pool = catalog.KindService, servicePool
			platformSettings.Services = append(platformSettings.Services, platform.Service{Listen: backend})
		}
		endpoints = append(endpoints, e)
	}
	tokensFile, err := c.writeTokenFile()
	if err != nil {
		return err
	}
	for i := range 2 {
		c.entries = append(c.entries, entryhost.Settings{
			Host: ident.Host(fmt.Sprintf("entry-%d", i)), Zone: zones[i], Region: regions[i], CallerAddress: nextAddress(), AdminAddress: nextAddress(), ControlAddress: nextAddress(),
			LogURL: platformURL + "/log", MembersURL: platformURL + "/members", StoreURL: platformURL + "/store", TokensFile: tokensFile, GraceSeconds: shutdownGraceSeconds,
		})
	}
	c.platform = &platform.Platform{Settings: platformSettings}
	platformGroup.Go(func() error { return c.platform.Run(platformCtx) })
	for _, s := range c.entries {
		daemons.Go(func() error { return (&entryhost.Server{Settings: s, Logger: c.Logger}).Run(ctx) })
	}
	for _, s := range endpoints {
		daemons.Go(func() error { return (&endpointhost.Server{Settings: s, Logger: c.Logger}).Run(ctx) })
	}
	c.admin = &adminclient.Client{URL: "http://" + c.entries[0].AdminAddress, Token: adminToken, HTTP: &http.Client{}}
	return nil
}

func (c *Cluster) writeTokenFile() (string, error) {
	data, err := json.Marshal([]authorizer.Token{{Name: "dev", Role: authorizer.Operator, SecretDigest: manifest.DigestOf([]byte(adminToken))}})
	if err != nil {
		return "", fmt.Errorf("dev: encode operator tokens: %w", err)
	}
	path := filepath.Join(c.tempDir, "tokens.json")
	return path, os.WriteFile(path, data, 0o600)
}

// freeAddresses returns n different free addresses.
func freeAddresses(n int) ([]string, error) {
	var out []string
	for range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("dev: find a free address: %w", err)
		}
		defer ln.Close()
		out = append(out, ln.Addr().String())
	}
	return out, nil
}

func (c *Cluster) runWorkload(ctx context.Context) error {
	if err := c.waitForMembers(ctx); err != nil {
		return err
	}
	started := time.Now()
	if err := c.publishConfiguration(ctx); err != nil {
		return err
	}
	if err := c.waitForReplicas(ctx); err != nil {
		return err
	}
	c.result.Seconds = time.Since(started).Seconds()
	c.result.ModelSize = c.ModelSize
	c.result.SourceBytes = c.platform.Counts().OriginBytes + c.platform.Counts().StoreBytes
	if err := c.sendCompletions(ctx); err != nil {
		return err
	}
	return c.sendBookings(ctx)
}

func (c *Cluster) waitForMembers(ctx context.Context) error {
	return poll(ctx, func() (bool, error) {
		status, err := c.admin.Status(ctx)
		return err == nil && len(status.Endpoints) == c.Engines+2, nil
	})
}

// poll calls done repeatedly until it returns true or an error, or until ctx is done.
func poll(ctx context.Context, done func() (bool, error)) error {
	for {
		ok, err := done()
		if ok || err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollInterval):
		}
	}
}

func (c *Cluster) publishConfiguration(ctx context.Context) error {
	changes := []catalog.Record{
		{Object: ident.OrganisationObject(organisation), Organisation: &catalog.Organisation{Key: manifest.DigestOf([]byte(callerKey)), Weight: 1}},
		{Object: ident.TemplateObject("chat"), Template: &catalog.Template{
			Kind: catalog.KindEngine, Pool: enginePool, Model: &catalog.ArtifactRef{Name: model, Version: "1"}, Replicas: c.Engines, FetchGoal: catalog.MinimizeFetchTime,
		}},
		{Object: ident.TemplateObject("bookings"), Template: &catalog.Template{Kind: catalog.KindService, Pool: servicePool}},
		{Object: ident.DeploymentObject(organisation, "chat"), Deployment: &catalog.Deployment{Template: "chat"}},
		{Object: ident.DeploymentObject(organisation, "bookings"), Deployment: &catalog.Deployment{Template: "bookings"}},
	}
	for _, rec := range changes {
		rec.ID = ident.ChangeID(uuid.NewString())
		decision, err := c.admin.PublishChange(ctx, rec)
		if err != nil {
			return err
		}
		if decision.Verdict != reducer.Accepted {
			return fmt.Errorf("dev: configuration change of %s not accepted: %s: %s", rec.Object, decision.Verdict, decision.Reason)
		}
	}
	return nil
}

func (c *Cluster) waitForReplicas(ctx context.Context) error {
	c.result.WantedReplicas = c.Engines
	return poll(ctx, func() (bool, error) {
		status, err := c.admin.Status(ctx)
		if err != nil {
			return false, err
		}
		for _, d := range status.Deployments {
			if d.Name == "chat" {
				c.weightSet = d.WeightSet
			}
		}
		ready, heldChunks, totalChunks := 0, 0, 0
		for _, r := range status.Endpoints {
			heldChunks += r.HeldChunks
			totalChunks += r.TotalChunks
			if c.weightSet != "" && r.GateOpen && r.ServedSet == c.weightSet {
				ready++
			}
		}
		c.result.ReadyReplicas = ready
		c.Progress(ready, c.Engines, heldChunks, totalChunks)
		return ready == c.Engines, nil
	})
}

// sendCompletions sends the sample completion requests and counts the completions and the wrong ones among them.
func (c *Cluster) sendCompletions(ctx context.Context) error {
	for i := range requestCount {
		prompt := fmt.Sprintf("question %d", i)
		req := engineapi.Request{Model: "chat", Prompt: prompt, MaxTokens: maxTokens}
		e := c.entries[i%len(c.entries)]
		resp, body, err := sendRequest(ctx, http.MethodPost, "http://"+e.CallerAddress+engineapi.CompletionsPath, req, "")
		if err != nil {
			return err
		}
		var completion engineapi.Completion
		if resp.StatusCode != http.StatusOK || json.Unmarshal(body, &completion) != nil || len(completion.Choices) != 1 {
			return fmt.Errorf("dev: completion request %d failed: status %d: %s", i, resp.StatusCode, body)
		}
		c.result.Completions++
		set := ident.WeightSet(resp.Header.Get(headers.WeightSet))
		if set != c.weightSet || completion.Choices[0].Text != engine.ExpectedText(set, prompt, maxTokens) {
			c.result.WrongCompletions++
		}
	}
	return nil
}

// sendBookings sends the sample bookings and counts those executed and those executed more than once.
func (c *Cluster) sendBookings(ctx context.Context) error {
	for i := range requestCount {
		ref := fmt.Sprintf("booking-%d", i)
		e := c.entries[i%len(c.entries)]
		resp, body, err := sendRequest(ctx, http.MethodPost, "http://"+e.CallerAddress+"/services/bookings/bookings", service.Booking{Ref: ref}, ref)
		if err != nil {
			return err
		}
		if resp.StatusCode != http.StatusCreated {
			return fmt.Errorf("dev: booking %s failed: status %d: %s", ref, resp.StatusCode, body)
		}
	}
	for _, n := range c.platform.Counts().Bookings {
		c.result.ExecutedBookings++
		if n > 1 {
			c.result.RepeatedBookings++
		}
	}
	return nil
}

func sendRequest(ctx context.Context, method, url string, payload any, idempotencyKey string) (*http.Response, []byte, error) {
	data, err := json.Marshal(payload)
	if err != nil {
		return nil, nil, fmt.Errorf("dev: encode request body: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return nil, nil, fmt.Errorf("dev: create request: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	req.Header.Set("Content-Type", "application/json")
	if idempotencyKey != "" {
		req.Header.Set(headers.CallerIdempotencyKey, idempotencyKey)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, nil, fmt.Errorf("dev: send request: %w", err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	return resp, body, err
}
