package router_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"monsoonspar.example/coordination/router"
	"monsoonspar.example/state/cataloger"
)

var (
	placement = cataloger.Placement{Model: "redattore", Version: "1"}
	target    = router.Target{Placement: placement}
	start     = time.Unix(0, 0).UTC()
)

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }

func declared(n, domains int) []cataloger.Endpoint {
	es := make([]cataloger.Endpoint, n)
	for i := range es {
		es[i] = cataloger.Endpoint{
			Name:   fmt.Sprintf("e%03d", i),
			Domain: fmt.Sprintf("d%d", i%domains),
			Models: []cataloger.Placement{placement},
		}
	}
	return es
}

func newRouter(n, domains int) *router.Router {
	r := router.New(router.Config{Domain: "d0"})
	r.SetEndpoints(declared(n, domains))
	return r
}

func names(cs []router.Candidate) []string {
	var ns []string
	for _, c := range cs {
		ns = append(ns, c.Endpoint)
	}
	return ns
}

func ExampleRouter() {
	r := router.New(router.Config{Domain: "milano-a"})
	r.SetEndpoints([]cataloger.Endpoint{
		{Name: "e1", Domain: "milano-a", Models: []cataloger.Placement{placement}},
		{Name: "e2", Domain: "milano-a", Models: []cataloger.Placement{placement}},
	})
	now := time.Unix(0, 0)
	rnd := rand.New(rand.NewPCG(1, 1))
	cs, err := r.Candidates(router.Request{Target: target, PrefixHash: 7}, rnd, now)
	if err != nil {
		panic(err)
	}
	estimates := []router.Estimate{
		{Candidate: cs[0], Wait: 80 * time.Millisecond, CachedTokens: 600},
		{Candidate: cs[1], Wait: 40 * time.Millisecond},
	}
	i, _ := r.Best(estimates)
	fmt.Println(len(cs), "candidates, the cached prefix wins:", i == 0)
	// Output: 2 candidates, the cached prefix wins: true
}

func TestLocalDomainIsPreferred(t *testing.T) {
	r := newRouter(30, 3)
	rnd := newRand(1)
	for i := range 200 {
		cs, err := r.Candidates(router.Request{Target: target, PrefixHash: uint64(i)}, rnd, start)
		assert.NilError(t, err)
		assert.Equal(t, len(cs), 2)
		assert.Assert(t, cs[0].Endpoint != cs[1].Endpoint)
		assert.Equal(t, cs[0].Domain, "d0")
		assert.Equal(t, cs[1].Domain, "d0")
	}
}

func TestRemoteDomainIsUsedWhenItsWaitIsShorter(t *testing.T) {
	r := newRouter(4, 2) // e000 and e002 are in the local failure domain.
	r.ObserveWait("e000", time.Second, start)
	r.ObserveWait("e002", time.Second, start)
	req := router.Request{Target: target, PrefixHash: 3}
	cs, err := r.Candidates(req, newRand(1), start)
	assert.NilError(t, err)
	assert.Equal(t, cs[0].Domain, "d0")
	assert.Equal(t, cs[1].Domain, "d1")

	later := start.Add(time.Second) // The forecast waits have passed.
	cs, err = r.Candidates(req, newRand(1), later)
	assert.NilError(t, err)
	assert.Equal(t, cs[1].Domain, "d0")
}

func TestAffinityIsStableWhenAnEndpointShutsDown(t *testing.T) {
	r := newRouter(12, 1)
	first := func(key uint64) string {
		cs, err := r.Candidates(router.Request{Target: target, PrefixHash: key}, newRand(key), start)
		assert.NilError(t, err)
		return cs[0].Endpoint
	}
	before := map[uint64]string{}
	for key := uint64(1); key <= 500; key++ {
		before[key] = first(key)
	}
	r.MarkShuttingDown("e004", "")
	for key, was := range before {
		if was == "e004" {
			assert.Assert(t, first(key) != "e004")
			continue
		}
		assert.Equal(t, first(key), was)
	}
}

func TestNoCandidate(t *testing.T) {
	r := newRouter(1, 1)
	rnd := newRand(1)
	other := router.Target{Placement: cataloger.Placement{Model: "altro"}}
	for _, req := range []router.Request{
		{Target: other},
		{Target: target, Exclude: []string{"e000"}},
	} {
		_, err := r.Candidates(req, rnd, start)
		assert.ErrorIs(t, err, router.ErrNoCandidate)
	}
	r.MarkNotReady("e000", target)
	_, err := r.Candidates(router.Request{Target: target}, rnd, start)
	assert.ErrorIs(t, err, router.ErrNoCandidate)
	r.Observe(router.EndpointStatus{Endpoint: "e000", BootID: "b1", Ready: []cataloger.Placement{placement}})
	_, err = r.Candidates(router.Request{Target: target}, rnd, start)
	assert.NilError(t, err)
}

