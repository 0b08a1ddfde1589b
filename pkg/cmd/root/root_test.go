package root

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"

	"github.com/nutmegdock/nutmegdock/internal/adminapi"
	"github.com/nutmegdock/nutmegdock/internal/authorizer"
	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/manifest"
	"github.com/nutmegdock/nutmegdock/internal/core/reducer"
	"github.com/nutmegdock/nutmegdock/internal/messages"
)

const testKey = "0123456789abcdef"

// testSet is the weight set of version 1 of the model.
var testSet = manifest.WeightSetOf(manifest.DigestOf([]byte("m1")))

// reports are what the endpoints told the host: one serves, one fetches, one leaves.
var reports = []messages.Report{
	{Host: "e1", Zone: "rijeka-1", Pool: "lm-fleet", GateOpen: true, ServedSet: testSet, AssignedSet: testSet, Offset: 3, InFlight: 2, HeldChunks: 8, TotalChunks: 8},
	{Host: "e2", Zone: "rijeka-1", Pool: "lm-fleet", AssignedSet: testSet, Offset: 2, HeldChunks: 3, TotalChunks: 8},
	{Host: "e3", Zone: "split-1", Pool: "lm-fleet", Leaving: true, ServedSet: testSet, Offset: 3},
}

// host is the operators' interface over a log in memory.
type host struct {
	t   *testing.T
	url string
	dir string

	mu      sync.Mutex
	state   *reducer.Reducer
	records [][]byte
	refused []adminapi.RefusedAttempt
}

func newHost(t *testing.T) *host {
	h := &host{t: t, dir: t.TempDir(), state: reducer.New()}
	a := &adminapi.Admin{
		Authorizer: &authorizer.Authorizer{Tokens: []authorizer.Token{
			{Name: "ana", Role: authorizer.Operator, SecretDigest: manifest.DigestOf([]byte("operator"))},
			{Name: "rui", Role: authorizer.Reader, SecretDigest: manifest.DigestOf([]byte("reader"))},
			{Name: "mia", Role: authorizer.Operator, SecretDigest: manifest.DigestOf([]byte("schools")), Organisations: []ident.Organisation{"schools"}},
		}},
		Publish: h.publish,
		View:    h.view,
		ResolveArtifact: func(_ context.Context, name, version string) (ident.Digest, error) {
			return manifest.DigestOf([]byte(name + version)), nil
		},
		Reports:       func() []messages.Report { return reports },
		RecordAttempt: func(_ context.Context, at adminapi.RefusedAttempt) { h.refused = append(h.refused, at) },
		ListAttempts:  func(context.Context) ([]adminapi.RefusedAttempt, error) { return h.refused, nil },
	}
	mux := http.NewServeMux()
	a.Register(mux)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	h.url = server.URL
	return h
}

func (h *host) publish(_ context.Context, rec catalog.Record) (reducer.AuditEntry, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	data, err := rec.Encode()
	if err != nil {
		return reducer.AuditEntry{}, err
	}
	h.records = append(h.records, data)
	return h.state.Apply(data), nil
}

func (h *host) view(fn func(*reducer.Reducer)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	fn(h.state)
}

func (h *host) file(name, content string) string {
	path := filepath.Join(h.dir, name)
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		h.t.Fatal(err)
	}
	return path
}

// run runs the program as on a terminal and returns its output and exit code.
func (h *host) run(token string, argv ...string) (string, int) {
	var out bytes.Buffer
	argv = append([]string{"--admin", h.url, "--token-file", h.file("token", token)}, argv...)
	code := Main(context.Background(), argv, &out, &out, true)
	return out.String(), code
}

func (h *host) must(argv ...string) string {
	h.t.Helper()
	out, code := h.run("operator", argv...)
	if code != exitOK {
		h.t.Fatalf("%v: exit code %d: %s", argv, code, out)
	}
	return out
}

func (h *host) fill() {
	h.must("organisation", "create", "agency", "--key-file", h.file("key", testKey), "--weight", "4")
	h.must("template", "publish", "chat", "--file", h.file("chat.json", h.template("1")))
	h.must("deployment", "create", "agency/chat", "--template", "chat", "--replicas", "2")
}

func (h *host) template(version string) string {
	data, err := json.Marshal(catalog.Template{
		Kind: catalog.KindEngine, Pool: "lm-fleet", Model: &catalog.ArtifactRef{Name: "m", Version: version},
		Replicas: 4, Priority: 5, FetchGoal: catalog.MinimizeFetchTime, Overridable: []string{"replicas"},
	})
	if err != nil {
		h.t.Fatal(err)
	}
	return string(data)
}

