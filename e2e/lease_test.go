package e2e_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// orderReport lists the orders that an engine has received.
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

// leaseHolder returns the candidate that holds the lease, if there is one.
func (c *cluster) leaseHolder(candidates ...int) (int, bool) {
	for _, i := range candidates {
		s, err := c.daemons[i].status()
		if err == nil && s.Lease.Held {
			return i, true
		}
	}
	return 0, false
}

// withExtraVersion returns a manifest in which engine 0 also has a second version
// of the model.
func (c *cluster) withExtraVersion(maxThousands int, version string) string {
	text := strings.Replace(c.renderManifest(maxThousands), "versions = 2026-11\n", "versions = 2026-11, "+version+"\n", 1)
	models := "models = " + model + "@2026-11"
	return strings.Replace(text, models, models+", "+model+"@"+version, 1)
}

// A lease holder that is paused loses the lease to another daemon, which issues
// the next orders. When the former holder continues, it must not issue orders
// with its stale fencing token, whether or not the engines check tokens.
func TestPausedLeaseHolderSendsNoOrders(t *testing.T) {
	for _, checksFence := range []bool{true, false} {
		t.Run(fmt.Sprintf("engines check fences %t", checksFence), func(t *testing.T) {
			var args []string
			if checksFence {
				args = []string{"--checks-fence"}
			}
			c := startCluster(t, clusterConfig{daemons: 2, engines: 1, engineArgs: args})
			first := 0
			waitFor(t, "a lease holder", func() bool {
				var ok bool
				first, ok = c.leaseHolder(0, 1)
				return ok
			})
			c.apply(c.withExtraVersion(11, "2026-12"))
			waitFor(t, "the first order", func() bool { return len(c.orders(0).Orders) == 1 })
			c.daemons[first].signal(syscall.SIGSTOP)
			c.apply(c.withExtraVersion(12, "2027-01"))
			waitFor(t, "the other daemon to hold the lease", func() bool {
				_, ok := c.leaseHolder(1 - first)
				return ok
			})
			waitFor(t, "an order of the new lease holder", func() bool { return len(c.orders(0).Orders) >= 2 })
			c.daemons[first].signal(syscall.SIGCONT)
			waitFor(t, "the paused daemon to notice that it lost the lease", func() bool {
				s, err := c.daemons[first].status()
				return err == nil && !s.Lease.Held && s.Generation == 3
			})
			fence := uint64(0)
			for _, o := range c.orders(0).Orders {
				assert.Assert(t, o.Fence >= fence, "an order with fencing token %d was received after one with %d", o.Fence, fence)
				assert.Assert(t, o.Accepted)
				fence = o.Fence
			}
		})
	}
}
