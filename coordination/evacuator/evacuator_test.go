package evacuator_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonspar.example/coordination/evacuator"
	"monsoonspar.example/state/registrar"
)

// Guards against runs that are given up while their engine still serves: the first sign of a
// shutdown does not state the end, and a later report states one that is later than assumed.
func TestRunsMayMigrateUntilTheStatedEnd(t *testing.T) {
	start := time.Unix(0, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	id := registrar.Identity{Name: "i-1", Started: 1}
	var s evacuator.Shutdowns
	_, known := s.Get(id)
	assert.Assert(t, !known)

	d := s.Observe(id, 0, at(0))
	assert.Equal(t, d.End, at(1500))
	assert.Assert(t, d.MayMigrate(at(1400)) && d.MayMigrate(at(5000)), "no end is stated")
	assert.Equal(t, d.Left(at(5000)), time.Duration(0))
	assert.Assert(t, !d.MayMigrate(at(20_000)), "migrations would be tried without end")

	s.Observe(id, 1600*time.Millisecond, at(400))
	s.Observe(id, 0, at(500)) // A sign that states nothing changes nothing.
	d, known = s.Get(id)
	assert.Assert(t, known)
	assert.Equal(t, d.End, at(2000))
	assert.Equal(t, d.FirstSign, at(0))
	assert.Assert(t, d.MayMigrate(at(2900)))
	assert.Assert(t, !d.MayMigrate(at(3000)), "the engine has ended")

	other := registrar.Identity{Name: "i-1", Started: 2}
	_, known = s.Get(other)
	assert.Assert(t, !known, "another run of the engine")
	s.Observe(other, 0, at(70_000))
	_, known = s.Get(id)
	assert.Assert(t, !known, "the engine ended long ago")
}
