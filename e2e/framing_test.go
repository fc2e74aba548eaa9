package e2e_test

import (
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"monsoonspar.example/standin/caller"
)

// Guards against half a body that reaches its caller as complete: the process of the service
// is killed, which closes its connections like a whole response does.
func TestUnframedReplyOfKilledServiceIsNotComplete(t *testing.T) {
	for name, key := range map[string]string{"without key": "", "with key": "k"} {
		t.Run(name, func(t *testing.T) {
			c := startCluster(t, clusterConfig{daemons: 1, engines: 1})
			setFaults(t, c.service, "listening", `{"unframed":true,"body_pause_ms":60000}`)
			var result caller.Result
			var group conc.WaitGroup
			group.Go(func() { result = c.caller.Do(t.Context(), c.filingCall(0, "r1", key)) })
			waitFor(t, "the call to run", func() bool { return c.runCount("r1") == 1 })
			time.Sleep(100 * time.Millisecond) // The daemon reads the first half.
			c.service.kill()
			group.Wait()
			assert.NilError(t, result.Err)
			assert.Equal(t, result.Outcome, "unknown", result.Text)
			if key != "" {
				assert.Equal(t, c.caller.Do(t.Context(), c.filingCall(0, "r1", key)).Outcome, "unknown")
			}
		})
	}
}
