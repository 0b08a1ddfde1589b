package e2e

import (
	"bytes"
	"fmt"
	"net/http"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/standin/platform"
)

// isReady reports whether the entry host's readiness check succeeds.
func (c *cluster) isReady(entryHost int) bool {
	resp, err := http.Get("http://" + c.entries[entryHost].AdminAddress + "/ready")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusNoContent
}

// TestConfigurationOutlivesProcesses kills and restarts both entry hosts, one after the other, and half of the endpoint
// hosts while the log service is down and its records expire. The configuration must survive in the remaining
// processes, and later changes must still be accepted.
func TestConfigurationOutlivesProcesses(t *testing.T) {
	is := is.New(t)
	const engines = 2
	c := startCluster(t, engines)
	c.waitUntil("all hosts report", func() bool { return len(c.status().Endpoints) == engines+2 })
	c.publishConfiguration(engines)
	c.waitUntil("all replicas ready", func() bool { return c.countOpenReplicas("lm") == engines })

	c.setFaults(platform.Faults{Log: &platform.LogFaults{Down: true, RetentionMs: 1}})
	for _, h := range []ident.Host{"entry-1", "endpoint-0", "endpoint-2"} {
		c.signal(h, syscall.SIGKILL)
		_ = c.waitExit(h)
	}
	c.startProcess("entryd", c.entries[1].Host, c.entries[1])
	c.startProcess("endpointd", c.endpoints[0].Host, c.endpoints[0])
	c.startProcess("endpointd", c.endpoints[2].Host, c.endpoints[2])
	c.waitUntil("the new entry host is ready", func() bool { return c.isReady(1) })
	c.waitUntil("the new entry host serves a completion", func() bool {
		_, _, err := c.streamCompletion(1, "log is down", 3)
		return err == nil
	})

	// After this restart, neither entry host process has read the configuration from the log.
	c.signal("entry-0", syscall.SIGKILL)
	_ = c.waitExit("entry-0")
	c.startProcess("entryd", c.entries[0].Host, c.entries[0])
	c.waitUntil("the second new entry host is ready", func() bool { return c.isReady(0) })

	c.setFaults(platform.Faults{Log: &platform.LogFaults{RetentionMs: 60_000}})
	template := c.writeFile("more.json", catalog.Template{Kind: catalog.KindService, Pool: "bookings"})
	for i := range 2 {
		name := fmt.Sprintf("more-%d", i)
		_, err := c.runCommand(i, "template", "publish", name, "--file", template)
		is.NoErr(err)
	}
	c.waitUntil("the history of both entry hosts contains both changes", func() bool {
		for i := range 2 {
			out, err := c.runCommand(i, "history")
			if err != nil || !bytes.Contains(out, []byte("template/more-0")) || !bytes.Contains(out, []byte("template/more-1")) {
				return false
			}
			if !bytes.Contains(out, []byte("organisation/agency")) {
				t.Fatal("history lacks a change from before the outage")
			}
		}
		return true
	})
	text, _, err := c.streamCompletion(0, "after", 3)
	is.NoErr(err)
	is.True(text != "")
}