func TestShutdownLastsUntilANewBoot(t *testing.T) {
	ready := []cataloger.Placement{placement}
	tests := []struct {
		name         string
		apply        func(r *router.Router)
		shuttingDown bool
	}{
		{"VM list", func(r *router.Router) { r.MarkShuttingDown("e000", "") }, true},
		{"rejection naming the boot", func(r *router.Router) { r.MarkShuttingDown("e000", "b1") }, true},
		{"later status of the same boot", func(r *router.Router) {
			r.MarkShuttingDown("e000", "b1")
			r.Observe(router.EndpointStatus{Endpoint: "e000", BootID: "b1", Ready: ready})
		}, true},
		{"new boot", func(r *router.Router) {
			r.MarkShuttingDown("e000", "b1")
			r.Observe(router.EndpointStatus{Endpoint: "e000", BootID: "b2", Ready: ready})
		}, false},
		{"late shutdown notice for the old boot", func(r *router.Router) {
			r.Observe(router.EndpointStatus{Endpoint: "e000", BootID: "b2", Ready: ready})
			r.MarkShuttingDown("e000", "b1")
		}, false},
		{"late status of the old boot", func(r *router.Router) {
			r.Observe(router.EndpointStatus{Endpoint: "e000", BootID: "b2", Ready: ready})
			r.Observe(router.EndpointStatus{Endpoint: "e000", BootID: "b1", ShuttingDown: true})
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRouter(1, 1)
			r.Observe(router.EndpointStatus{Endpoint: "e000", BootID: "b1", Ready: ready})
			tt.apply(r)
			assert.Equal(t, r.ShuttingDown("e000"), tt.shuttingDown)
			_, err := r.Candidates(router.Request{Target: target}, newRand(1), start)
			assert.Equal(t, err != nil, tt.shuttingDown)
		})
	}
}

func TestEjectionAndSingleProbe(t *testing.T) {
	r := newRouter(3, 1)
	for range 3 {
		r.ReportFailure("e000", start)
		r.ReportFailure("e001", start)
	}
	assert.Assert(t, r.Ejected("e000"))
	assert.Assert(t, !r.Ejected("e001"), "would eject more than half of three endpoints")

	due := start.Add(5 * time.Second)
	probes := func(now time.Time) (n int) {
		for key := range uint64(20) {
			cs, err := r.Candidates(router.Request{Target: target, PrefixHash: key}, newRand(key), now)
			assert.NilError(t, err)
			for _, c := range cs {
				if c.Probe {
					n++
				}
			}
		}
		return n
	}
	assert.Equal(t, probes(due.Add(-time.Millisecond)), 0)
	assert.Equal(t, probes(due), 1)
	r.ReportFailure("e000", due)
	assert.Equal(t, probes(due.Add(9*time.Second)), 0, "the ejection time doubles")
	assert.Equal(t, probes(due.Add(10*time.Second)), 1)
	r.ReportSuccess("e000")
	assert.Assert(t, !r.Ejected("e000"))
}

func TestProbeIsPreferredUnlessRefused(t *testing.T) {
	r := newRouter(2, 1)
	estimates := []router.Estimate{
		{Candidate: router.Candidate{Endpoint: "e000", Domain: "d0"}},
		{Candidate: router.Candidate{Endpoint: "e001", Domain: "d0", Probe: true}, Wait: time.Second},
	}
	i, ok := r.Best(estimates)
	assert.Assert(t, ok)
	assert.Equal(t, i, 1)
	estimates[1].Refused = true
	i, ok = r.Best(estimates)
	assert.Assert(t, ok)
	assert.Equal(t, i, 0)
	estimates[0].Refused = true
	_, ok = r.Best(estimates)
	assert.Assert(t, !ok)
}

