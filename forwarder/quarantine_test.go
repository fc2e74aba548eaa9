package forwarder

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"monsoonspar.example/coordination/quarantiner"
	"monsoonspar.example/state/registrar"
	"monsoonspar.example/state/timekeeper"
)

// newTestForwarder returns a daemon that is not started.
func newTestForwarder(t *testing.T) *Forwarder {
	f := New(Settings{Daemon: DaemonSettings{Name: "d"}}, nil, nil, timekeeper.System{}, rand.New(rand.NewPCG(1, 1)), zerolog.Nop())
	t.Cleanup(f.Close)
	return f
}

// Guards against a part that is no longer blamed since a peer lists the engines that it crashed
// as leaving: their addresses have been taken by others.
func TestListOfPeerRefutesNoCrash(t *testing.T) {
	f := newTestForwarder(t)
	e := registrar.Endpoint{Identity: registrar.Identity{Name: "i-1", Started: 1}, Service: "eng", Addr: "10.0.0.1:80"}
	f.handleEndpointChanges(f.registry.Replace([]registrar.Endpoint{e}, 1, false, f.clock.Now()))
	f.quarantine.RecordCrash(e.Identity, []quarantiner.Suspect{{Subject: 1}}, f.clock.Now())
	e.Draining = true
	f.handleEndpointChanges(f.registry.Replace([]registrar.Endpoint{e}, 2, false, f.clock.Now()))
	assert.Equal(t, len(f.quarantine.Snapshot(f.clock.Now()).Crashes), 1)
	assert.Assert(t, !f.quarantine.Snapshot(f.clock.Now()).Crashes[0].Retracted)
}

// Guards against an engine that is blamed on a prompt although it has said that it shuts down.
func TestCrashOfLeavingEngineIsRefuted(t *testing.T) {
	f := newTestForwarder(t)
	e := registrar.Endpoint{Identity: registrar.Identity{Name: "i-1", Started: 1}, Service: "eng", Addr: "10.0.0.1:80"}
	f.handleEndpointChanges(f.registry.Replace([]registrar.Endpoint{e}, 1, false, f.clock.Now()))
	f.quarantine.RecordCrash(e.Identity, []quarantiner.Suspect{{Subject: 1}}, f.clock.Now())
	f.handleShutdown(e.Identity, 0, "report")
	assert.Assert(t, f.quarantine.Snapshot(f.clock.Now()).Crashes[0].Retracted)
}

// Guards against requests that stay in queues although a part of their prompt is blocked: the
// block begins some time after the last evidence.
func TestBlockThatBeginsLaterWakesQueues(t *testing.T) {
	f := newTestForwarder(t)
	now := f.clock.Now()
	for i := range 3 {
		at := now.Add(time.Duration(i) * 400 * time.Millisecond)
		f.quarantine.RecordCrash(registrar.Identity{Name: "i-" + string(rune('1'+i))}, []quarantiner.Suspect{{Subject: 1}}, at)
		f.enforceQuarantine(at)
	}
	blocked := f.quarantineWatch.next()
	f.enforceQuarantine(now.Add(5 * time.Second))
	select {
	case <-blocked:
	default:
		t.Fatal("the queues were not told of the block")
	}
}
