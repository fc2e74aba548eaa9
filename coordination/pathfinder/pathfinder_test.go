package pathfinder_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonspar.example/coordination/pathfinder"
)

var (
	startTime = time.Unix(1000, 0)
	endpoint  = pathfinder.Endpoint{Addr: "e", Domain: "z1"}
	peerA     = pathfinder.Peer{Name: "a", Domain: "z0"}
	peerB     = pathfinder.Peer{Name: "b", Domain: "z1"}
	peerC     = pathfinder.Peer{Name: "c", Domain: "z2"}
)

func newFinder() *pathfinder.Finder {
	return pathfinder.New(pathfinder.Config{Domain: "z0"}, rand.New(rand.NewPCG(1, 1)))
}

// cut makes the path to an address count as cut.
func cut(f *pathfinder.Finder, addr string, o pathfinder.Outcome, now time.Time) {
	f.RecordDirect(addr, o, now)
	f.RecordRelayed(addr, "a", pathfinder.Opened, now)
}

func names(peers []pathfinder.Peer) string {
	text := ""
	for _, p := range peers {
		text += p.Name
	}
	return text
}

func TestWorkingPathIsDirectWithHeadStart(t *testing.T) {
	f := newFinder()
	p := f.Plan(endpoint, []pathfinder.Peer{peerA}, startTime)
	assert.Assert(t, p.Direct && p.HeadStart > 0)
	assert.Equal(t, names(p.Peers), "a")
	assert.Equal(t, len(f.Probes([]pathfinder.Endpoint{endpoint}, startTime)), 0)
}

// Guards against paths that count as cut since an endpoint is down, or was slow once.
func TestPathIsCutOnProofOnly(t *testing.T) {
	now := startTime
	f := newFinder()
	assert.Assert(t, !f.RecordDirect("e", pathfinder.Silent, now))
	f.RecordRelayed("e", "a", pathfinder.Refused, now)
	f.RecordDown("e", now)
	p := f.Plan(endpoint, []pathfinder.Peer{peerA}, now)
	assert.Assert(t, p.Direct && len(p.Peers) == 0, "an endpoint that is down makes daemons ask each other: %+v", p)
	now = now.Add(5 * time.Second)
	assert.Assert(t, !f.RecordRelayed("e", "a", pathfinder.Opened, now), "the direct failure is too old")
	assert.Assert(t, f.RecordDirect("e", pathfinder.Silent, now))
	p = f.Plan(endpoint, []pathfinder.Peer{peerA}, now)
	assert.Assert(t, !p.Direct && names(p.Peers) == "a", "%+v", p)
	assert.Assert(t, f.RecordDirect("e", pathfinder.Opened, now), "the path works again")
	assert.Assert(t, f.Plan(endpoint, nil, now).Direct)
}

func TestCutPathWithoutPeersIsTriedDirectly(t *testing.T) {
	f := newFinder()
	cut(f, "e", pathfinder.Refused, startTime)
	assert.DeepEqual(t, f.Plan(endpoint, nil, startTime), pathfinder.Plan{Direct: true, Peers: []pathfinder.Peer{}})
}

// Guards against requests that wait although no peer reaches the endpoint, and against one that is
// given up for long since the peers that were asked first are cut off as well.
func TestEndpointThatNobodyReachesIsRefusedAtOnceForAWhile(t *testing.T) {
	now := startTime
	f := newFinder()
	cut(f, "e", pathfinder.Silent, now)
	f.RecordRelayed("e", "a", pathfinder.Silent, now)
	f.RecordDown("e", now)
	assert.DeepEqual(t, f.Plan(endpoint, []pathfinder.Peer{peerA, peerB}, now), pathfinder.Plan{})
	now = now.Add(300 * time.Millisecond)
	assert.Equal(t, names(f.Plan(endpoint, []pathfinder.Peer{peerA, peerB}, now).Peers), "b")
	f.RecordRelayed("e", "b", pathfinder.Opened, now)
	assert.Equal(t, names(f.Plan(endpoint, []pathfinder.Peer{peerA, peerB}, now).Peers), "b")
}

