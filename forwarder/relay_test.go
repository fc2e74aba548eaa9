package forwarder

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"monsoonspar.example/coordination/limiter"
	"monsoonspar.example/coordination/placer"
	"monsoonspar.example/coordination/reporter"
	"monsoonspar.example/state/matcher"
	"monsoonspar.example/state/registrar"
	"monsoonspar.example/state/timekeeper"
)

// relayFleet is a fleet of daemons whose messages the test delivers.
type relayFleet struct {
	t        *testing.T
	daemons  []*Forwarder
	received map[string]int // Batches since the last reset, by daemon.
	crossing int            // Batches between failure domains.
}

// newRelayFleet returns a fleet with an engine. Those in old have an earlier version.
func newRelayFleet(t *testing.T, daemons, domains, relayAbove int, old map[int]bool) *relayFleet {
	t.Helper()
	fleet := &relayFleet{t: t, received: map[string]int{}}
	var all []limiter.Daemon
	for i := range daemons {
		name := fmt.Sprint("d", i)
		all = append(all, limiter.Daemon{Name: name, Addr: name, Domain: fmt.Sprint("z", i%domains)})
	}
	for i, d := range all {
		cfg := Settings{Daemon: DaemonSettings{Name: d.Name, Domain: d.Domain, Peers: d.Addr, RelayAbove: relayAbove}}
		f := New(cfg, nil, nil, timekeeper.System{}, rand.New(rand.NewPCG(1, uint64(i))), zerolog.Nop())
		t.Cleanup(f.Close)
		f.members.SetAll(all, func(string) bool { return true }, f.clock.Now())
		for k, o := range all {
			if k != i {
				f.peers.known[o.Name] = &peer{daemon: Daemon(o), queue: make(chan batch, updateQueueLength), alive: true, compact: !old[k] && !old[i]}
			}
		}
		f.registry.Set(registrar.Endpoint{Identity: wireEngine, Service: "eng", Domain: "z0", Revision: 1})
		f.placerFor("eng", &matcher.Engine{Slots: 24, MemoryTokens: 26_934, TokensPerEvent: 4})
		fleet.daemons = append(fleet.daemons, f)
	}
	return fleet
}

// deliver delivers all queued batches, and what is passed on.
func (r *relayFleet) deliver() {
	clear(r.received)
	r.crossing = 0
	for moved := true; moved; {
		moved = false
		for _, f := range r.daemons {
			for _, to := range r.daemons {
				o := f.peers.known[to.cfg.Daemon.Name]
				for o != nil && len(o.queue) > 0 {
					b := <-o.queue
					moved = true
					r.received[o.daemon.Name]++
					if o.daemon.Domain != f.cfg.Daemon.Domain {
						r.crossing++
					}
					_, err := to.peers.HandleCall(r.t.Context(), f.cfg.Daemon.Name, b.method, b.body)
					assert.NilError(r.t, err)
				}
			}
		}
	}
}

// publish sends the updates of the first daemon.
func (r *relayFleet) publish(reports ...reportUpdate) {
	p := r.daemons[0].peers
	m := p.collectUpdates()
	m.Reports = reports
	held := p.publish(&m, &updateMessage{})
	if !held.empty() {
		p.enqueueRelayed(&held)
	}
	r.deliver()
}

// knowing returns the number of daemons that believe a job to run on the engine.
func (r *relayFleet) knowing(job string) int {
	n := 0
	for _, f := range r.daemons {
		if _, ok := f.knownPlacer("eng").EvacuationTurns(wireEngine, 1e9, 1, f.clock.Now())[job]; ok {
			n++
		}
	}
	return n
}

