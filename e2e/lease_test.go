package e2e_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// orderReport is what an engine was told.
type orderReport struct {
	Orders []struct {
		Kind     string `json:"kind"`
		Version  string `json:"version"`
		Fence    uint64 `json:"fence"`
		Accepted bool   `json:"accepted"`
	} `json:"orders"`
}

func (c *cluster) orders(engine int) orderReport {
	c.t.Helper()
	var r orderReport
	_, body := get("http://" + c.engines[engine].addr("listening") + "/orders")
	assert.NilError(c.t, json.Unmarshal([]byte(body), &r))
	return r
}

// leaseHolder returns the daemon that holds the lease, if one of those named does.
func (c *cluster) leaseHolder(among ...int) (int, bool) {
	for _, i := range among {
		s, err := c.daemons[i].status()
		if err == nil && s.Lease.Held {
			return i, true
		}
	}
	return 0, false
}

// withVersions returns the manifest with engine 0 holding a second version.
func (c *cluster) withVersions(generation int, version string) string {
	text := strings.Replace(c.renderManifest(generation), "versions = 2026-11\n", "versions = 2026-11, "+version+"\n", 1)
	models := "models = " + model + "@2026-11"
	return strings.Replace(text, models, models+", "+model+"@"+version, 1)
}

// A holder of the lease that is paused loses it to another daemon, which gives
// the orders that follow. Once it wakes it gives none under its old number.
func TestPausedLeaseHolderGivesNoOrders(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		t.Run(fmt.Sprintf("engines check fences %t", fenced), func(t *testing.T) {
			var args []string
			if fenced {
				args = []string{"--checks-fence"}
			}
			c := startCluster(t, layout{daemons: 2, engines: 1, engineArgs: args})
			first := 0
			waitFor(t, "a lease holder", func() bool {
				var ok bool
				first, ok = c.leaseHolder(0, 1)
				return ok
			})
			c.apply(c.withVersions(11, "2026-12"))
			waitFor(t, "the first order", func() bool { return len(c.orders(0).Orders) == 1 })
			c.daemons[first].signal(syscall.SIGSTOP)
			c.apply(c.withVersions(12, "2027-01"))
			waitFor(t, "the other daemon to hold the lease", func() bool {
				_, ok := c.leaseHolder(1 - first)
				return ok
			})
			waitFor(t, "its order", func() bool { return len(c.orders(0).Orders) >= 2 })
			c.daemons[first].signal(syscall.SIGCONT)
			waitFor(t, "the paused daemon to know", func() bool {
				s, err := c.daemons[first].status()
				return err == nil && !s.Lease.Held && s.Generation == 3
			})
			fence := uint64(0)
			for _, o := range c.orders(0).Orders {
				assert.Assert(t, o.Fence >= fence, "an order with number %d came after one with %d", o.Fence, fence)
				assert.Assert(t, o.Accepted)
				fence = o.Fence
			}
		})
	}
}
