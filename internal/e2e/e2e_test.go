// Package e2e tests the real programs as separate processes on one machine.
package e2e

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/adminapi"
	"github.com/nutmegdock/nutmegdock/internal/authorizer"
	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/manifest"
	"github.com/nutmegdock/nutmegdock/internal/endpointhost"
	"github.com/nutmegdock/nutmegdock/internal/engineapi"
	"github.com/nutmegdock/nutmegdock/internal/entryhost"
	"github.com/nutmegdock/nutmegdock/internal/headers"
	"github.com/nutmegdock/nutmegdock/internal/standin/engine"
	"github.com/nutmegdock/nutmegdock/internal/standin/platform"
	"github.com/nutmegdock/nutmegdock/internal/standin/service"
)

const (
	testTimeout     = 30 * time.Second
	tokenIntervalMs = 20
	modelBytes      = 8 << 20
	chunkBytes      = 256 << 10
)

// buildPrograms builds the programs once for all tests and returns their directory.
var buildPrograms = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "nutmegdock-e2e")
	if err != nil {
		return "", err
	}
	for _, p := range []string{"entryd", "endpointd", "nutmegdock", "platformd"} {
		cmd := exec.Command("go", "build", "-o", filepath.Join(dir, p), "./cmd/"+p)
		cmd.Dir = "../.."
		if out, err := cmd.CombinedOutput(); err != nil {
			return "", fmt.Errorf("build %s: %w: %s", p, err, out)
		}
	}
	return dir, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if dir, err := buildPrograms(); err == nil {
		_ = os.RemoveAll(dir)
	}
	os.Exit(code)
}

type cluster struct {
	t           testing.TB
	binDir      string
	dir         string
	platformURL string
	entries     []entryhost.Settings
	endpoints   []endpointhost.Settings
	processes   map[ident.Host]*process
}

// freeAddressFunc returns a function that returns a different free address on each of up to n calls.
func freeAddressFunc(t testing.TB, n int) func() string {
	t.Helper()
	var out []string
	for range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer ln.Close()
		out = append(out, ln.Addr().String())
	}
	return func() string {
		a := out[0]
		out = out[1:]
		return a
	}
}

// startCluster starts platformd, two entry hosts, an endpoint host for each engine, and two endpoint hosts with booking
// services. The edits modify the settings of the endpoint hosts.
func startCluster(t testing.TB, engines int, edits ...func(*endpointhost.Settings)) *cluster {
	t.Helper()
	return startClusterWith(t, engines, func(*entryhost.Settings) {}, edits...)
}