func TestPeersAreChosenByDomainAndRoom(t *testing.T) {
	f := newFinder()
	for _, tt := range []struct {
		a, b, c int
		want    string
	}{
		{0, 5, 0, "abc"}, {9, 2, 0, "bac"}, {40, 40, 0, "c"}, {0, 0, 0, ""},
	} {
		a, b, c := peerA, peerB, peerC
		a.Tunnels, b.Tunnels, c.Tunnels = tt.a, tt.b, tt.c
		got := names(f.Plan(endpoint, []pathfinder.Peer{c, b, a}, startTime).Peers)
		assert.Equal(t, got[:len(tt.want)], tt.want)
	}
	c := peerC
	c.Cut = 1
	assert.Equal(t, names(f.Plan(endpoint, []pathfinder.Peer{c, peerB}, startTime).Peers), "bc")
	f.RecordRelayed("another", "b", pathfinder.Silent, startTime)
	assert.Equal(t, names(f.Plan(endpoint, []pathfinder.Peer{peerB, peerC}, startTime).Peers), "cb")
	assert.Equal(t, names(f.Plan(endpoint, []pathfinder.Peer{peerB, peerC}, startTime.Add(2*time.Second)).Peers), "bc")
	a := peerA
	a.CutOff = true
	assert.Equal(t, names(f.Plan(endpoint, []pathfinder.Peer{a, peerB}, startTime).Peers), "b")
}

// Guards against a body that passes through a region that neither has it nor gets it.
func TestPeersAreInRegionOfDaemonOrEndpoint(t *testing.T) {
	regions := map[string]string{"z0": "east", "z1": "west", "z2": "north", "z3": "west", "z4": "east"}
	f := pathfinder.New(pathfinder.Config{Domain: "z0", Regions: regions}, rand.New(rand.NewPCG(1, 1)))
	var peers []pathfinder.Peer
	for _, domain := range []string{"z0", "z1", "z2", "z3", "z4", "unknown"} {
		peers = append(peers, pathfinder.Peer{Name: domain, Domain: domain})
	}
	seen := map[string]bool{}
	for range 200 {
		for _, p := range f.Plan(endpoint, peers, startTime).Peers {
			seen[p.Domain] = true
		}
		f.RecordRelayed("e", peers[0].Name, pathfinder.Lost, startTime)
		f.RecordRelayed("e", peers[1].Name, pathfinder.Lost, startTime)
	}
	assert.DeepEqual(t, seen, map[string]bool{"z0": true, "z1": true, "z3": true, "z4": true})
}

// Guards against open connections that are given up although they work, or used although nothing comes
// back on them.
func TestOpenConnectionsAreGivenUpOnlyOnSilentPaths(t *testing.T) {
	for _, tt := range []struct {
		outcome pathfinder.Outcome
		usable  bool
	}{{pathfinder.Silent, false}, {pathfinder.Refused, true}} {
		f := newFinder()
		now := startTime
		cut(f, "e", tt.outcome, now)
		assert.Equal(t, f.Usable("e", "", now), tt.usable)
		assert.Assert(t, f.Usable("e", "a", now))
		assert.Assert(t, f.Usable("other", "", now))
		cut(f, "e2", tt.outcome, now)
		now = now.Add(time.Second)
		cutOff, n := f.CutOff(now)
		assert.Assert(t, cutOff && n == 2)
		assert.Equal(t, f.Usable("other", "", now), tt.usable)
		f.RecordDirect("e", pathfinder.Opened, now)
		assert.Assert(t, f.Usable("e", "", now))
		assert.Assert(t, !f.Usable("e", "a", now), "a connection through a peer while the path works")
		cutOff, _ = f.CutOff(now)
		assert.Assert(t, !cutOff)
		assert.Assert(t, f.Usable("other", "", now))
	}
}

