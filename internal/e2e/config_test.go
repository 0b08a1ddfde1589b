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

func (c *cluster) isReady(entryHost int) bool {
	resp, err := http.Get("http://" + c.entries[entryHost].AdminAddress + "/ready")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusNoContent
}

// TestConfigurationOutlivesProcesses replaces all entry hosts but one, and half of the endpoint hosts, while the log is
// down, then lets the log's records expire, and changes the configuration after.
func TestConfigurationOutlivesProcesses(t *testing.T) {
	is := is.New(t)
	const engines = 2
	c := start(t, engines)
	c.eventually("all hosts report", func() bool { return len(c.status().Endpoints) == engines+2 })
	c.publish(engines)
	c.eventually("all replicas ready", func() bool { return c.ready("lm") == engines })

	c.faults(platform.Faults{Log: &platform.LogFaults{Down: true, Retention: 1}})
	for _, h := range []ident.Host{"entry-1", "endpoint-0", "endpoint-2"} {
		c.signal(h, syscall.SIGKILL)
		_ = c.stop(h)
	}
	c.run("entryd", c.entries[1].Host, c.entries[1])
	c.run("endpointd", c.ends[0].Host, c.ends[0])
	c.run("endpointd", c.ends[2].Host, c.ends[2])
	c.eventually("the new entry host is ready", func() bool { return c.isReady(1) })
	c.eventually("the new entry host answers", func() bool {
		_, _, err := c.stream(1, "log is down", 3)
		return err == nil
	})

	// The first entry host goes too: the state is now held by processes alone that never read it from the log.
	c.signal("entry-0", syscall.SIGKILL)
	_ = c.stop("entry-0")
	c.run("entryd", c.entries[0].Host, c.entries[0])
	c.eventually("the second new entry host is ready", func() bool { return c.isReady(0) })

	c.faults(platform.Faults{Log: &platform.LogFaults{Retention: 60_000}})
	template := c.write("more.json", catalog.Template{Kind: catalog.KindService, Pool: "bookings"})
	for i := range 2 {
		name := fmt.Sprintf("more-%d", i)
		_, err := c.operator(i, "template", "publish", name, "--file", template)
		is.NoErr(err)
	}
	c.eventually("both entry hosts hold both changes", func() bool {
		for i := range 2 {
			out, err := c.operator(i, "history")
			if err != nil || !bytes.Contains(out, []byte("template/more-0")) || !bytes.Contains(out, []byte("template/more-1")) {
				return false
			}
			if !bytes.Contains(out, []byte("organisation/agency")) {
				t.Fatal("a change from before the outage is lost")
			}
		}
		return true
	})
	text, _, err := c.stream(0, "after", 3)
	is.NoErr(err)
	is.True(text != "")
}
