package limiter

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonspar.example/state/registrar"
)

var (
	startTime = time.Unix(1000, 0)
	endpointA = registrar.Identity{Name: "a", Started: 1}
)

func newLimiter() *Limiter { return New(rand.New(rand.NewPCG(1, 1))) }

// observe records that endpointA names a limit, or none if rate is negative.
func observe(l *Limiter, rate float64, at time.Time) bool {
	return l.Observe(Observation{Endpoint: endpointA, Limited: rate >= 0, Rate: max(rate, 0), At: at})
}

// An observation that arrives late must not undo a newer one: neither end a limit nor
// bring one back.
func TestOlderObservationsAreIgnored(t *testing.T) {
	l := newLimiter()
	assert.Assert(t, observe(l, 4, startTime.Add(time.Second)))
	assert.Assert(t, !observe(l, -1, startTime))
	assert.Assert(t, observe(l, -1, startTime.Add(2*time.Second)))
	assert.Assert(t, !observe(l, 4, startTime.Add(time.Second)))
	_, limited := l.Limit(endpointA)
	assert.Assert(t, !limited)
	assert.Equal(t, l.Digest(), uint64(0))
}

// A restarted endpoint, which knows nothing of its former limit, is not limited.
func TestLimitBelongsToOneRunOfEndpoint(t *testing.T) {
	l := newLimiter()
	observe(l, 4, startTime)
	_, limited := l.Limit(registrar.Identity{Name: "a", Started: 2})
	assert.Assert(t, !limited)
	l.Retain(func(id registrar.Identity) bool { return id.Started == 2 })
	assert.Equal(t, len(l.All()), 0)
	assert.Equal(t, l.Digest(), uint64(0))
}

// Guards against a log line and an update to all peers for each response of an endpoint
// that names another limit each time.
func TestChangesAreAnnouncedSparingly(t *testing.T) {
	l := newLimiter()
	assert.Assert(t, observe(l, 4, startTime))
	announced, digest := 0, l.Digest()
	now := startTime.Add(announceInterval)
	for i := range 1000 {
		now = now.Add(time.Millisecond)
		if observe(l, 4+0.3*float64(i%2), now) {
			announced++
		}
	}
	assert.Equal(t, announced, 0)
	assert.Equal(t, l.Digest(), digest)
	rate, _ := l.Limit(endpointA)
	assert.Equal(t, rate, 4.3) // Still kept.
	for i := range 1000 {
		now = now.Add(time.Millisecond)
		if observe(l, 1+9*float64(i%2), now) {
			announced++
		}
	}
	assert.Assert(t, announced > 0 && announced <= 5, "%d changes announced in a second", announced)
	announced = 0
	for i := range 1000 {
		now = now.Add(time.Millisecond)
		if observe(l, float64(i%2*5-1), now) { // 4 and none in turn.
			announced++
		}
	}
	assert.Assert(t, announced > 0 && announced <= 5, "%d flips announced in a second", announced)
	observe(l, 4, now.Add(announceInterval))
	now = now.Add(announceInterval + time.Millisecond)
	assert.Assert(t, !observe(l, -1, now))
	assert.Assert(t, l.Tracks(endpointA)) // A later response announces the end of the limit.
	assert.Assert(t, observe(l, -1, now.Add(announceInterval)))
	assert.Assert(t, !l.Tracks(endpointA))
	assert.Equal(t, l.Digest(), uint64(0))
}

// A daemon that was denied may ask again as soon as the endpoint names another limit.
func TestChangedLimitEndsDenial(t *testing.T) {
	l := newLimiter()
	observe(l, 1, startTime)
	l.Deny(endpointA, Normal, time.Second, startTime)
	assert.Equal(t, l.DeniedFor(endpointA, Normal, startTime), time.Second)
	assert.Equal(t, l.DeniedFor(endpointA, Urgent, startTime), time.Duration(0))
	observe(l, 5, startTime.Add(time.Millisecond))
	assert.Equal(t, l.DeniedFor(endpointA, Normal, startTime.Add(time.Millisecond)), time.Duration(0))
}

