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

func TestHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := history(t, mechanisms{}); err != nil {
			t.Fatal(err)
		}
	})
}

func TestDepartureHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := departures(t, departureMechanisms{}); err != nil {
			t.Fatal(err)
		}
	})
}

// TestMechanismsAreNeeded shows that the histories fail without each mechanism.
func TestMechanismsAreNeeded(t *testing.T) {
	stop := func(off mechanisms) func(*rapid.T) error {
		return func(t *rapid.T) error { return history(t, off) }
	}
	leave := func(off departureMechanisms) func(*rapid.T) error {
		return func(t *rapid.T) error { return departures(t, off) }
	}
	for _, tc := range []struct {
		name string
		play func(*rapid.T) error
		want string
	}{
		{"accepting through the lag", stop(mechanisms{lag: true, quiet: true}), "a connection is refused"},
		{"accepting until arrivals end", stop(mechanisms{quiet: true}), "a connection is refused"},
		{"waiting for the last answer", stop(mechanisms{wait: true}), "nothing_cut_off"},
		{"later signals change nothing", stop(mechanisms{oneStop: true}), "exit cuts off"},
		{"waits for others are bounded", stop(mechanisms{timeouts: true}), "no exit"},
		{"the first news of a leave stands", leave(departureMechanisms{sticky: true}), "may start"},
		{"late news of an earlier life", leave(departureMechanisms{boots: true}), "life"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			seed, err := seeder.FirstFailure(tc.play, tc.want, 1000)
			assert.Assert(t, err != nil, "no history fails")
			t.Logf("seed %d: %v", seed, err)
		})
	}
}

var begin = time.Unix(100, 0)

func TestUnnoticedStopRefusesArrivalsInTheEnd(t *testing.T) {
	d := New(DefaultSettings())
	d.Signal(begin)
	now := begin
	for ; now.Sub(begin) < DefaultSettings().MaxLag; now = now.Add(time.Second) {
		assert.Equal(t, len(d.Tick(now, Status{Requests: 1, Arrived: now})), 0)
	}
	assert.DeepEqual(t, d.Tick(now, Status{Requests: 1, Arrived: now}), []Action{RefuseArrivals})
	assert.DeepEqual(t, d.Tick(now, Status{Requests: 1, Arrived: now}), []Action{CloseListener})
	assert.Equal(t, d.Phase(), PhaseEnding)
}

func TestSecondSignalIsCounted(t *testing.T) {
	d := New(DefaultSettings())
	assert.DeepEqual(t, d.Signal(begin), []Action{MarkNotReady, HandOver})
	assert.Equal(t, len(d.Signal(begin)), 0)
	assert.Equal(t, d.Signals(), 2)
	assert.Equal(t, d.Phase(), PhaseLagging)
}

func TestNoticeRunsOutOnce(t *testing.T) {
	d := NewDepartures()
	assert.Assert(t, d.Leave(begin, "e1", "", time.Minute))
	assert.Assert(t, !d.Leave(begin, "e1", "", 30*time.Second))
	assert.Assert(t, d.Leave(begin, "e2", "", 0))
	assert.Equal(t, len(d.Expired(begin.Add(29*time.Second))), 0)
	assert.DeepEqual(t, d.Expired(begin.Add(30*time.Second)), []string{"e1"})
	assert.Equal(t, len(d.Expired(begin.Add(time.Hour))), 0)
	d.Forget("e1")
	assert.Assert(t, d.MayStart("e1"))
}

func TestSettingsAreChecked(t *testing.T) {
	assert.NilError(t, DefaultSettings().Validate())
	assert.ErrorIs(t, Settings{Lag: time.Second}.Validate(), ErrBadSettings)
}

func BenchmarkTick(b *testing.B) {
	b.ReportAllocs()
	d := New(DefaultSettings())
	d.Signal(begin)
	for b.Loop() {
		d.Tick(begin, Status{Requests: 100, Arrived: begin})
	}
}

func BenchmarkMayStart(b *testing.B) {
	b.ReportAllocs()
	d := NewDepartures()
	d.Leave(begin, "e1", "", 0)
	for b.Loop() {
		d.MayStart("e2")
	}
}