// TestRandomEvents checks after random events that no endpoint is selected that
// is shutting down, unreachable or excluded, and that at most half of a pool is
// ejected.
func TestRandomEvents(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 9).Draw(rt, "endpoints")
		r := newRouter(n, 3)
		rnd := newRand(rapid.Uint64().Draw(rt, "seed"))
		now := start
		unreachable := map[string]bool{}
		for range rapid.IntRange(1, 80).Draw(rt, "steps") {
			name := fmt.Sprintf("e%03d", rapid.IntRange(0, n-1).Draw(rt, "endpoint"))
			switch rapid.IntRange(0, 6).Draw(rt, "event") {
			case 0:
				r.MarkShuttingDown(name, "")
			case 1:
				boot := fmt.Sprint(rapid.IntRange(0, 9).Draw(rt, "boot"))
				r.Observe(router.EndpointStatus{Endpoint: name, BootID: boot, Ready: []cataloger.Placement{placement}})
			case 2:
				unreachable[name] = !unreachable[name]
				r.SetReachable(name, !unreachable[name])
			case 3:
				r.ReportSuccess(name)
			case 4:
				now = now.Add(time.Duration(rapid.IntRange(0, 20000).Draw(rt, "ms")) * time.Millisecond)
			default:
				r.ReportFailure(name, now)
			}
			live, ejected := 0, 0
			for _, d := range declared(n, 3) {
				if r.ShuttingDown(d.Name) || unreachable[d.Name] {
					continue
				}
				live++
				if r.Ejected(d.Name) {
					ejected++
				}
			}
			assert.Assert(rt, 2*ejected <= live)
			cs, err := r.Candidates(router.Request{Target: target, Exclude: []string{"e000"}}, rnd, now)
			if err != nil {
				continue
			}
			for _, c := range cs {
				assert.Assert(rt, !r.ShuttingDown(c.Endpoint) && !unreachable[c.Endpoint] && c.Endpoint != "e000")
				assert.Assert(rt, c.Probe == r.Ejected(c.Endpoint))
				r.CheckDispatch(c.Endpoint)
			}
		}
	})
}

// Guards against work on an endpoint that is shutting down, at a daemon that hears of
// the shutdown before it has put in force the manifest that declares the endpoint.
func TestShutdownIsKnownBeforeEndpointIsDeclared(t *testing.T) {
	for _, boot := range []string{"", "b1"} {
		r := newRouter(1, 1)
		r.MarkShuttingDown("e001", boot)
		r.SetEndpoints(declared(2, 1))
		assert.Assert(t, r.ShuttingDown("e001"))
		r.Observe(router.EndpointStatus{Endpoint: "e001", BootID: "b1"})
		r.Observe(router.EndpointStatus{Endpoint: "e001", BootID: "b2"}) // It has restarted.
		assert.Assert(t, !r.ShuttingDown("e001"))
	}
}

// An endpoint that is declared much later has nothing to do with the one whose
// shutdown was announced.
func TestShutdownOfUndeclaredEndpointIsForgotten(t *testing.T) {
	r := newRouter(1, 1)
	r.MarkShuttingDown("e001", "")
	for range 4 {
		r.SetEndpoints(declared(1, 1))
	}
	r.SetEndpoints(declared(2, 1))
	assert.Assert(t, !r.ShuttingDown("e001"))
}

func TestSendingDuringShutdownViolatesInvariant(t *testing.T) {
	r := newRouter(1, 1)
	r.MarkShuttingDown("e000", "")
	defer func() { assert.Assert(t, recover() != nil) }()
	r.CheckDispatch("e000")
}

func TestServiceCandidates(t *testing.T) {
	r := router.New(router.Config{Domain: "d0"})
	r.SetEndpoints([]cataloger.Endpoint{{Name: "s1", Domain: "d0", Service: "registro-app"}})
	r.Observe(router.EndpointStatus{Endpoint: "s1", BootID: "b1"})
	cs, err := r.Candidates(router.Request{Target: router.Target{Service: "registro-app"}}, newRand(1), start)
	assert.NilError(t, err)
	assert.DeepEqual(t, names(cs), []string{"s1"})
	r.SetEndpoints(nil)
	_, err = r.Candidates(router.Request{Target: router.Target{Service: "registro-app"}}, newRand(1), start)
	assert.ErrorIs(t, err, router.ErrNoCandidate)
}

func BenchmarkCandidates(b *testing.B) {
	for _, bm := range []struct{ endpoints, domains int }{{12, 3}, {100, 10}, {830, 10}, {830, 1}} {
		b.Run(fmt.Sprintf("endpoints=%d/domains=%d", bm.endpoints, bm.domains), func(b *testing.B) {
			r := newRouter(bm.endpoints, bm.domains)
			rnd := newRand(1)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if _, err := r.Candidates(router.Request{Target: target, PrefixHash: uint64(i)}, rnd, start); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
