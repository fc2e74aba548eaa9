package placer_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonspar.example/coordination/placer"
	"monsoonspar.example/state/registrar"
)

// onTimeShare returns the fraction of the clients that had their first event on time and a
// complete answer.
func onTimeShare(clients []*client) float64 {
	n := 0
	for _, c := range clients {
		if c.answered && !c.firstEventAt.IsZero() && c.firstEventAt.Sub(c.arrived) <= c.kind.target {
			n++
		}
	}
	return float64(n) / float64(max(len(clients), 1))
}

// Guards against prompts that are placed on slow engines as if these were as fast as the others, so
// that their first events are late. The load is 7.4 drafts and 8.4 checks a second at 12 engines
// with speeds of 0.7, 0.7 and 1.7.
func TestFirstEventsOnEnginesOfDifferentSpeed(t *testing.T) {
	share, n := 0.0, 0.0
	for seed := range uint64(4) {
		f := playSpeeds(seed+1, []float64{0.7, 0.7, 1.7, 0.7, 0.7, 1.7, 0.7, 0.7, 1.7, 0.7, 0.7, 1.7}, draftsAndChecks())
		share += onTimeShare(f.clients) * float64(len(f.clients))
		n += float64(len(f.clients))
		if seed > 0 {
			continue
		}
		for i, e := range engines(12, "a") {
			speed := f.daemons[0].Speeds()[e.Identity]
			t.Logf("engine %d: speed %.2f", i, speed)
			assert.Assert(t, (i%3 == 2) == (speed > 1), "engine %d: %.2f", i, speed)
		}
	}
	t.Logf("%.4f of %.0f on time", share/n, n)
	assert.Assert(t, share/n >= 0.99, "%.4f", share/n)
}

// Guards against noise in reports and first events that makes engines look different: the decisions
// among engines that are alike have to stay as they are. The load is 7.4 drafts and 8.4 checks a
// second at 12 engines of the usual speed.
func TestAlikeEnginesHaveTheConfiguredSpeed(t *testing.T) {
	for seed := range uint64(2) {
		f := playSpeeds(seed+1, make([]float64, 12), draftsAndChecks())
		different := 0
		for _, p := range f.daemons {
			for _, speed := range p.Speeds() {
				if speed != 1 {
					different++
					t.Logf("seed %d: speed %v", seed, speed)
				}
			}
		}
		assert.Equal(t, different, 0)
	}
}

// Guards against a speed that does not follow the engine: one of four is four times slower between
// 10 s and 20 s. The load is 8 sequences on each engine, reported every 400 ms.
func TestSpeedFollowsTheEngine(t *testing.T) {
	all := engines(4, "a")
	p := newPlacer(1, all)
	tokens := map[registrar.Identity]float64{}
	adapted, recovered := time.Duration(0), time.Duration(0)
	for at := time.Duration(0); at < 40*time.Second; at += 400 * time.Millisecond {
		now := start.Add(at)
		for i, e := range all {
			step := 10.0
			if i == 0 && at >= 10*time.Second && at < 20*time.Second {
				step = 40
			}
			tokens[e.Identity] += 400 / step
			r := placer.Report{Running: 8}
			for s := range 8 {
				r.Sequences = append(r.Sequences, placer.Sequence{ID: fmt.Sprint(e.Name, "-", s), Tokens: 3000 + int(tokens[e.Identity]), Events: 5})
			}
			p.Observe(e.Identity, r, now)
		}
		p.Submit(job(fmt.Sprint("j", at), 3000, 0, now), nil, now)
		p.RecordEnd(job(fmt.Sprint("j", at), 3000, 0, now), 500, true, now)
		speed := p.Speeds()[all[0].Identity]
		if adapted == 0 && speed > 0 && speed < 0.4 {
			adapted = at - 10*time.Second
		}
		if adapted > 0 && recovered == 0 && at > 20*time.Second && math.Abs(speed-1) < 0.2 {
			recovered = at - 20*time.Second
		}
	}
	t.Logf("slow after %v, recovered after %v", adapted, recovered)
	assert.Assert(t, adapted > 0 && adapted <= 5*time.Second, "%v", adapted)
	assert.Assert(t, recovered > 0 && recovered <= 8*time.Second, "%v", recovered)
}

// BenchmarkSubmitDifferentSpeeds measures a placement among 57 engines, a third of them fast.
func BenchmarkSubmitDifferentSpeeds(b *testing.B) {
	all := engines(57, "a")
	p := newPlacer(1, all)
	now := start
	for i := range 40 {
		now = now.Add(400 * time.Millisecond)
		for k, e := range all {
			r := placer.Report{Running: 8, MemoryUsed: 8000}
			for s := range 8 {
				r.Sequences = append(r.Sequences, placer.Sequence{ID: fmt.Sprint(e.Name, "-", s), Tokens: 1000 + i*40*(1+k%3/2), Events: 5})
			}
			p.Observe(e.Identity, r, now)
		}
	}
	b.ReportAllocs()
	for i := range b.N {
		j := job(fmt.Sprint(i), 1000, 0, now)
		p.Submit(j, nil, now)
		p.Withdraw(j.ID)
		p.RecordEnd(j, 0, false, now)
		p.TakeUpdates()
		now = now.Add(time.Millisecond)
	}
}
