package server_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// setVM changes an entry of the platform's list of VMs.
func (c *cluster) setVM(name, addr, state string) {
	c.t.Helper()
	c.tellPlatform("/vms", fmt.Sprintf(`{"name":%q,"addr":%q,"domain":"milano-a","role":"endpoint","state":%q}`, name, addr, state))
}

// tellPlatform posts to the platform stand-in.
func (c *cluster) tellPlatform(path, body string) {
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

// awaitLeaving waits until every daemon knows that an endpoint is leaving.
func (c *cluster) awaitLeaving(name string) {
	c.t.Helper()
	for i := range daemons {
		c.eventually(func() bool {
			for _, e := range c.status(i).Endpoints {
				if e.Name == name {
					return e.Leaving
				}
			}
			return false
		})
	}
}

// A VM that the list calls leaving gets no new work, whether the change comes by
// the watch, or the watch is silent, or the platform was away.
func TestLeavingVMIsFound(t *testing.T) {
	for name, disturb := range map[string]string{
		"watched":         `{}`,
		"watch is silent": `{"watch_silent":true}`,
		"calls are slow":  `{"delay_ms":300}`,
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t)
			c.setVM("vm-other", "10.0.0.1", "leaving")
			c.setVM("vm-0", c.engineAddr(0), "live")
			c.tellPlatform("/faults", disturb)
			c.setVM("vm-0", c.engineAddr(0), "leaving")
			c.awaitLeaving("engine-0")
		})
	}
	t.Run("outage", func(t *testing.T) {
		c := newCluster(t)
		c.tellPlatform("/faults", `{"outage":true}`)
		c.setVM("vm-1", c.engineAddr(1), "leaving")
		c.tellPlatform("/faults", `{"outage":false}`)
		c.awaitLeaving("engine-1")
	})
}

// A VM that began to leave before the manifest placed an endpoint on it counts
// once the manifest does.
func TestLeavingVMCountsForLaterEndpoints(t *testing.T) {
	c := newCluster(t)
	c.setVM("vm-late", "127.0.0.1:9", "leaving")
	c.setVM("vm-0", c.engineAddr(0), "leaving")
	c.awaitLeaving("engine-0") // The list has been read.
	assert.NilError(t, c.Apply(t.Context(), c.Manifest+
		"[endpoint engine-late]\nkind = engine\ndomain = milano-a\naddr = 127.0.0.1:9\nmodels = redazione@v1\n"+
		"memory_tokens = 100000\nblock_tokens = 16\nmax_batch = 1024\n"))
	c.awaitLeaving("engine-late")
}