// grants returns how many of n asks are granted.
func grants(l *Limiter, u Urgency, n int, now time.Time) int {
	granted := 0
	for range n {
		if l.Grant(endpointA, Ask{Daemon: "d", Urgency: u}, 1, now).Granted {
			granted++
		}
	}
	return granted
}

// Requests that must not wait use those of the next moments, and ones that were sent
// before the limit was known count as well, but neither for long.
func TestUrgentAndSentRequestsAreCounted(t *testing.T) {
	l := newLimiter()
	observe(l, 4, startTime)
	assert.Equal(t, grants(l, Normal, 10, startTime), 0) // A new budget is empty.
	now := startTime.Add(10 * time.Second)
	assert.Equal(t, grants(l, Normal, 10, now), 2)
	assert.Equal(t, grants(l, Urgent, 10, now), 2)
	assert.Equal(t, grants(l, Normal, 10, now.Add(700*time.Millisecond)), 0)
	assert.Equal(t, grants(l, Normal, 10, now.Add(760*time.Millisecond)), 1)
	now = now.Add(20 * time.Second)
	assert.Equal(t, grants(l, Sent, 100, now), 100)
	assert.Equal(t, grants(l, Normal, 10, now.Add(2200*time.Millisecond)), 0)
	assert.Equal(t, grants(l, Normal, 10, now.Add(2260*time.Millisecond)), 1)
}

// An endpoint that names a limit of zero still gets a request now and then, since only
// its response can end the limit.
func TestZeroLimitIsProbed(t *testing.T) {
	l := newLimiter()
	observe(l, 0, startTime)
	assert.Equal(t, grants(l, Normal, 10, startTime), 0)
	assert.Equal(t, grants(l, Normal, 10, startTime.Add(11*time.Second)), 1)
}

func ExampleMembers_Share() {
	m := NewMembers(Daemon{Name: "a-1", Domain: "a"})
	all := []Daemon{{Name: "a-1", Domain: "a"}, {Name: "a-2", Domain: "a"}, {Name: "b-1", Domain: "b"}, {Name: "b-2", Domain: "b"}}
	m.SetAll(all, func(string) bool { return true }, startTime)
	for _, d := range all {
		m.SetReachable(d.Name, true, startTime)
	}
	e := registrar.Endpoint{Identity: registrar.Identity{Name: "e-4"}, Domain: "a"} // Its first daemon is a-1.
	fmt.Println(m.Share(e, startTime))
	m.SetReachable("b-1", false, startTime)
	m.SetReachable("b-2", false, startTime)
	fmt.Println(m.Share(e, startTime), m.Share(e, startTime.Add(time.Hour)))
	m.SetReachable("b-2", true, startTime)
	fmt.Println(m.Share(e, startTime), m.Share(e, startTime.Add(time.Hour)))
	fmt.Println(m.Share(registrar.Endpoint{Domain: "b"}, startTime)) // Its first daemon is b-2.
	// Output:
	// 1
	// 0.5 0.5
	// 0.75 1
	// 0.5
}

// Before it has read the list of all daemons, a daemon that reaches no other must not
// take itself for the only one.
func TestShareBeforeList(t *testing.T) {
	m := NewMembers(Daemon{Name: "a"})
	assert.Equal(t, m.Share(registrar.Endpoint{}, startTime), 1.0/unlistedCount)
	m.AtLeast(66) // A peer knows so many.
	assert.Equal(t, m.Count(), 66)
	assert.Equal(t, m.Share(registrar.Endpoint{}, startTime), 1.0/66)
	m.SetAll([]Daemon{{Name: "a"}}, func(string) bool { return true }, startTime)
	assert.Equal(t, m.Share(registrar.Endpoint{}, startTime), 1.0)
}
