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

// reports are the reports of three endpoint hosts: one serves, one fetches weights, one is leaving.
var reports = []messages.Report{
	{Host: "e1", Zone: "rijeka-1", Pool: "lm-fleet", GateOpen: true, ServedSet: testSet, AssignedSet: testSet, Offset: 3, InFlight: 2, HeldChunks: 8, TotalChunks: 8},
	{Host: "e2", Zone: "rijeka-1", Pool: "lm-fleet", AssignedSet: testSet, Offset: 2, HeldChunks: 3, TotalChunks: 8},
	{Host: "e3", Zone: "split-1", Pool: "lm-fleet", Leaving: true, ServedSet: testSet, Offset: 3},
}

// testHost serves the administration interface with the log in memory.
type testHost struct {
	t   *testing.T
	url string
	dir string

	mu      sync.Mutex
	state   *reducer.Reducer
	records [][]byte
	refused []adminapi.RefusedAttempt
}

func newTestHost(t *testing.T) *testHost {
	h := &testHost{t: t, dir: t.TempDir(), state: reducer.New()}
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
		RecordAttempt: func(_ context.Context, attempt adminapi.RefusedAttempt) { h.refused = append(h.refused, attempt) },
		ListAttempts:  func(context.Context) ([]adminapi.RefusedAttempt, error) { return h.refused, nil },
	}
	mux := http.NewServeMux()
	a.Register(mux)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	h.url = server.URL
	return h
}

func (h *testHost) publish(_ context.Context, rec catalog.Record) (reducer.AuditEntry, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	data, err := rec.Encode()
	if err != nil {
		return reducer.AuditEntry{}, err
	}
	h.records = append(h.records, data)
	return h.state.Apply(data), nil
}

func (h *testHost) view(fn func(*reducer.Reducer)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	fn(h.state)
}

func (h *testHost) writeFile(name, content string) string {
	path := filepath.Join(h.dir, name)
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		h.t.Fatal(err)
	}
	return path
}

// run runs nutmegdock as on a terminal and returns its output and exit code.
func (h *testHost) run(token string, argv ...string) (string, int) {
	var out bytes.Buffer
	argv = append([]string{"--admin", h.url, "--token-file", h.writeFile("token", token)}, argv...)
	code := Main(context.Background(), argv, &out, &out, true)
	return out.String(), code
}

func (h *testHost) mustRun(argv ...string) string {
	h.t.Helper()
	out, code := h.run("operator", argv...)
	if code != exitOK {
		h.t.Fatalf("%v: exit code %d: %s", argv, code, out)
	}
	return out
}

func (h *testHost) createObjects() {
	h.mustRun("organisation", "create", "agency", "--key-file", h.writeFile("key", testKey), "--weight", "4")
	h.mustRun("template", "publish", "chat", "--file", h.writeFile("chat.json", h.templateJSON("1")))
	h.mustRun("deployment", "create", "agency/chat", "--template", "chat", "--replicas", "2")
}

func (h *testHost) templateJSON(version string) string {
	data, err := json.Marshal(catalog.Template{
		Kind: catalog.KindEngine, Pool: "lm-fleet", Model: &catalog.ArtifactRef{Name: "m", Version: version},
		Replicas: 4, Priority: 5, FetchGoal: catalog.MinimizeFetchTime, Overridable: []string{"replicas"},
	})
	if err != nil {
		h.t.Fatal(err)
	}
	return string(data)
}

