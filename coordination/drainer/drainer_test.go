package drainer

import (
	"os"
	"testing"
	"time"

	"monsoonspar.example/state/seeder"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { os.Exit(seeder.Main(m, 1000)) }

func TestDaemonShutdownSimulations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := simulateDaemonShutdown(t, disabledRules{}); err != nil {
			t.Fatal(err)
		}
	})
}

func TestEndpointShutdownSimulations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := simulateEndpointShutdowns(t, disabledTrackerRules{}); err != nil {
			t.Fatal(err)
		}
	})
}

// TestMechanismsAreNeeded checks that the simulations fail when any one rule is
// disabled.
func TestMechanismsAreNeeded(t *testing.T) {
	daemonShutdown := func(disabled disabledRules) func(*rapid.T) error {
		return func(t *rapid.T) error { return simulateDaemonShutdown(t, disabled) }
	}
	endpointShutdowns := func(disabled disabledTrackerRules) func(*rapid.T) error {
		return func(t *rapid.T) error { return simulateEndpointShutdowns(t, disabled) }
	}
	for _, tc := range []struct {
		name     string
		simulate func(*rapid.T) error
		want     string
	}{
		{"accept requests during the balancer lag", daemonShutdown(disabledRules{acceptDuringLag: true, acceptUntilIdle: true}), "a connection is refused"},
		{"accept requests until no more arrive", daemonShutdown(disabledRules{acceptUntilIdle: true}), "a connection is refused"},
		{"wait for the last response", daemonShutdown(disabledRules{waitForRequests: true}), "nothing_cut_off"},
		{"ignore signals after the first", daemonShutdown(disabledRules{ignoreLaterSignals: true}), "exit interrupts"},
		{"bound the waits for peers and the platform", daemonShutdown(disabledRules{boundedWaits: true}), "no exit"},
		{"a shutdown is irreversible within a boot", endpointShutdowns(disabledTrackerRules{irreversible: true}), "accepts work"},
		{"ignore updates about the previous boot", endpointShutdowns(disabledTrackerRules{ignorePreviousBoot: true}), "boot"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			seed, err := seeder.FirstFailure(tc.simulate, tc.want, 1000)
			assert.Assert(t, err != nil, "no simulation fails")
			t.Logf("seed %d: %v", seed, err)
		})
	}
}

var begin = time.Unix(100, 0)

func TestRequestsAreRejectedWhenTheBalancerNeverNotices(t *testing.T) {
	d := New(DefaultSettings())
	d.Signal(begin)
	now := begin
	for ; now.Sub(begin) < DefaultSettings().AcceptTimeout; now = now.Add(time.Second) {
		assert.Equal(t, len(d.Tick(now, Status{Requests: 1, LastArrival: now})), 0)
	}
	assert.DeepEqual(t, d.Tick(now, Status{Requests: 1, LastArrival: now}), []Action{RejectRequests})
	assert.DeepEqual(t, d.Tick(now, Status{Requests: 1, LastArrival: now}), []Action{CloseListener})
	assert.Equal(t, d.Phase(), PhaseFinishing)
}

func TestSecondSignalIsCounted(t *testing.T) {
	d := New(DefaultSettings())
	assert.DeepEqual(t, d.Signal(begin), []Action{MarkNotReady, HandOver})
	assert.Equal(t, len(d.Signal(begin)), 0)
	assert.Equal(t, d.Signals(), 2)
	assert.Equal(t, d.Phase(), PhaseNotReady)
}

func TestDeadlineExpiresOnce(t *testing.T) {
	tracker := NewShutdownTracker()
	assert.Assert(t, tracker.MarkShuttingDown(begin, "e1", "", time.Minute))
	assert.Assert(t, !tracker.MarkShuttingDown(begin, "e1", "", 30*time.Second))
	assert.Assert(t, tracker.MarkShuttingDown(begin, "e2", "", 0))
	assert.Equal(t, len(tracker.Expired(begin.Add(29*time.Second))), 0)
	assert.DeepEqual(t, tracker.Expired(begin.Add(30*time.Second)), []string{"e1"})
	assert.Equal(t, len(tracker.Expired(begin.Add(time.Hour))), 0)
	tracker.Forget("e1")
	assert.Assert(t, tracker.AcceptsNewWork("e1"))
}

func TestSettingsValidation(t *testing.T) {
	assert.NilError(t, DefaultSettings().Validate())
	assert.ErrorIs(t, Settings{BalancerLag: time.Second}.Validate(), ErrBadSettings)
}

func BenchmarkTick(b *testing.B) {
	b.ReportAllocs()
	d := New(DefaultSettings())
	d.Signal(begin)
	for b.Loop() {
		d.Tick(begin, Status{Requests: 100, LastArrival: begin})
	}
}

func BenchmarkAcceptsNewWork(b *testing.B) {
	b.ReportAllocs()
	tracker := NewShutdownTracker()
	tracker.MarkShuttingDown(begin, "e1", "", 0)
	for b.Loop() {
		tracker.AcceptsNewWork("e2")
	}
}
