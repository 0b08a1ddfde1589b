// Package e2e tests the real programs as separate processes.
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
	patience   = 30 * time.Second
	tokenTime  = 20 // ms
	modelBytes = 8 << 20
	chunkBytes = 256 << 10
)

// programs builds the four programs once for all tests.
var programs = sync.OnceValues(func() (string, error) {
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
	if dir, err := programs(); err == nil {
		_ = os.RemoveAll(dir)
	}
	os.Exit(code)
}

type process struct {
	cmd  *exec.Cmd
	done chan error
}

type cluster struct {
	t       testing.TB
	bin     string
	dir     string
	base    string
	entries []entryhost.Settings
	ends    []endpointhost.Settings
	procs   map[ident.Host]*process
}

func addresses(t testing.TB, n int) func() string {
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

// start runs platformd, two entry hosts, the engines and two plain services. The edits change the endpoint hosts'
// settings.
func start(t testing.TB, engines int, edits ...func(*endpointhost.Settings)) *cluster {
	t.Helper()
	is := is.New(t)
	bin, err := programs()
	is.NoErr(err)
	c := &cluster{t: t, bin: bin, dir: t.TempDir(), procs: make(map[ident.Host]*process)}
	next := addresses(t, 7+4*(engines+2))
	cfg := platform.Settings{
		Listen: next(),
		Artifacts: []platform.Artifact{
			{Name: "m", Version: "1", Size: modelBytes, Chunk: chunkBytes, Seed: 7},
			{Name: "m", Version: "2", Size: modelBytes, Chunk: chunkBytes, Seed: 8},
		},
	}
	c.base = "http://" + cfg.Listen
	for i := range engines + 2 {
		e := endpointhost.Settings{
			Host: ident.Host(fmt.Sprintf("endpoint-%d", i)), Zone: ident.Zone(fmt.Sprintf("zone-%d", i%3)), Region: "r",
			Pool: "lm", Kind: catalog.KindEngine, DataAddress: next(), ControlAddress: next(), AdminAddress: next(),
			LogURL: c.base + "/log", MembersURL: c.base + "/members", StoreURL: c.base + "/store", OriginURL: c.base + "/origin",
			CacheLimit: 1 << 30, GraceSeconds: 20,
		}
		backend := next()
		e.BackendURL = "http://" + backend
		if i < engines {
			cfg.Engines = append(cfg.Engines, platform.Engine{Listen: backend, Token: tokenTime, Poison: poison, Restart: restartTime})
		} else {
			e.Pool, e.Kind = "bookings", catalog.KindService
			cfg.Services = append(cfg.Services, platform.Service{Listen: backend})
		}
		for _, edit := range edits {
			edit(&e)
		}
		c.ends = append(c.ends, e)
	}
	tokens := []authorizer.Token{{Name: "op", Role: authorizer.Operator, SecretDigest: manifest.DigestOf([]byte("secret"))}}
	for i := range 2 {
		c.entries = append(c.entries, entryhost.Settings{
			Host: ident.Host(fmt.Sprintf("entry-%d", i)), Zone: ident.Zone(fmt.Sprintf("zone-%d", i)), Region: "r",
			CallerAddress: next(), AdminAddress: next(), ControlAddress: next(), LogURL: c.base + "/log", MembersURL: c.base + "/members",
			StoreURL: c.base + "/store", TokensFile: c.write("tokens.json", tokens), GraceSeconds: 20,
		})
	}
	c.run("platformd", "platform", cfg)
	for _, s := range c.entries {
		c.run("entryd", s.Host, s)
	}
	for _, s := range c.ends {
		c.run("endpointd", s.Host, s)
	}
	t.Cleanup(c.killAll)
	return c
}

func (c *cluster) write(name string, v any) string {
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

func (c *cluster) run(program string, host ident.Host, cfg any) {
	c.t.Helper()
	logs, err := os.Create(filepath.Join(c.dir, string(host)+".log"))
	if err != nil {
		c.t.Fatal(err)
	}
	cmd := exec.Command(filepath.Join(c.bin, program), "--settings", c.write(string(host)+".json", cfg))
	cmd.Stderr = logs
	if err := cmd.Start(); err != nil {
		c.t.Fatal(err)
	}
	p := &process{cmd: cmd, done: make(chan error, 1)}
	go func() {
		p.done <- cmd.Wait()
		_ = logs.Close()
	}()
	c.procs[host] = p
}

func (c *cluster) signal(host ident.Host, s syscall.Signal) {
	c.t.Helper()
	if err := c.procs[host].cmd.Process.Signal(s); err != nil {
		c.t.Fatalf("signal %s: %v", host, err)
	}
}

// stop waits for a process's end and removes it.
func (c *cluster) stop(host ident.Host) error {
	c.t.Helper()
	p := c.procs[host]
	delete(c.procs, host)
	select {
	case err := <-p.done:
		return err
	case <-time.After(patience):
		_ = p.cmd.Process.Kill()
		return fmt.Errorf("%s did not stop within %s", host, patience)
	}
}

func (c *cluster) killAll() {
	for _, p := range c.procs {
		_ = p.cmd.Process.Kill()
		<-p.done
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

// operator runs the command line against an entry host.
func (c *cluster) operator(entryHost int, args ...string) ([]byte, error) {
	all := append([]string{
		"--admin", "http://" + c.entries[entryHost].AdminAddress, "--token-file", c.write("token", "secret"), "--json",
	}, args...)
	cmd := exec.Command(filepath.Join(c.bin, "nutmegdock"), all...)
	var stderr bytes.Buffer
	cmd.Stderr = &stderr
	out, err := cmd.Output()
	if err != nil {
		return out, fmt.Errorf("nutmegdock %s: %w: %s", strings.Join(args, " "), err, stderr.Bytes())
	}
	return out, nil
}

func (c *cluster) eventually(what string, ok func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(patience)
	for !ok() {
		if time.Now().After(deadline) {
			c.t.Fatalf("not within %s: %s", patience, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (c *cluster) status() adminapi.Status {
	var st adminapi.Status
	out, err := c.operator(0, "status")
	if err == nil {
		_ = json.Unmarshal(out, &st)
	}
	return st
}

// engineRunning returns the requests that run on an engine, by its own word.
func (c *cluster) engineRunning(backend string) int {
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

func (c *cluster) ready(pool ident.Pool) int {
	n := 0
	for _, r := range c.status().Endpoints {
		if r.Pool == pool && r.GateOpen {
			n++
		}
	}
	return n
}

func (c *cluster) counts() platform.Counts {
	c.t.Helper()
	var out platform.Counts
	resp, err := http.Get(c.base + "/counts")
	if err != nil {
		c.t.Fatal(err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil {
		c.t.Fatal(err)
	}
	return out
}

func (c *cluster) post(entryHost int, path, key string, body any) (*http.Response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
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

type cancelBody struct {
	io.ReadCloser
	cancel func()
}

func (b *cancelBody) Close() error {
	b.cancel()
	return b.ReadCloser.Close()
}

// stream asks for a streamed completion and returns its text, after it has checked that the answer is whole.
func (c *cluster) stream(entryHost int, prompt string, tokens int) (string, ident.WeightSet, error) {
	resp, err := c.post(entryHost, engineapi.CompletionsPath, "", engineapi.Request{Model: "chat", Prompt: prompt, MaxTokens: tokens, Stream: true})
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
		var a engineapi.Completion
		if err := json.Unmarshal([]byte(data), &a); err != nil {
			return "", "", err
		}
		text.WriteString(a.Choices[0].Text)
	}
	return "", "", fmt.Errorf("stream ended without its end mark: %w", lines.Err())
}

func (c *cluster) publish(engines int) {
	c.t.Helper()
	template := c.write("chat.json", catalog.Template{
		Kind: catalog.KindEngine, Pool: "lm", Model: &catalog.ArtifactRef{Name: "m", Version: "1"}, Replicas: engines, FetchGoal: catalog.MinimizeOriginReads,
	})
	bookings := c.write("bookings.json", catalog.Template{Kind: catalog.KindService, Pool: "bookings"})
	for _, args := range [][]string{
		{"organisation", "create", "agency", "--key-file", c.write("key", "callers-key")},
		{"template", "publish", "chat", "--file", template},
		{"template", "publish", "bookings", "--file", bookings},
		{"deployment", "create", "agency/chat", "--template", "chat"},
		{"deployment", "create", "agency/bookings", "--template", "bookings"},
	} {
		if _, err := c.operator(0, args...); err != nil {
			c.t.Fatal(err)
		}
	}
}

func TestWholePath(t *testing.T) {
	is := is.New(t)
	const engines = 4
	c := start(t, engines)
	c.eventually("all hosts report", func() bool { return len(c.status().Endpoints) == engines+2 })
	c.publish(engines)
	c.eventually("all replicas ready", func() bool { return c.ready("lm") == engines })

	counts := c.counts()
	outside := counts.Origin + counts.Store
	is.True(outside >= modelBytes)        // every chunk came from outside at least once
	is.True(outside < engines*modelBytes) // and some of them came from another endpoint host

	text, set, err := c.stream(0, "hello", 10)
	is.NoErr(err)
	is.Equal(text, engine.Text(set, "hello", 10))

	resp, err := c.post(1, "/services/bookings/bookings", "b1", service.Booking{Ref: "b1"})
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.Equal(resp.StatusCode, http.StatusCreated)
	is.Equal(c.counts().Bookings["b1"], 1)

	c.killMidway(engines)
	c.stopMidway()
}

// killMidway kills one endpoint host; requests after it are answered by the others.
func (c *cluster) killMidway(engines int) {
	is := is.New(c.t)
	c.signal("endpoint-0", syscall.SIGKILL)
	_ = c.stop("endpoint-0")
	for i := range 10 {
		prompt := fmt.Sprintf("after kill %d", i)
		text, set, err := c.stream(i%2, prompt, 3)
		is.NoErr(err)
		is.Equal(text, engine.Text(set, prompt, 3))
	}
	c.eventually("the killed host is gone", func() bool { return c.ready("lm") == engines-1 })
}

// stopMidway stops every daemon by SIGTERM while answers stream; all of them must be whole.
func (c *cluster) stopMidway() {
	is := is.New(c.t)
	const streams, tokens = 8, 250
	var wg sync.WaitGroup
	errs := make(chan error, streams)
	for i := range streams {
		wg.Go(func() {
			prompt := fmt.Sprintf("stop %d", i)
			text, set, err := c.stream(i%2, prompt, tokens)
			if err == nil && text != engine.Text(set, prompt, tokens) {
				err = fmt.Errorf("stream %d: wrong text", i)
			}
			errs <- err
		})
	}
	c.eventually("streams run", func() bool {
		n := 0
		for _, e := range c.ends {
			if e.Kind == catalog.KindEngine {
				n += c.engineRunning(e.BackendURL)
			}
		}
		return n >= streams
	})
	for host := range c.procs {
		if host != "platform" {
			c.signal(host, syscall.SIGTERM)
		}
	}
	wg.Wait()
	close(errs)
	for err := range errs {
		is.NoErr(err)
	}
	for host := range c.procs {
		if host != "platform" {
			is.NoErr(c.stop(host))
		}
	}
}