var varying = []struct {
	pattern *regexp.Regexp
	with    string
}{
	{regexp.MustCompile(`\d{4}-\d\d-\d\dT[0-9:.]+Z`), "TIME"},
	{regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f-]{27}`), "CHANGE"},
	{regexp.MustCompile(`127\.0\.0\.1:\d+`), "ADDRESS"},
	{regexp.MustCompile(` +\n`), "\n"},
	{regexp.MustCompile(` {2,}`), "  "},
}

func stable(out string) []byte {
	for _, v := range varying {
		out = v.pattern.ReplaceAllString(out, v.with)
	}
	return []byte(out)
}

func TestOutput(t *testing.T) {
	h := newHost(t)
	h.fill()
	next := h.file("next.json", h.template("2"))
	g := goldie.New(t)
	for name, argv := range map[string][]string{
		"template-list":     {"template", "list"},
		"template-view":     {"template", "view", "chat"},
		"template-dry-run":  {"template", "publish", "chat", "--file", next, "--dry-run"},
		"deployment-list":   {"deployment", "list"},
		"deployment-view":   {"deployment", "view", "agency/chat"},
		"organisation-list": {"organisation", "list"},
		"history":           {"history"},
		"history-full":      {"history", "--full"},
		"status":            {"status"},
		"status-zones":      {"status", "--zones"},
		"explain":           {"explain", "agency/chat"},
		"help":              {"--help"},
		"help-publish":      {"template", "publish", "--help"},
	} {
		t.Run(name, func(t *testing.T) {
			g.Assert(t, name, stable(h.must(argv...)))
		})
	}
}

func TestDryRunPublishesNothing(t *testing.T) {
	is := is.New(t)
	h := newHost(t)
	h.fill()
	before := len(h.records)
	out := h.must("template", "publish", "chat", "--file", h.file("next.json", h.template("2")), "--dry-run")
	is.True(strings.Contains(out, "agency/chat"))
	is.Equal(len(h.records), before)
}

func TestUndoRestoresTheStateBefore(t *testing.T) {
	is := is.New(t)
	h := newHost(t)
	h.fill()
	h.must("template", "publish", "chat", "--file", h.file("next.json", h.template("2")))
	var audits []reducer.AuditEntry
	is.NoErr(json.Unmarshal([]byte(h.must("history", "--json", "--object", "template/chat")), &audits))
	last := audits[len(audits)-1]
	h.must("undo", string(last.ID))
	out := h.must("template", "list")
	is.True(strings.Contains(out, "m@1"))

	_, code := h.run("operator", "undo", string(last.ID))
	is.Equal(code, exitConflict) // the object has changed since
}

func TestUndoOfACreationDeletes(t *testing.T) {
	is := is.New(t)
	h := newHost(t)
	h.fill()
	var audits []reducer.AuditEntry
	is.NoErr(json.Unmarshal([]byte(h.must("history", "--json", "--object", "deployment/")), &audits))
	h.must("undo", string(audits[0].ID))
	out, code := h.run("operator", "deployment", "view", "agency/chat")
	is.Equal(code, exitFailed)
	is.Equal(out, "nutmegdock: deployment/agency/chat does not exist; see the list command\n")
}

func TestViewAtAnOffset(t *testing.T) {
	is := is.New(t)
	h := newHost(t)
	h.fill()
	h.must("template", "publish", "chat", "--file", h.file("next.json", h.template("2")))
	out := h.must("template", "view", "chat", "--at", "2")
	is.True(strings.Contains(out, `"version": "1"`))
}

func TestExitCodes(t *testing.T) {
	h := newHost(t)
	h.fill()
	for name, c := range map[string]struct {
		token string
		argv  []string
		code  int
		text  string
	}{
		"exists already":     {"operator", []string{"deployment", "create", "agency/chat", "--template", "chat"}, exitConflict, "conflict"},
		"unknown template":   {"operator", []string{"deployment", "create", "agency/x", "--template", "none"}, exitRefused, "none"},
		"reader may not":     {"reader", []string{"template", "delete", "chat"}, exitRefused, "may only read"},
		"other organisation": {"schools", []string{"deployment", "delete", "agency/chat"}, exitRefused, "may not change"},
		"unknown token":      {"nobody", []string{"status"}, exitRefused, "not known"},
		"bad name":           {"operator", []string{"deployment", "view", "chat"}, exitFailed, "ORGANISATION/DEPLOYMENT"},
		"bad flag":           {"operator", []string{"deployment", "list", "--nosuch"}, exitUsage, "--nosuch"},
		"noun alone":         {"operator", []string{"template"}, exitUsage, "publish"},
		"bad template":       {"operator", []string{"template", "publish", "t", "--file", h.file("bad.json", `{"pol":1}`)}, exitFailed, "pol"},
		"all faults":         {"operator", []string{"template", "publish", "t", "--file", h.file("faults.json", `{"kind":"x","replicas":-1}`)}, exitFailed, "replicas"},
		"bad settings":       {"operator", []string{"settings", "check", "--program", "entryd", h.file("s.json", `{}`)}, exitFailed, "host"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			out, code := h.run(c.token, c.argv...)
			is.Equal(code, c.code)
			is.True(strings.Contains(out, c.text))
		})
	}
}

func TestRefusedAttemptsAreOnRecord(t *testing.T) {
	is := is.New(t)
	h := newHost(t)
	h.fill()
	_, _ = h.run("reader", "template", "delete", "chat")
	_, _ = h.run("schools", "deployment", "delete", "agency/chat")
	out := h.must("history", "--refused")
	is.True(strings.Contains(out, "rui"))
	is.True(strings.Contains(out, "mia"))
}
