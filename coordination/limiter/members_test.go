package limiter_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonspar.example/coordination/limiter"
)

// Guards against entries of daemons that have ended and are never deleted, and against a
// daemon that is cut off and deletes those of the others.
func TestEntriesOfEndedDaemonsExpire(t *testing.T) {
	const expiry = 5 * time.Minute
	start := time.Unix(1000, 0)
	later := start.Add(expiry + time.Second)
	daemon := func(name, domain string) limiter.Daemon { return limiter.Daemon{Name: name, Domain: domain} }
	all := []limiter.Daemon{daemon("a", "x"), daemon("b", "x"), daemon("c", "x"), daemon("d", "y")}
	for _, c := range []struct {
		name      string
		self      string
		reachable []string
		at        time.Time
		want      int
	}{
		{"another is reachable", "b", []string{"c"}, later, 1},
		{"too early", "b", []string{"c"}, start.Add(expiry), 0},
		{"no other is reachable", "b", nil, later, 0},
		{"another daemon deletes", "b", []string{"a"}, later, 0},
		{"all are reachable", "a", []string{"b", "c"}, later, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := limiter.NewMembers(daemon(c.self, "x"))
			m.SetAll(all, func(string) bool { return true }, start)
			for _, d := range all {
				m.SetReachable(d.Name, false, start)
			}
			for _, name := range c.reachable {
				m.SetReachable(name, true, start)
			}
			expired := m.Expired(expiry, c.at)
			assert.Equal(t, len(expired), c.want)
			for _, d := range expired {
				assert.Equal(t, d.Domain, "x", "the entry of a daemon of another failure domain")
			}
		})
	}
}
