package limiter_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonspar.example/coordination/limiter"
	"monsoonspar.example/state/registrar"
)

// Guards against a deferral that is forgotten, shortened by a later answer, taken for that
// of another run of the endpoint, or without an end.
func TestDeferral(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	a, b := registrar.Identity{Name: "a", Started: 1}, registrar.Identity{Name: "b", Started: 1}
	var l limiter.Deferrals
	assert.Equal(t, l.For(a, now), time.Duration(0))
	left, isNew := l.Defer(a, 5*time.Second, now)
	assert.Assert(t, isNew && left == 5*time.Second)
	left, isNew = l.Defer(a, time.Second, now.Add(time.Second))
	assert.Assert(t, !isNew && left == 4*time.Second)
	_, isNew = l.Defer(b, time.Second, now.Add(time.Second))
	assert.Assert(t, isNew)
	assert.Equal(t, l.For(a, now.Add(2*time.Second)), 3*time.Second)
	assert.Equal(t, l.For(b, now.Add(2*time.Second)), time.Duration(0))
	assert.Equal(t, l.For(registrar.Identity{Name: "a", Started: 2}, now), time.Duration(0))
	assert.Equal(t, l.For(a, now.Add(5*time.Second)), time.Duration(0))
	left, isNew = l.Defer(a, 24*time.Hour, now.Add(6*time.Second))
	assert.Assert(t, isNew && left == limiter.MaxDeferral)
}
