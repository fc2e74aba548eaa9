package forwarder

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"monsoonspar.example/coordination/limiter"
	"monsoonspar.example/state/matcher"
	"monsoonspar.example/state/registrar"
	"monsoonspar.example/state/timekeeper"
)

// newColdForwarder returns a daemon that knows the endpoints of a service that are cold for 8 s
// after a start and can handle 4 requests per second then.
func newColdForwarder(t testing.TB, endpoints int) *Forwarder {
	cfg := Settings{Daemon: DaemonSettings{Name: "d", Domain: "z"}, Bounds: BoundSettings{ColdRatio: 1.5, ColdSlack: 5}}
	f := New(cfg, nil, nil, timekeeper.System{}, rand.New(rand.NewPCG(1, 1)), zerolog.Nop())
	t.Cleanup(f.Close)
	f.table.Store(matcher.NewTable(&matcher.Manifest{Version: 1, Services: map[string]matcher.Service{"s": {Name: "s", WarmUp: 8 * time.Second, ColdRate: 4}}}))
	for i := range endpoints {
		f.applyEndpoints([]EndpointChange{{Endpoint: registrar.Endpoint{
			Identity: registrar.Identity{Name: fmt.Sprint("e-", i), Started: 1}, Service: "s", Domain: "z", Slots: 6, Revision: int64(i + 1),
		}}})
	}
	return f
}

// Guards against endpoints of a failure domain that is used again and get the load of warm ones
// before their entries say that they are cold, and against entries written since that are ignored.
func TestReturnedFailureDomainCountsAsCold(t *testing.T) {
	f := newColdForwarder(t, 2)
	now := f.clock.Now()
	all := f.registry.Usable("s")
	e0, e1 := all[0], all[1]
	_, cold := f.coldRate(e0, now)
	assert.Assert(t, !cold)
	f.assumeCold("other", 5, now)
	_, cold = f.coldRate(e0, now)
	assert.Assert(t, !cold)
	f.assumeCold("z", 5, now)
	rate, cold := f.coldRate(e0, now)
	assert.Assert(t, cold && rate == 4)
	e1.Revision = 10 // Written since, and warm.
	f.applyEndpoints([]EndpointChange{{Endpoint: e1}})
	_, cold = f.coldRate(e1, f.clock.Now())
	assert.Assert(t, !cold)
	_, cold = f.coldRate(e0, now.Add(8*time.Second-1))
	assert.Assert(t, cold)
	_, cold = f.coldRate(e0, now.Add(8*time.Second))
	assert.Assert(t, !cold)
}

// Guards against an entry that says the same warm-up as the one before, and does not start it again.
func TestEntryThatIsColdAgainStartsTheWarmUp(t *testing.T) {
	f := newColdForwarder(t, 1)
	e := f.registry.Usable("s")[0]
	e.RemainingWarmUp = 50 * time.Millisecond
	for revision := range int64(2) {
		e.Revision = 10 + revision
		f.applyEndpoints([]EndpointChange{{Endpoint: e}})
		_, cold := f.coldRate(e, f.clock.Now())
		assert.Assert(t, cold)
		assert.NilError(t, f.clock.Sleep(f.ctx, e.RemainingWarmUp))
		_, cold = f.coldRate(e, f.clock.Now())
		assert.Assert(t, !cold)
		f.expireWarmUps(f.clock.Now())
		assert.Equal(t, f.withWarmUps(f.registry.Usable("s"), f.clock.Now())[0].RemainingWarmUp, time.Duration(0))
	}
}

// BenchmarkPermission measures what choosing an endpoint costs because endpoints may be cold.
func BenchmarkPermission(b *testing.B) {
	for _, cold := range []bool{false, true} {
		b.Run(fmt.Sprintf("one cold %v", cold), func(b *testing.B) {
			f := newColdForwarder(b, 7)
			e := f.registry.Usable("s")[0]
			if cold {
				e.Revision, e.RemainingWarmUp = 100, time.Hour
				f.applyEndpoints([]EndpointChange{{Endpoint: e}})
				f.quotas.Deny(e.Identity, limiter.Normal, time.Hour, f.clock.Now())
			}
			now := f.clock.Now()
			b.ReportAllocs()
			for b.Loop() {
				f.withWarmUps(f.permittedEndpoints(f.registry.Usable("s"), now), now)
				f.coldRate(e, now)
				f.isGranted(e)
			}
		})
	}
}
