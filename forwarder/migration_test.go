package forwarder

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonspar.example/coordination/evacuator"
	"monsoonspar.example/coordination/placer"
	"monsoonspar.example/state/registrar"
)

// When an engine is reclaimed, a run waits for the runs ahead of it as long as the
// notice leaves time for itself and the runs behind it. If it does not, the run
// starts at its planned time.
func TestLatestStartLeavesTimeForAll(t *testing.T) {
	const migrationTime = 250 * time.Millisecond
	start := func(ahead, behind int, notice time.Duration) time.Duration {
		return latestStart(placer.EvacuationTurn{StartAfter: time.Duration(ahead) * migrationTime, TimeNeeded: time.Duration(1+behind) * migrationTime}, notice)
	}
	assert.Equal(t, start(0, 5, evacuator.MinNotice), time.Duration(0))
	assert.Equal(t, start(1, 1, evacuator.MinNotice), maxTurnDelayFactor*migrationTime)
	assert.Equal(t, start(2, 1, evacuator.MinNotice), evacuator.MinNotice-minMigrationTime-2*migrationTime)
	assert.Equal(t, start(4, 2, evacuator.MinNotice), 4*migrationTime)
}

// Guards against a second run that continues a run which another one on the same engine has
// replaced since.
func TestReplacedRunIsNotContinued(t *testing.T) {
	e := registrar.Endpoint{Identity: registrar.Identity{Name: "i-1"}}
	source := run{engine: e, state: &runState{}}
	s := &stream{run: run{engine: e, state: &runState{}}}
	started := false
	err := s.startReplacement(source, errEngineShuttingDown, func() (run, error) { started = true; return run{}, errNoCopy })
	assert.ErrorIs(t, err, errBeingResumed)
	assert.Assert(t, !started)
}
