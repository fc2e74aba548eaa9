package balancer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonspar.example/coordination/balancer"
	"monsoonspar.example/state/registrar"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func endpoints(n int) []registrar.Endpoint {
	var all []registrar.Endpoint
	for i := range n {
		all = append(all, registrar.Endpoint{Identity: registrar.Identity{Name: fmt.Sprint(i)}, Slots: 6, Domain: fmt.Sprint("zone-", i)})
	}
	return all
}

// sendRequests sends n requests one after the other and returns how many each
// endpoint got.
func sendRequests(b *balancer.Balancer, all []registrar.Endpoint, n int, result func(name string) balancer.Result) map[string]int {
	got := map[string]int{}
	now := start
	for range n {
		e, _ := b.Pick(all, nil, now)
		got[e.Name]++
		now = now.Add(25 * time.Millisecond)
		b.Done(e.Identity, result(e.Name), now)
	}
	return got
}

func newBalancer() *balancer.Balancer {
	return balancer.New("zone-0", rand.New(rand.NewPCG(1, 1)))
}

// An endpoint that fails two of five requests may still pass health probes. It must
// get few requests, and none while it is ejected.
func TestPartlyFailingEndpointGetsFewRequests(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 3))
	got := sendRequests(newBalancer(), endpoints(3), 1000, func(name string) balancer.Result {
		return balancer.Result{Failed: name == "1" && r.Float64() < 0.4, Latency: 15 * time.Millisecond}
	})
	assert.Assert(t, got["1"] < 150, "%v", got)
}

func TestSlowEndpointGetsFewRequests(t *testing.T) {
	got := sendRequests(newBalancer(), endpoints(3), 1000, func(name string) balancer.Result {
		if name == "2" {
			return balancer.Result{Latency: 120 * time.Millisecond}
		}
		return balancer.Result{Latency: 15 * time.Millisecond}
	})
	assert.Assert(t, got["2"] < 150, "%v", got)
}

func TestRecoveredEndpointGetsRequestsAgain(t *testing.T) {
	b, all := newBalancer(), endpoints(2)
	sendRequests(b, all, 50, func(name string) balancer.Result {
		return balancer.Result{Failed: name == "0", Latency: time.Millisecond}
	})
	later := start.Add(time.Hour)
	got := map[string]int{}
	for range 400 {
		e, _ := b.Pick(all, nil, later)
		got[e.Name]++
		later = later.Add(20 * time.Millisecond)
		b.Done(e.Identity, balancer.Result{Latency: time.Millisecond}, later)
	}
	assert.Assert(t, got["1"] > 0)
	e, ok := b.Pick(all, map[registrar.Identity]bool{all[1].Identity: true}, later)
	assert.Assert(t, ok && e.Name == "0")
}

// Guards against an endpoint that was slow or failed for a while and is never tried again, since
// the others are idle: it must get requests after it has recovered, and few before.
func TestIdleBalancerTriesPenalizedEndpointAgain(t *testing.T) {
	for name, bad := range map[string]balancer.Result{
		"slow":    {Latency: 150 * time.Millisecond},
		"failing": {Failed: true, Latency: 15 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			b, all := newBalancer(), endpoints(3)
			now := start
			send := func(d time.Duration, endpoint0 balancer.Result) (got, total int) {
				for end := now.Add(d); now.Before(end); total++ {
					e, _ := b.Pick(all, nil, now)
					r := balancer.Result{Latency: 15 * time.Millisecond}
					if e.Name == "0" {
						r = endpoint0
						got++
					}
					now = now.Add(50 * time.Millisecond)
					b.Done(e.Identity, r, now)
				}
				return got, total
			}
			got, total := send(10*time.Minute, bad)
			assert.Assert(t, got < total/100, "%d of %d while it is bad", got, total)
			send(5*time.Minute, balancer.Result{Latency: 15 * time.Millisecond})
			got, total = send(time.Minute, balancer.Result{Latency: 15 * time.Millisecond})
			assert.Assert(t, got > total/5, "%d of %d after it has recovered", got, total)
		})
	}
}

// Requests in flight count as load, so that a burst is spread over the endpoints.
func TestBurstIsSpread(t *testing.T) {
	b, all := newBalancer(), endpoints(3)
	got := map[string]int{}
	for range 18 {
		e, ok := b.Pick(all, nil, start)
		assert.Assert(t, ok)
		got[e.Name]++
	}
	for _, e := range all {
		assert.Assert(t, got[e.Name] >= 5, "%v", got)
	}
}

func TestAllEndpointsExcluded(t *testing.T) {
	all := endpoints(1)
	_, ok := newBalancer().Pick(all, map[registrar.Identity]bool{all[0].Identity: true}, start)
	assert.Assert(t, !ok)
}

// When all endpoints are unreachable, one request per probeInterval tries each of
// them, and Pick reports false at once for the others.
func TestUnreachableEndpointsAreProbed(t *testing.T) {
	b, all := newBalancer(), endpoints(2)
	tried := 0
	now := start
	for range 100 {
		if e, ok := b.Pick(all, nil, now); ok {
			tried++
			b.Done(e.Identity, balancer.Result{Unreachable: true}, now)
		}
		now = now.Add(10 * time.Millisecond)
	}
	assert.Assert(t, tried >= 6 && tried <= 10, "%d", tried)
	e, ok := b.Pick(all, nil, now.Add(time.Second))
	assert.Assert(t, ok)
	b.Done(e.Identity, balancer.Result{Latency: time.Millisecond}, now.Add(time.Second))
	for range 10 {
		_, ok = b.Pick(all, nil, now.Add(time.Second))
		assert.Assert(t, ok)
	}
}

// Guards against cold endpoints that get requests which warm ones can take, and against cold ones that
// get none while the warm ones are full.
func TestWarmEndpointsArePreferred(t *testing.T) {
	all := endpoints(3)
	all[0].RemainingWarmUp = time.Second // Of the daemon's own failure domain.
	got := sendRequests(newBalancer(), all, 100, func(string) balancer.Result { return balancer.Result{Latency: 15 * time.Millisecond} })
	assert.Equal(t, got["0"], 0, "%v", got)
	b := newBalancer()
	for range 2*6 + 2 {
		e, _ := b.Pick(all, nil, start)
		got[e.Name]++
	}
	assert.Assert(t, got["0"] > 0, "%v", got)
}

// Guards against a panic, which ends the process, when a goroutine that has read the clock gets no processor
// time until another one has recorded a load that is much newer.
func TestPickWithTimeBeforeNewestLoad(t *testing.T) {
	b, all := newBalancer(), endpoints(1)
	e, ok := b.Pick(all, nil, start)
	assert.Assert(t, ok)
	b.Done(e.Identity, balancer.Result{Latency: time.Millisecond, Load: &balancer.Load{Running: 2, Slots: 4}}, start.Add(3*time.Second))
	_, ok = b.Pick(all, nil, start)
	assert.Assert(t, ok)
}