// startClusterWith is startCluster with a function that modifies the settings of the entry hosts.
func startClusterWith(t testing.TB, engines int, editEntry func(*entryhost.Settings), edits ...func(*endpointhost.Settings)) *cluster {
	t.Helper()
	is := is.New(t)
	bin, err := buildPrograms()
	is.NoErr(err)
	c := &cluster{t: t, binDir: bin, dir: t.TempDir(), processes: make(map[ident.Host]*process)}
	nextAddress := freeAddressFunc(t, 7+4*(engines+2))
	platformSettings := platform.Settings{
		Listen: nextAddress(),
		Artifacts: []platform.Artifact{
			{Name: "m", Version: "1", Size: modelBytes, ChunkSize: chunkBytes, Seed: 7},
			{Name: "m", Version: "2", Size: modelBytes, ChunkSize: chunkBytes, Seed: 8},
		},
	}
	c.platformURL = "http://" + platformSettings.Listen
	for i := range engines + 2 {
		e := endpointhost.Settings{
			Host: ident.Host(fmt.Sprintf("endpoint-%d", i)), Zone: ident.Zone(fmt.Sprintf("zone-%d", i%3)), Region: "r",
			Pool: "lm", Kind: catalog.KindEngine, DataAddress: nextAddress(), ControlAddress: nextAddress(), AdminAddress: nextAddress(),
			LogURL: c.platformURL + "/log", MembersURL: c.platformURL + "/members", StoreURL: c.platformURL + "/store", OriginURL: c.platformURL + "/origin",
			CacheLimit: 1 << 30, GraceSeconds: 20,
		}
		backend := nextAddress()
		e.BackendURL = "http://" + backend
		if i < engines {
			platformSettings.Engines = append(platformSettings.Engines, platform.Engine{Listen: backend, TokenIntervalMs: tokenIntervalMs, CrashText: crashText, RestartMs: restartMs})
		} else {
			e.Pool, e.Kind = "bookings", catalog.KindService
			platformSettings.Services = append(platformSettings.Services, platform.Service{Listen: backend})
		}
		for _, edit := range edits {
			edit(&e)
		}
		c.endpoints = append(c.endpoints, e)
	}
	tokens := []authorizer.Token{{Name: "op", Role: authorizer.Operator, SecretDigest: manifest.DigestOf([]byte("secret"))}}
	for i := range 2 {
		c.entries = append(c.entries, entryhost.Settings{
			Host: ident.Host(fmt.Sprintf("entry-%d", i)), Zone: ident.Zone(fmt.Sprintf("zone-%d", i)), Region: "r",
			CallerAddress: nextAddress(), AdminAddress: nextAddress(), ControlAddress: nextAddress(), LogURL: c.platformURL + "/log", MembersURL: c.platformURL + "/members",
			StoreURL: c.platformURL + "/store", TokensFile: c.writeFile("tokens.json", tokens), GraceSeconds: 20,
		})
		editEntry(&c.entries[i])
	}
	c.startProcess("platformd", "platform", platformSettings)
	for _, s := range c.entries {
		c.startProcess("entryd", s.Host, s)
	}
	for _, s := range c.endpoints {
		c.startProcess("endpointd", s.Host, s)
	}
	t.Cleanup(c.killAll)
	return c
}

// writeFile writes a string as it is, or any other value as JSON, and returns the path of the file.
func (c *cluster) writeFile(name string, v any) string {
	c.t.Helper()
	data, err := json.Marshal(v)
	if err != nil {
		c.t.Fatal(err)
	}
	if s, ok := v.(string); ok {
		data = []byte(s)
	}
	path := filepath.Join(c.dir, name)
	if err := os.WriteFile(path, data, 0o600); err != nil {
		c.t.Fatal(err)
	}
	return path
}

func (c *cluster) startProcess(program string, host ident.Host, settings any) {
	c.t.Helper()
	cmd := exec.Command(filepath.Join(c.binDir, program), "--settings", c.writeFile(string(host)+".json", settings))
	p, err := startLogged(cmd, filepath.Join(c.dir, string(host)+".log"))
	if err != nil {
		c.t.Fatal(err)
	}
	c.processes[host] = p
}

func (c *cluster) signal(host ident.Host, s syscall.Signal) {
	c.t.Helper()
	if err := c.processes[host].signal(s); err != nil {
		c.t.Fatalf("signal %s: %v", host, err)
	}
}

// waitExit waits until a process exits, kills it after testTimeout, and removes it from the cluster.
func (c *cluster) waitExit(host ident.Host) error {
	c.t.Helper()
	p := c.processes[host]
	delete(c.processes, host)
	select {
	case err := <-p.exited:
		return err
	case <-time.After(testTimeout):
		_ = p.cmd.Process.Kill()
		return fmt.Errorf("process of %s did not exit within %s", host, testTimeout)
	}
}

// killAll kills all processes. One that has ended by itself fails the test. If the test has failed, it also prints the
// logs.
func (c *cluster) killAll() {
	for host, p := range c.processes {
		if end := p.endedByItself(); end != nil {
			c.t.Errorf("process of %s ended by itself: %s", host, end)
		}
		_ = p.signal(syscall.SIGKILL)
		<-p.exited
	}
	if !c.t.Failed() {
		return
	}
	logs, _ := filepath.Glob(filepath.Join(c.dir, "*.log"))
	for _, path := range logs {
		data, _ := os.ReadFile(path)
		c.t.Logf("%s:\n%s", filepath.Base(path), data)
	}
}

