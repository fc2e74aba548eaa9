package server_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// setVM sets an entry of the platform's list of VMs.
func (c *cluster) setVM(name, addr, state string) {
	c.t.Helper()
	c.postToPlatform("/vms", fmt.Sprintf(`{"name":%q,"addr":%q,"domain":"milano-a","role":"endpoint","state":%q}`, name, addr, state))
}

// postToPlatform posts to the platform stand-in.
func (c *cluster) postToPlatform(path, body string) {
	c.t.Helper()
	res, err := http.Post("http://"+c.PlatformAddr+path, "application/json", strings.NewReader(body))
	assert.NilError(c.t, err)
	_ = res.Body.Close()
	assert.Equal(c.t, res.StatusCode, http.StatusNoContent)
}

// engineAddr returns the address that the manifest declares for an engine.
func (c *cluster) engineAddr(i int) string {
	c.t.Helper()
	_, rest, ok := strings.Cut(c.Manifest, fmt.Sprintf("[endpoint engine-%d]", i))
	assert.Assert(c.t, ok)
	_, rest, _ = strings.Cut(rest, "addr = ")
	addr, _, _ := strings.Cut(rest, "\n")
	return addr
}

// awaitShuttingDown waits until every daemon reports an endpoint as shutting down.
func (c *cluster) awaitShuttingDown(name string) {
	c.t.Helper()
	for i := range daemons {
		c.eventually(func() bool {
			for _, e := range c.status(i).Endpoints {
				if e.Name == name {
					return e.ShuttingDown
				}
			}
			return false
		})
	}
}

// An endpoint on a VM in the state "leaving" must be marked as shutting down,
// whether the change is delivered by the watch, is missed by a silent watch, or
// happens while the platform is slow or unavailable.
func TestEndpointOnLeavingVMIsMarkedShuttingDown(t *testing.T) {
	for name, faults := range map[string]string{
		"watched":         `{}`,
		"watch is silent": `{"watch_silent":true}`,
		"calls are slow":  `{"delay_ms":300}`,
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t)
			c.setVM("vm-other", "10.0.0.1", "leaving")
			c.setVM("vm-0", c.engineAddr(0), "live")
			c.postToPlatform("/faults", faults)
			c.setVM("vm-0", c.engineAddr(0), "leaving")
			c.awaitShuttingDown("engine-0")
		})
	}
	t.Run("outage", func(t *testing.T) {
		c := newCluster(t)
		c.postToPlatform("/faults", `{"outage":true}`)
		c.setVM("vm-1", c.engineAddr(1), "leaving")
		c.postToPlatform("/faults", `{"outage":false}`)
		c.awaitShuttingDown("engine-1")
	})
}

// The VM may be in the state "leaving" before the manifest declares an endpoint on
// it. The endpoint must then be marked as shutting down once it is declared.
func TestEndpointAddedOnLeavingVMIsMarkedShuttingDown(t *testing.T) {
	c := newCluster(t)
	c.setVM("vm-late", "127.0.0.1:9", "leaving")
	c.setVM("vm-0", c.engineAddr(0), "leaving")
	c.awaitShuttingDown("engine-0") // The list has been read.
	assert.NilError(t, c.Apply(t.Context(), c.Manifest+
		"[endpoint engine-late]\nkind = engine\ndomain = milano-a\naddr = 127.0.0.1:9\nmodels = redazione@v1\n"+
		"memory_tokens = 100000\nblock_tokens = 16\nmax_batch = 1024\n"))
	c.awaitShuttingDown("engine-late")
}
