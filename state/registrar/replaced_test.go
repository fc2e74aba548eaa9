package registrar_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"monsoonspar.example/state/registrar"
)

func TestReplaced(t *testing.T) {
	e := entry("a", 5)
	for _, c := range []struct {
		name   string
		change func(*registrar.Endpoint) // Of an entry like that of e.
		want   bool
	}{
		{"same endpoint, later entry", func(o *registrar.Endpoint) { o.Revision = 9 }, false},
		{"later run", func(o *registrar.Endpoint) { o.Started, o.Revision = 2, 9 }, true},
		{"later run at another address", func(o *registrar.Endpoint) { o.Started, o.Addr, o.Revision = 2, "10.0.0.2:80", 9 }, true},
		{"another endpoint at the address", func(o *registrar.Endpoint) { o.Name, o.Service, o.Revision = "b", "t", 9 }, true},
		{"the endpoint that was at the address before", func(o *registrar.Endpoint) { o.Name, o.Revision = "b", 4 }, false},
		{"another endpoint", func(o *registrar.Endpoint) { o.Name, o.Addr, o.Revision = "b", "10.0.0.2:80", 9 }, false},
	} {
		g := registrar.New(grace)
		g.Set(e)
		other := e
		c.change(&other)
		g.Set(other)
		assert.Equal(t, g.Replaced(e), c.want, c.name)
	}
}

func TestLeavingEndpointIsNotReplaced(t *testing.T) {
	g := registrar.New(grace)
	g.Set(entry("a", 5))
	g.Remove("a", 6)
	assert.Assert(t, !g.Replaced(entry("a", 5)))
}
