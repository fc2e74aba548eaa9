package placer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonspar.example/coordination/placer"
)

// resumedJob returns a job of which the client has received the given number of output tokens, and
// which is read again with them.
func resumedJob(id string, prompt, output int, now time.Time) placer.Job {
	j := job(id, prompt, 1, now)
	j.OutputTokens = output
	return j
}

// Guards against a job that is resumed without a copy and counts as a new one: its output so far is
// read again before its first event, and a job that can't wait for that must not be placed behind it.
func TestResumedJobIsReadWithItsOutput(t *testing.T) {
	for output, fits := range map[int]bool{0: true, 4000: false} {
		p := newPlacer(1, engines(1, "a"))
		_, placed := p.Submit(resumedJob("r", 3000, output, start), nil, start)
		assert.Assert(t, placed)
		next := job("n", 700, 1, start)
		next.FirstEventDue = start.Add(800 * time.Millisecond)
		_, placed = p.Submit(next, nil, start)
		assert.Equal(t, placed, fits, "behind %d tokens of output", output)
	}
}

// Guards against peers that forecast a resumed job as a new one: they would place more on its engine
// than fits.
func TestPeersForecastResumedJobAlike(t *testing.T) {
	for output, fits := range map[int]bool{0: true, 8000: false} {
		all := engines(1, "a")
		own, peer := newPlacer(1, all), newPlacer(2, all)
		_, placed := own.Submit(resumedJob("r", 10_000, output, start), nil, start)
		assert.Assert(t, placed)
		peer.ApplyUpdates(own.TakeUpdates(), start)
		for name, p := range map[string]*placer.Placer{"own": own, "peer": peer} {
			_, placed := p.Submit(jobWithPrompt("n-"+name, 16_000), nil, start)
			assert.Equal(t, placed, fits, "%s: beside %d tokens of output", name, output)
		}
	}
}

// jobWithPrompt returns a job whose placement depends on memory alone.
func jobWithPrompt(id string, prompt int) placer.Job {
	j := jobWithLateTarget(id, 1, start)
	j.PromptTokens = prompt
	return j
}