// Guards against a daemon that counts as cut off since it lost some paths, while others work.
func TestSomeCutPathsAreNoCutOff(t *testing.T) {
	f := newFinder()
	now := startTime
	var all []pathfinder.Endpoint
	for i := range 10 {
		all = append(all, pathfinder.Endpoint{Addr: fmt.Sprint(i)})
	}
	works := func(e pathfinder.Endpoint) bool { return e.Addr > "3" }
	for i := range 4 {
		cut(f, fmt.Sprint(i), pathfinder.Silent, now)
	}
	for range 30 {
		for _, e := range f.Probes(all, now) {
			o := pathfinder.Silent
			if works(e) {
				o = pathfinder.Opened
			}
			f.RecordDirect(e.Addr, o, now)
		}
		now = now.Add(pathfinder.Round)
		cutOff, _ := f.CutOff(now)
		assert.Assert(t, !cutOff, "after %v", now.Sub(startTime))
	}
}

// Guards against a rush of probes of a daemon that is cut off, and against paths that stay cut long after
// they work again.
func TestProbesAreFewAndFindThePathsAgain(t *testing.T) {
	f := newFinder()
	now := startTime
	var all []pathfinder.Endpoint
	for i := range 64 {
		all = append(all, pathfinder.Endpoint{Addr: fmt.Sprint(i)})
		cut(f, fmt.Sprint(i), pathfinder.Silent, now)
	}
	probes := func(d time.Duration, o pathfinder.Outcome) int {
		n := 0
		for end := now.Add(d); now.Before(end); now = now.Add(pathfinder.Round) {
			for _, e := range f.Probes(all, now) {
				f.RecordDirect(e.Addr, o, now)
				n++
			}
		}
		return n
	}
	probes(time.Second, pathfinder.Silent)
	n := probes(10*time.Second, pathfinder.Silent)
	assert.Assert(t, n >= 50 && n <= 100, "%d probes in 10 s", n)
	healed := probes(3*time.Second, pathfinder.Opened)
	_, left := f.CutOff(now)
	t.Logf("%d probes in 10 s of a cut, %d until the paths work", n, healed)
	assert.Equal(t, left, 0)
	assert.Equal(t, probes(time.Minute, pathfinder.Opened), 0)
}

// Guards against a path that counts as sound since connections open on it, although they break: nothing was asked of peers.
func TestPathThatBreaksConnectionsIsCut(t *testing.T) {
	now := startTime
	f := newFinder()
	peers := []pathfinder.Peer{peerA}
	assert.Assert(t, !f.RecordDirect("e", pathfinder.Broken, now))
	assert.Assert(t, !f.RecordRelayed("e", "a", pathfinder.Opened, now), "a connection through a peer may break as well")
	assert.Assert(t, f.Plan(endpoint, peers, now).Direct)
	assert.Assert(t, f.RecordRelayedAnswer("e", now))
	assert.DeepEqual(t, f.Plan(endpoint, peers, now), pathfinder.Plan{Peers: peers})
	assert.Assert(t, !f.Usable("e", "", now), "open connections may lose requests as well")
	assert.Assert(t, f.Usable("e", "a", now))
	assert.Assert(t, f.Breaks("e", now) && f.NeedAnswers(now))

	now = now.Add(time.Minute)
	assert.Assert(t, !f.RecordDirect("e", pathfinder.Opened, now), "a connection that opens shows nothing")
	assert.Assert(t, !f.Plan(endpoint, peers, now).Direct)
	assert.Assert(t, !f.RecordAnswer("e", startTime), "a connection that is older than the cut lives on")
	assert.Assert(t, f.RecordAnswer("e", now))
	assert.Assert(t, f.Plan(endpoint, peers, now).Direct)
	assert.Assert(t, !f.Breaks("e", now) && !f.NeedAnswers(now))
}