// Guards against daemons that get an update never or more than twice, in a fleet with relays, in one
// without, and during a release.
func TestRelaysReachEveryDaemon(t *testing.T) {
	for _, c := range []struct {
		name                string
		relayAbove, crossed int // Batches with an Ended update between failure domains.
		old                 map[int]bool
	}{
		{"no relays", 20, 12, nil},
		{"relays", 10, 3, nil},
		{"a domain of earlier versions", 10, 2 + 4, map[int]bool{1: true, 5: true, 9: true, 13: true}},
		{"some earlier versions", 10, 3, map[int]bool{1: true, 2: true, 4: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRelayFleet(t, 16, 4, c.relayAbove, c.old)
			pl, now := r.daemons[0].knownPlacer("eng"), time.Now()
			job := placer.Job{ID: "j", PromptTokens: 1000, MaxTokens: 500, FirstEventDue: now.Add(time.Second), Deadline: now.Add(time.Minute)}
			_, placed := pl.Submit(job, nil, now)
			assert.Assert(t, placed)
			r.publish()
			assert.Equal(t, r.knowing("j"), 16)
			assert.Equal(t, r.crossing, 12) // Directly to all.
			pl.RecordEnd(job, 100, true, now)
			report := wireReport
			report.takenAt = now.Add(-time.Hour) // So that its age shows who has got it.
			r.publish(report)
			assert.Equal(t, r.knowing("j"), 0)
			assert.Equal(t, r.crossing, c.crossed)
			for _, f := range r.daemons[1:] {
				n := r.received[f.cfg.Daemon.Name]
				assert.Assert(t, n == 1 || n == 2, "%s: %d", f.cfg.Daemon.Name, n)
				assert.Assert(t, f.knownPlacer("eng").ReportAge(wireEngine, time.Now()) >= time.Hour)
			}
		})
	}
}

// Guards against an Ended update of a refused attempt that comes over a relay after the next
// placement of the job: daemons of earlier versions would remove it.
func TestUpdatesBeforeUrgentOnesOfTheSameJobAreSentDirectly(t *testing.T) {
	update := func(id string, e placer.Event) placer.Update { return placer.Update{JobID: id, Event: e} }
	of := func(u ...placer.Update) updateMessage {
		return updateMessage{Services: []serviceUpdates{{Service: "eng", Updates: u}}}
	}
	held := of(update("a", placer.Ended), update("b", placer.Ended))
	m := of(update("c", placer.Started), update("a", placer.Placed))
	m.Manifest, m.Reports = 3, []reportUpdate{wireReport}
	direct, relayed := m.split(&held, true)
	assert.DeepEqual(t, direct.Services, of(update("a", placer.Ended), update("a", placer.Placed)).Services)
	assert.DeepEqual(t, relayed.Services, of(update("b", placer.Ended), update("c", placer.Started)).Services)
	assert.Equal(t, direct.Manifest, int64(3))
	assert.Equal(t, len(direct.Reports)*10+len(relayed.Reports), 1)
	direct, relayed = m.split(&updateMessage{}, false) // In a fleet in which not all daemons know all jobs.
	assert.DeepEqual(t, direct.Services, m.Services)
	assert.Equal(t, len(relayed.Services), 0)
}

// Guards against a setting that is not read, or that sends everything over relays by mistake.
func TestRelayAboveIsReadAndChecked(t *testing.T) {
	parse := func(line string) (Settings, error) {
		return ParseSettings([]byte("[daemon]\nname = d\ncallers_listen = h:1\nready_listen = h:2\npeers_listen = h:3\nmetrics_listen = h:4\n" + line +
			"\n[store]\naddr = h:5\n[bounds]\nstop_s = 1\nretry_window_s = 1\n"))
	}
	s, err := parse("")
	assert.NilError(t, err)
	assert.Equal(t, s.Daemon.RelayAbove, reporter.FullMeshLimit)
	s, err = parse("relay_above = 32")
	assert.NilError(t, err)
	assert.Equal(t, s.Daemon.RelayAbove, 32)
	_, err = parse("relay_above = 0")
	assert.ErrorIs(t, err, ErrSettings)
}
