package forwarder

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonspar.example/coordination/placer"
)

// Reclaim: a run waits for those ahead as long as there is time for it and for
// those behind it, and starts when its turn should be if there is not.
func TestLatestStartLeavesTimeForAll(t *testing.T) {
	const copying = 250 * time.Millisecond
	start := func(ahead, behind int, notice time.Duration) time.Duration {
		return latestStart(placer.EvacuationTurn{StartAfter: time.Duration(ahead) * copying, TimeNeeded: time.Duration(1+behind) * copying}, notice)
	}
	assert.Equal(t, start(0, 5, noticeTime), time.Duration(0))
	assert.Equal(t, start(1, 1, noticeTime), patientTurns*copying)
	assert.Equal(t, start(2, 1, noticeTime), noticeTime-moveGiveUp-2*copying)
	assert.Equal(t, start(4, 2, noticeTime), 4*copying)
}