var replacements = []struct {
	pattern     *regexp.Regexp
	replacement string
}{
	{regexp.MustCompile(`\d{4}-\d\d-\d\dT[0-9:.]+Z`), "TIME"},
	{regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f-]{27}`), "CHANGE"},
	{regexp.MustCompile(`127\.0\.0\.1:\d+`), "ADDRESS"},
	{regexp.MustCompile(` +\n`), "\n"},
	{regexp.MustCompile(` {2,}`), "  "},
}

// normalize replaces what differs between runs.
func normalize(out string) []byte {
	for _, v := range replacements {
		out = v.pattern.ReplaceAllString(out, v.replacement)
	}
	return []byte(out)
}

func TestOutputMatchesGoldenFiles(t *testing.T) {
	h := newTestHost(t)
	h.createObjects()
	newTemplate := h.writeFile("next.json", h.templateJSON("2"))
	g := goldie.New(t)
	for name, argv := range map[string][]string{
		"template-list":     {"template", "list"},
		"template-view":     {"template", "view", "chat"},
		"template-dry-run":  {"template", "publish", "chat", "--file", newTemplate, "--dry-run"},
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
			g.Assert(t, name, normalize(h.mustRun(argv...)))
		})
	}
}

func TestDryRunPublishesNothing(t *testing.T) {
	is := is.New(t)
	h := newTestHost(t)
	h.createObjects()
	before := len(h.records)
	out := h.mustRun("template", "publish", "chat", "--file", h.writeFile("next.json", h.templateJSON("2")), "--dry-run")
	is.True(strings.Contains(out, "agency/chat"))
	is.Equal(len(h.records), before)
}

func TestUndoRestoresThePreviousState(t *testing.T) {
	is := is.New(t)
	h := newTestHost(t)
	h.createObjects()
	h.mustRun("template", "publish", "chat", "--file", h.writeFile("next.json", h.templateJSON("2")))
	var audits []reducer.AuditEntry
	is.NoErr(json.Unmarshal([]byte(h.mustRun("history", "--json", "--object", "template/chat")), &audits))
	last := audits[len(audits)-1]
	h.mustRun("undo", string(last.ID))
	out := h.mustRun("template", "list")
	is.True(strings.Contains(out, "m@1"))

	_, code := h.run("operator", "undo", string(last.ID))
	is.Equal(code, exitConflict) // the object has changed since
}

func TestUndoOfCreationDeletesTheObject(t *testing.T) {
	is := is.New(t)
	h := newTestHost(t)
	h.createObjects()
	var audits []reducer.AuditEntry
	is.NoErr(json.Unmarshal([]byte(h.mustRun("history", "--json", "--object", "deployment/")), &audits))
	h.mustRun("undo", string(audits[0].ID))
	out, code := h.run("operator", "deployment", "view", "agency/chat")
	is.Equal(code, exitFailed)
	is.Equal(out, "nutmegdock: deployment/agency/chat does not exist; see the list command\n")
}

func TestViewAtOffsetShowsTheOlderVersion(t *testing.T) {
	is := is.New(t)
	h := newTestHost(t)
	h.createObjects()
	h.mustRun("template", "publish", "chat", "--file", h.writeFile("next.json", h.templateJSON("2")))
	out := h.mustRun("template", "view", "chat", "--at", "2")
	is.True(strings.Contains(out, `"version": "1"`))
}

func TestExitCodes(t *testing.T) {
	h := newTestHost(t)
	h.createObjects()
	for name, c := range map[string]struct {
		token string
		argv  []string
		code  int
		text  string
	}{
		"existing deployment":           {"operator", []string{"deployment", "create", "agency/chat", "--template", "chat"}, exitConflict, "conflict"},
		"unknown template":              {"operator", []string{"deployment", "create", "agency/x", "--template", "none"}, exitRefused, "none"},
		"read-only token":               {"reader", []string{"template", "delete", "chat"}, exitRefused, "may only read"},
		"token of another organisation": {"schools", []string{"deployment", "delete", "agency/chat"}, exitRefused, "may not change"},
		"unknown token":                 {"nobody", []string{"status"}, exitRefused, "not known"},
		"invalid deployment name":       {"operator", []string{"deployment", "view", "chat"}, exitFailed, "ORGANISATION/DEPLOYMENT"},
		"unknown flag":                  {"operator", []string{"deployment", "list", "--nosuch"}, exitUsage, "--nosuch"},
		"missing subcommand":            {"operator", []string{"template"}, exitUsage, "publish"},
		"unknown template key":          {"operator", []string{"template", "publish", "t", "--file", h.writeFile("bad.json", `{"pol":1}`)}, exitFailed, "pol"},
		"invalid template values":       {"operator", []string{"template", "publish", "t", "--file", h.writeFile("faults.json", `{"kind":"x","replicas":-1}`)}, exitFailed, "replicas"},
		"invalid settings":              {"operator", []string{"settings", "check", "--program", "entryd", h.writeFile("s.json", `{}`)}, exitFailed, "host"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			out, code := h.run(c.token, c.argv...)
			is.Equal(code, c.code)
			is.True(strings.Contains(out, c.text))
		})
	}
}

func TestHistoryListsRefusedRequests(t *testing.T) {
	is := is.New(t)
	h := newTestHost(t)
	h.createObjects()
	_, _ = h.run("reader", "template", "delete", "chat")
	_, _ = h.run("schools", "deployment", "delete", "agency/chat")
	out := h.mustRun("history", "--refused")
	is.True(strings.Contains(out, "rui"))
	is.True(strings.Contains(out, "mia"))
}
