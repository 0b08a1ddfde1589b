package e2e

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/crowdtest"
	"github.com/nutmegdock/nutmegdock/internal/engineapi"
	"github.com/nutmegdock/nutmegdock/internal/entryhost"
	"github.com/nutmegdock/nutmegdock/internal/headers"
	"github.com/nutmegdock/nutmegdock/internal/standin/service"
)

// The limits of the entry host that a crowd is played against.
const crowdMemory, crowdDescriptors = 80_000_000, 600

// playCrowd plays a crowd against an address of entryd: that of the callers, or that of the operators.
func playCrowd(t *testing.T, f crowdtest.Form, isAdmin bool) {
	t.Helper()
	is := is.New(t)
	c := startClusterWith(t, 1, func(e *entryhost.Settings) { e.Memory, e.Descriptors = crowdMemory, crowdDescriptors })
	c.waitUntil("all hosts report", func() bool { return len(c.status().Endpoints) == 3 })
	c.publishConfiguration(1)
	c.waitUntil("all replicas ready", func() bool { return c.countOpenReplicas("lm") == 1 })
	address := c.entries[0].CallerAddress
	head := "POST " + engineapi.CompletionsPath + " HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer callers-key\r\n"
	if isAdmin {
		address = c.entries[0].AdminAddress
		head = "POST /admin/v1/changes HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer secret\r\n"
	}
	n := 0
	ask := func() error {
		n++
		if _, err := c.runCommand(0, "status"); err != nil {
			return err
		}
		return c.expect(http.StatusCreated, "/services/bookings/bookings", service.Booking{Ref: fmt.Sprint("ordinary-", n)})
	}
	is.NoErr(ask())
	crowdtest.Target{
		Address: address, PID: c.processes["entry-0"].cmd.Process.Pid, Head: head, Memory: crowdMemory, Descriptors: crowdDescriptors, Ask: ask,
		AskLarge: func() error {
			prompt := make([]byte, crowdtest.BodyBytes-1<<10)
			for i := range prompt {
				prompt[i] = 'a'
			}
			return c.expect(http.StatusOK, engineapi.CompletionsPath, engineapi.Request{Model: "chat", Prompt: string(prompt), MaxTokens: 1})
		},
	}.Play(t, f)
}

// expect sends a request to the first entry host on a connection of its own, and returns an error if its status is another one.
func (c *cluster) expect(status int, path string, body any) error {
	defer http.DefaultClient.CloseIdleConnections()
	resp, err := c.sendRequest(0, path, "", body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != status {
		return fmt.Errorf("%s: status %d, outcome %q: %.200s: %w", path, resp.StatusCode, resp.Header.Get(headers.Outcome), text, err)
	}
	return nil
}

// The tests below guard against crowds that use up the memory or the descriptors of a process, or that keep ordinary callers out.
// The forms of crowdtest say what each crowd sends.

func TestCrowdAtEntryRequestLines(t *testing.T) { playCrowd(t, crowdtest.RequestLines, false) }

func TestCrowdAtEntryHeaderValues(t *testing.T) { playCrowd(t, crowdtest.HeaderValues, false) }

func TestCrowdAtEntryHeaderFields(t *testing.T) { playCrowd(t, crowdtest.HeaderFields, false) }

func TestCrowdAtEntryBlankLines(t *testing.T) { playCrowd(t, crowdtest.BlankLines, false) }

func TestCrowdAtEntryLongHeads(t *testing.T) { playCrowd(t, crowdtest.LongHeads, false) }

func TestCrowdAtEntryLegalHeads(t *testing.T) { playCrowd(t, crowdtest.LegalHeads, false) }

func TestCrowdAtEntryManyFields(t *testing.T) { playCrowd(t, crowdtest.ManyFields, false) }

func TestCrowdAtEntryBodies(t *testing.T) { playCrowd(t, crowdtest.Bodies, false) }

func TestCrowdAtEntryBodiesInPieces(t *testing.T) { playCrowd(t, crowdtest.BodiesInPieces, false) }

func TestCrowdAtEntryChunks(t *testing.T) { playCrowd(t, crowdtest.Chunks, false) }

func TestCrowdAtEntryLargeChunks(t *testing.T) { playCrowd(t, crowdtest.LargeChunks, false) }

func TestCrowdAtEntryTinyChunks(t *testing.T) { playCrowd(t, crowdtest.TinyChunks, false) }

func TestCrowdAtEntryChunkExtensions(t *testing.T) { playCrowd(t, crowdtest.ChunkExtensions, false) }

func TestCrowdAtEntryTrailers(t *testing.T) { playCrowd(t, crowdtest.Trailers, false) }

func TestCrowdAtEntryWholeBodies(t *testing.T) { playCrowd(t, crowdtest.WholeBodies, false) }

func TestCrowdAtEntryPipelines(t *testing.T) { playCrowd(t, crowdtest.Pipelines, false) }

func TestCrowdAtEntrySmallBodies(t *testing.T) { playCrowd(t, crowdtest.SmallBodies, false) }

func TestCrowdAtEntryUnreadBodies(t *testing.T) { playCrowd(t, crowdtest.UnreadBodies, false) }

func TestCrowdAtEntryAdminLongHeads(t *testing.T) { playCrowd(t, crowdtest.LongHeads, true) }

func TestCrowdAtEntryAdminHeaderFields(t *testing.T) { playCrowd(t, crowdtest.HeaderFields, true) }

func TestCrowdAtEntryAdminBodies(t *testing.T) { playCrowd(t, crowdtest.Bodies, true) }

func TestCrowdAtEntryAdminChunks(t *testing.T) { playCrowd(t, crowdtest.Chunks, true) }

func TestCrowdAtEntryAdminUnreadBodies(t *testing.T) { playCrowd(t, crowdtest.UnreadBodies, true) }