// Guards against requests that are sent where their connection breaks, with an unknown outcome, although that is known.
func TestNoRequestIsSentWhereConnectionsBreak(t *testing.T) {
	f := newFinder()
	f.RecordDirect("e", pathfinder.Broken, startTime)
	f.RecordDown("e", startTime)
	assert.DeepEqual(t, f.Plan(endpoint, []pathfinder.Peer{peerA}, startTime), pathfinder.Plan{})
	assert.Equal(t, names(f.Peers(endpoint, []pathfinder.Peer{peerA}, startTime)), "a", "a check asks peers all the same")
	now := startTime.Add(2 * time.Second)
	assert.DeepEqual(t, f.Plan(endpoint, []pathfinder.Peer{peerA}, now), pathfinder.Plan{})
	assert.DeepEqual(t, f.Probes([]pathfinder.Endpoint{endpoint}, now), []pathfinder.Endpoint{endpoint})
	f.RecordAnswer("e", now)
	assert.Assert(t, f.Plan(endpoint, []pathfinder.Peer{peerA}, now).Direct)
	assert.Assert(t, !f.Probing())
	f.RecordDirect("e", pathfinder.Broken, now)
	f.RecordRelayedAnswer("e", now)
	f.RecordRelayed("e", "a", pathfinder.Broken, now)
	assert.DeepEqual(t, f.Plan(endpoint, []pathfinder.Peer{peerA}, now), pathfinder.Plan{Peers: []pathfinder.Peer{}})
}

// Guards against a daemon that does not notice that it is cut off since connections open, against one that counts as cut
// off for ever, and against a rush of probes.
func TestDaemonWhosePathsBreakConnectionsIsCutOff(t *testing.T) {
	for _, endpoints := range []int{15, 65, 830} {
		t.Run(fmt.Sprint(endpoints, " endpoints"), func(t *testing.T) {
			f := newFinder()
			now := startTime
			var all []pathfinder.Endpoint
			for i := range endpoints {
				all = append(all, pathfinder.Endpoint{Addr: fmt.Sprint(i)})
				f.RecordAnswer(all[i].Addr, now.Add(-time.Second))
			}
			for _, e := range all[:2] {
				f.RecordDirect(e.Addr, pathfinder.Broken, now)
				f.RecordRelayedAnswer(e.Addr, now)
			}
			probe := func(d time.Duration, sound bool) (n int) {
				for end := now.Add(d); now.Before(end); now = now.Add(pathfinder.Round) {
					for _, e := range f.Probes(all, now) {
						n++
						f.RecordDirect(e.Addr, pathfinder.Opened, now)
						if sound {
							f.RecordAnswer(e.Addr, now.Add(time.Millisecond))
						} else {
							f.RecordDirect(e.Addr, pathfinder.Broken, now)
						}
					}
				}
				return n
			}
			n := probe(5*time.Second, false)
			cutOff, _ := f.CutOff(now)
			assert.Assert(t, cutOff)
			assert.DeepEqual(t, f.Plan(pathfinder.Endpoint{Addr: "other"}, nil, now), pathfinder.Plan{Peers: []pathfinder.Peer{}})
			assert.Assert(t, n <= 70, "%d probes in 5 s", n)
			healed := probe(3*time.Second, true)
			cutOff, paths := f.CutOff(now)
			assert.Assert(t, !cutOff && paths == 0, "%t, %d", cutOff, paths)
			t.Logf("%d probes in 5 s of a cut, %d in 3 s after it", n, healed)
		})
	}
}

func ExampleFinder() {
	f := pathfinder.New(pathfinder.Config{Domain: "z0"}, rand.New(rand.NewPCG(1, 1)))
	now := time.Unix(1000, 0)
	peers := []pathfinder.Peer{{Name: "d-2", Domain: "z0"}}
	f.RecordDirect("10.0.0.9:80", pathfinder.Silent, now)
	f.RecordRelayed("10.0.0.9:80", "d-2", pathfinder.Opened, now)
	plan := f.Plan(pathfinder.Endpoint{Addr: "10.0.0.9:80"}, peers, now)
	fmt.Println(plan.Direct, plan.Peers[0].Name)
	// Output: false d-2
}
