package warmer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonspar.example/coordination/warmer"
	"monsoonspar.example/state/matcher"
	"monsoonspar.example/state/registrar"
)

var start = time.Unix(1000, 0)

func at(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }

// entry returns an entry of the run of an endpoint that began at started.
func entry(started, revision int64, warmUp time.Duration) registrar.Endpoint {
	return registrar.Endpoint{Identity: registrar.Identity{Name: "e", Started: started}, Revision: revision, RemainingWarmUp: warmUp}
}

// remaining returns the seconds for which the endpoint stays cold.
func remaining(w *warmer.Warmer, e registrar.Endpoint, now time.Time) int {
	d, _ := w.Remaining(e.Identity, now)
	return int(d / time.Second)
}

// Guards against a warm-up that begins again with each copy of an entry, or does not with a later
// one, and against one of an earlier run that is taken for that of a later one.
func TestWarmUpCountsFromReceiptOfEntry(t *testing.T) {
	w := warmer.New()
	e := entry(1, 1, 8*time.Second)
	assert.Assert(t, w.Observe(e, false, at(0)))
	assert.Assert(t, !w.Observe(e, false, at(5)), "a copy of the entry")
	assert.Assert(t, !w.Observe(entry(1, 0, time.Hour), false, at(5)), "an older entry")
	assert.Equal(t, remaining(w, e, at(5)), 3)
	rate, cold := w.Rate(e, matcher.Service{ColdRate: 4}, at(5))
	assert.Assert(t, cold && rate == 4)
	_, cold = w.Rate(e, matcher.Service{}, at(5))
	assert.Assert(t, !cold, "without a rate")
	assert.Equal(t, len(w.Expire(at(7))), 0)
	assert.Equal(t, len(w.Expire(at(8))), 1)
	assert.Equal(t, len(w.Expire(at(9))), 0)
	assert.Assert(t, !w.AnyCold(at(8)))
	assert.Assert(t, w.Observe(entry(1, 2, 8*time.Second), false, at(20)), "cold again")
	assert.Equal(t, remaining(w, e, at(21)), 7)
	assert.Assert(t, w.Observe(entry(1, 3, 0), false, at(22)))
	assert.Equal(t, remaining(w, e, at(22)), 0)
	later := entry(2, 4, 8*time.Second)
	assert.Assert(t, w.Observe(later, false, at(30)))
	assert.Equal(t, remaining(w, e, at(30)), 0)
	assert.Equal(t, remaining(w, later, at(30)), 8)
	w.Retain(func(registrar.Identity) bool { return false })
	assert.Equal(t, remaining(w, later, at(30)), 0)
}

// Guards against an assumption that shortens a warm-up, or that outlasts an entry which says otherwise,
// and against another daemon's knowledge that ends an assumption.
func TestAssumedWarmUp(t *testing.T) {
	w := warmer.New()
	e := entry(1, 1, 8*time.Second)
	w.Observe(e, false, at(0))
	assert.Assert(t, !w.Assume(e, 5*time.Second, 1, at(0)))
	assert.Equal(t, remaining(w, e, at(0)), 8)
	w.Expire(at(10))
	assert.Assert(t, w.IsWarm(e.Identity, 1, at(10)))
	assert.Assert(t, !w.IsWarm(e.Identity, 2, at(10)), "the entry is not known")
	assert.Assert(t, w.Assume(e, 8*time.Second, 1, at(10)))
	w.MarkWarm(e.Identity, 1, at(11))
	assert.Equal(t, remaining(w, e, at(11)), 7)
	assert.Assert(t, w.Observe(entry(1, 2, 0), false, at(12)))
	assert.Equal(t, remaining(w, e, at(12)), 0)
	assert.Assert(t, !w.Assume(e, 8*time.Second, 1, at(12)), "a later entry is known")
	assert.Assert(t, !w.Assume(entry(1, 2, 0), 8*time.Second, 1, at(12)), "the entry was written since")
	assert.Assert(t, w.Assume(entry(1, 2, 0), 8*time.Second, 5, at(13)))
	assert.Assert(t, !w.Observe(entry(1, 4, 0), false, at(14)), "the entry was written before, and received late")
	assert.Equal(t, remaining(w, e, at(14)), 7)
	assert.Assert(t, w.Observe(entry(1, 6, 0), false, at(15)))
	assert.Equal(t, remaining(w, e, at(15)), 0)
	w.Observe(entry(1, 7, 8*time.Second), false, at(20))
	w.MarkWarm(e.Identity, 7, at(21)) // The entry was old when it was received.
	assert.Equal(t, remaining(w, e, at(21)), 0)
}

// Guards against an endpoint that counts as cold although its entry was written long ago, and against
// an answer that is taken for one about a later entry.
func TestEndpointWithOldEntryIsAsked(t *testing.T) {
	w := warmer.New()
	e := entry(1, 1, 8*time.Second)
	w.Observe(e, true, at(0))
	all := func(registrar.Endpoint) bool { return true }
	assert.Equal(t, len(w.DueChecks(func(registrar.Endpoint) bool { return false }, at(0))), 0)
	assert.Equal(t, len(w.DueChecks(all, at(0))), 1)
	assert.Equal(t, len(w.DueChecks(all, at(1))), 0)
	assert.Equal(t, len(w.DueChecks(all, at(2))), 1)
	w.SetRemaining(entry(1, 2, 0), 0, at(2))
	assert.Equal(t, remaining(w, e, at(2)), 6)
	w.SetRemaining(e, 3*time.Second, at(2))
	assert.Equal(t, remaining(w, e, at(2)), 3)
	assert.Equal(t, len(w.DueChecks(all, at(4))), 0)
	w.Observe(entry(1, 2, 8*time.Second), false, at(4))
	assert.Equal(t, len(w.DueChecks(all, at(4))), 0)
}