// runCommand runs the nutmegdock command against an entry host and returns its output.
func (c *cluster) runCommand(entryHost int, args ...string) ([]byte, error) {
	fullArgs := append([]string{
		"--admin", "http://" + c.entries[entryHost].AdminAddress, "--token-file", c.writeFile("token", "secret"), "--json",
	}, args...)
	cmd := exec.Command(filepath.Join(c.binDir, "nutmegdock"), fullArgs...)
	var stderr bytes.Buffer
	cmd.Stderr = &stderr
	out, err := cmd.Output()
	if err != nil {
		return out, fmt.Errorf("nutmegdock %s: %w: %s", strings.Join(args, " "), err, stderr.Bytes())
	}
	return out, nil
}

// waitUntil polls the condition and fails the test if it does not hold within testTimeout.
func (c *cluster) waitUntil(description string, condition func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(testTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			c.t.Fatalf("condition not met within %s: %s", testTimeout, description)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// status returns the status that the first entry host reports, or an empty status if the command fails.
func (c *cluster) status() adminapi.Status {
	var st adminapi.Status
	out, err := c.runCommand(0, "status")
	if err == nil {
		_ = json.Unmarshal(out, &st)
	}
	return st
}

// engineInFlight returns the number of requests in flight that an engine reports, or zero if it does not respond.
func (c *cluster) engineInFlight(backend string) int {
	var st engineapi.State
	resp, err := http.Get(backend + engineapi.StatePath)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if json.NewDecoder(resp.Body).Decode(&st) != nil {
		return 0
	}
	return st.InFlight
}

// countOpenReplicas returns the number of endpoint hosts of a pool that accept requests.
func (c *cluster) countOpenReplicas(pool ident.Pool) int {
	n := 0
	for _, r := range c.status().Endpoints {
		if r.Pool == pool && r.GateOpen {
			n++
		}
	}
	return n
}

func (c *cluster) standInCounts() platform.Counts {
	c.t.Helper()
	var out platform.Counts
	resp, err := http.Get(c.platformURL + "/counts")
	if err != nil {
		c.t.Fatal(err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil {
		c.t.Fatal(err)
	}
	return out
}

func (c *cluster) sendRequest(entryHost int, path, key string, body any) (*http.Response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.entries[entryHost].CallerAddress+path, bytes.NewReader(data))
	if err != nil {
		cancel()
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer callers-key")
	if key != "" {
		req.Header.Set(headers.CallerIdempotencyKey, key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		cancel()
		return nil, err
	}
	resp.Body = &cancelBody{ReadCloser: resp.Body, cancel: cancel}
	return resp, nil
}

// cancelBody is a response body that cancels the context of its request when it is closed.
type cancelBody struct {
	io.ReadCloser
	cancel func()
}

func (b *cancelBody) Close() error {
	b.cancel()
	return b.ReadCloser.Close()
}

// streamCompletion requests a streamed completion and returns its text and weight set. It fails if the stream ends
// before its final event.
func (c *cluster) streamCompletion(entryHost int, prompt string, tokens int) (string, ident.WeightSet, error) {
	resp, err := c.sendRequest(entryHost, engineapi.CompletionsPath, "", engineapi.Request{Model: "chat", Prompt: prompt, MaxTokens: tokens, Stream: true})
	if err != nil {
		return "", "", err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(resp.Body)
		return "", "", fmt.Errorf("status %d: %s", resp.StatusCode, body)
	}
	var text strings.Builder
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == engineapi.DoneData {
			return text.String(), ident.WeightSet(resp.Header.Get(headers.WeightSet)), nil
		}
		var completion engineapi.Completion
		if err := json.Unmarshal([]byte(data), &completion); err != nil {
			return "", "", err
		}
		text.WriteString(completion.Choices[0].Text)
	}
	return "", "", fmt.Errorf("stream ended before its final event: %w", lines.Err())
}

func (c *cluster) publishConfiguration(engines int) {
	c.t.Helper()
	template := c.writeFile("chat.json", catalog.Template{
		Kind: catalog.KindEngine, Pool: "lm", Model: &catalog.ArtifactRef{Name: "m", Version: "1"}, Replicas: engines, FetchGoal: catalog.MinimizeOriginReads,
	})
	bookings := c.writeFile("bookings.json", catalog.Template{Kind: catalog.KindService, Pool: "bookings"})
	for _, args := range [][]string{
		{"organisation", "create", "agency", "--key-file", c.writeFile("key", "callers-key")},
		{"template", "publish", "chat", "--file", template},
		{"template", "publish", "bookings", "--file", bookings},
		{"deployment", "create", "agency/chat", "--template", "chat"},
		{"deployment", "create", "agency/bookings", "--template", "bookings"},
	} {
		if _, err := c.runCommand(0, args...); err != nil {
			c.t.Fatal(err)
		}
	}
}

// TestWholePath sends completions and a booking through all real programs, kills an endpoint host, sends more
// completions, and then shuts the daemons down under load.
func TestWholePath(t *testing.T) {
	is := is.New(t)
	const engines = 4
	c := startCluster(t, engines)
	c.waitUntil("all hosts report", func() bool { return len(c.status().Endpoints) == engines+2 })
	c.publishConfiguration(engines)
	c.waitUntil("all replicas ready", func() bool { return c.countOpenReplicas("lm") == engines })

	counts := c.standInCounts()
	sourceBytes := counts.OriginBytes + counts.StoreBytes
	is.True(sourceBytes >= modelBytes)        // every chunk was read from the store or the origin at least once
	is.True(sourceBytes < engines*modelBytes) // some chunks were read from another endpoint host

	text, set, err := c.streamCompletion(0, "hello", 10)
	is.NoErr(err)
	is.Equal(text, engine.ExpectedText(set, "hello", 10))

	resp, err := c.sendRequest(1, "/services/bookings/bookings", "b1", service.Booking{Ref: "b1"})
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.Equal(resp.StatusCode, http.StatusCreated)
	is.Equal(c.standInCounts().Bookings["b1"], 1)

	c.checkKilledEndpointHost(engines)
	c.checkGracefulShutdown()
}

// checkKilledEndpointHost kills one endpoint host and checks that the remaining ones serve the next requests.
func (c *cluster) checkKilledEndpointHost(engines int) {
	is := is.New(c.t)
	c.signal("endpoint-0", syscall.SIGKILL)
	_ = c.waitExit("endpoint-0")
	for i := range 10 {
		prompt := fmt.Sprintf("after kill %d", i)
		text, set, err := c.streamCompletion(i%2, prompt, 3)
		is.NoErr(err)
		is.Equal(text, engine.ExpectedText(set, prompt, 3))
	}
	c.waitUntil("the killed host is no longer ready", func() bool { return c.countOpenReplicas("lm") == engines-1 })
}

// checkGracefulShutdown sends SIGTERM to every daemon while completions stream. All streams must be complete and all
// daemons must exit without an error.
func (c *cluster) checkGracefulShutdown() {
	is := is.New(c.t)
	const streams, tokens = 8, 250
	var wg sync.WaitGroup
	errs := make(chan error, streams)
	for i := range streams {
		wg.Go(func() {
			prompt := fmt.Sprintf("stop %d", i)
			text, set, err := c.streamCompletion(i%2, prompt, tokens)
			if err == nil && text != engine.ExpectedText(set, prompt, tokens) {
				err = fmt.Errorf("stream %d: wrong text", i)
			}
			errs <- err
		})
	}
	c.waitUntil("all streams are in flight", func() bool {
		n := 0
		for _, e := range c.endpoints {
			if e.Kind == catalog.KindEngine {
				n += c.engineInFlight(e.BackendURL)
			}
		}
		return n >= streams
	})
	for host := range c.processes {
		if host != "platform" {
			c.signal(host, syscall.SIGTERM)
		}
	}
	wg.Wait()
	close(errs)
	for err := range errs {
		is.NoErr(err)
	}
	for host := range c.processes {
		if host != "platform" {
			is.NoErr(c.waitExit(host))
		}
	}
}
