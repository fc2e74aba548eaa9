package gatekeeper_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonspar.example/coordination/gatekeeper"
	"monsoonspar.example/state/registrar"
)

var (
	startTime = time.Unix(1000, 0)
	endpoint  = registrar.Identity{Name: "e"}
)

// settled returns a Gatekeeper that has heard from two daemons, and the time.
func settled() (*gatekeeper.Gatekeeper, time.Time) {
	g := gatekeeper.New()
	now := startTime
	for range 3 {
		g.Report(endpoint, "a", 0, now)
		g.Report(endpoint, "b", 0, now)
		now = now.Add(gatekeeper.ReportInterval)
	}
	return g, now.Add(-gatekeeper.ReportInterval / 2)
}

// admitAll asks until it is denied and returns how many requests were admitted.
func admitAll(g *gatekeeper.Gatekeeper, a gatekeeper.Ask, share float64, now time.Time) int {
	n := 0
	for n < 100 && g.Admit(endpoint, a, share, now).Admitted {
		n++
	}
	return n
}

func ExampleGatekeeper_Brittle() {
	g := gatekeeper.New()
	now := time.Unix(1000, 0)
	g.Observe("app", 5, now)
	tolerance, _, ok := g.Brittle("app", now.Add(time.Second))
	fmt.Println(tolerance, ok)
	_, _, ok = g.Brittle("app", now.Add(time.Minute))
	fmt.Println(ok)
	// Output:
	// 5 true
	// false
}

func TestAdmitsNoMoreThanSlotsOfAllDaemons(t *testing.T) {
	g, now := settled()
	a := gatekeeper.Ask{Daemon: "a", Slots: 6, Tolerance: 5}
	b := gatekeeper.Ask{Daemon: "b", Slots: 6, Tolerance: 5}
	assert.Assert(t, g.Admit(endpoint, a, 1, now).Admitted)
	assert.Equal(t, admitAll(g, b, 1, now), 5)
	d := g.Admit(endpoint, a, 1, now)
	assert.Assert(t, !d.Admitted && d.RetryAfter > 0)
	g.Release(endpoint, "b", 6, false, now)
	assert.Equal(t, admitAll(g, a, 1, now), 1)
	a.Urgent = true
	assert.Assert(t, g.Admit(endpoint, a, 1, now).Admitted, "a run that goes on is refused")
}

func TestAdmitsShareOfPartitionedFleet(t *testing.T) {
	g, now := settled()
	assert.Equal(t, admitAll(g, gatekeeper.Ask{Daemon: "a", Slots: 6, Tolerance: 5}, 0.5, now), 3)
}

// Guards against rejections that end the endpoint although each daemon knows of its own only, and
// against an endpoint that has less room than slots.
func TestRejectionsStopRequestsForTheSecondInWhichTheyCount(t *testing.T) {
	g, now := settled()
	a := gatekeeper.Ask{Daemon: "a", Slots: 6, Tolerance: 5}
	assert.Equal(t, admitAll(g, a, 1, now), 6)
	for range 3 {
		g.Release(endpoint, "a", 6, true, now)
	}
	d := g.Admit(endpoint, a, 1, now)
	assert.Assert(t, !d.Admitted)
	assert.Equal(t, d.RetryAfter, time.Second)
	a.Urgent = true
	assert.Assert(t, !g.Admit(endpoint, a, 1, now).Admitted)
	a.Urgent = false
	now = now.Add(time.Second)
	more := admitAll(g, a, 1, now)
	assert.Assert(t, more < 3, "%d more", more)
	for range 9 {
		g.Report(endpoint, "a", 0, now)
		now = now.Add(gatekeeper.ReportInterval)
	}
	assert.Equal(t, admitAll(g, a, 1, now), 6)
}

// Guards against a daemon that begins to count, since another one was lost, and fills an endpoint that
// is full.
func TestBeginsCarefully(t *testing.T) {
	g := gatekeeper.New()
	assert.Equal(t, admitAll(g, gatekeeper.Ask{Daemon: "a", Slots: 6, Tolerance: 5}, 1, startTime), 3)
	g.Report(endpoint, "b", 4, startTime.Add(time.Second))
	assert.Equal(t, admitAll(g, gatekeeper.Ask{Daemon: "a", Slots: 6, Tolerance: 5}, 1, startTime.Add(2*time.Second)), 0)
}

// Guards against places that are lost for good with the messages of a daemon, or with the daemon.
func TestReportsMakeUpForLostMessages(t *testing.T) {
	g, now := settled()
	a := gatekeeper.Ask{Daemon: "a", Slots: 6, Tolerance: 5}
	assert.Equal(t, admitAll(g, a, 1, now), 6)
	g.Report(endpoint, "a", 2, now)
	assert.Equal(t, admitAll(g, a, 1, now), 4)
	now = now.Add(4 * gatekeeper.ReportInterval)
	assert.Equal(t, admitAll(g, gatekeeper.Ask{Daemon: "b", Slots: 6, Tolerance: 5}, 1, now), 6)
}

// Guards against a fleet that makes brittle endpoints reject requests at loads around and far above
// their room: on virtual time, with messages that are lost and an admitting daemon that is replaced.
func TestFleetDoesNotFillBrittleEndpoint(t *testing.T) {
	const slots, daemons, tolerance = 6, 60, 1
	for seed := range uint64(8) {
		r := rand.New(rand.NewPCG(seed, 1))
		g := gatekeeper.New()
		now := startTime
		type request struct {
			daemon string
			ends   time.Time
		}
		var running []request
		worst, served, rejected := 0, 0, []time.Time{}
		counts := map[string]int{}
		for now.Sub(startTime) < 30*time.Second {
			now = now.Add(2 * time.Millisecond)
			if now.Sub(startTime) == 15*time.Second {
				g = gatekeeper.New() // Another daemon begins to count.
			}
			kept := running[:0]
			for _, q := range running {
				if now.Before(q.ends) {
					kept = append(kept, q)
					continue
				}
				counts[q.daemon]--
				if r.IntN(50) > 0 { // One message in fifty is lost.
					g.Release(endpoint, q.daemon, slots, false, now)
				}
			}
			running = kept
			if now.Sub(startTime)%gatekeeper.ReportInterval == 0 {
				for i := range daemons {
					name := fmt.Sprint(i)
					g.Report(endpoint, name, counts[name], now)
				}
			}
			if r.IntN(5) > 0 { // 400 requests a second.
				name := fmt.Sprint(r.IntN(daemons))
				if !g.Admit(endpoint, gatekeeper.Ask{Daemon: name, Slots: slots, Tolerance: tolerance}, 1, now).Admitted {
					continue
				}
				if len(running) >= slots {
					g.Release(endpoint, name, slots, true, now)
					rejected = append(rejected, now)
					for now.Sub(rejected[0]) > time.Second {
						rejected = rejected[1:]
					}
					worst = max(worst, len(rejected))
					continue
				}
				counts[name]++
				running = append(running, request{name, now.Add(time.Duration(50+r.IntN(100)) * time.Millisecond)})
				served++
			}
		}
		t.Logf("seed %d: %d served of %d possible, at most %d rejections in a second", seed, served, 30*slots*10, worst)
		assert.Check(t, worst <= tolerance, "seed %d: %d rejections in a second", seed, worst)
		assert.Check(t, served > 30*slots*10/2, "seed %d: %d served", seed, served)
	}
}
