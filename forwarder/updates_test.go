package forwarder

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"monsoonspar.example/coordination/placer"
	"monsoonspar.example/state/registrar"
	"monsoonspar.example/state/timekeeper"
)

// Guards against an engine that is shutting down and is used again by a daemon that has
// restarted: its entry does not say so yet, and the news was sent to the peers before.
func TestReportOfPeerTellsThatEngineIsShuttingDown(t *testing.T) {
	f := New(Settings{Daemon: DaemonSettings{Name: "d"}}, nil, nil, timekeeper.System{}, rand.New(rand.NewPCG(1, 1)), zerolog.Nop())
	t.Cleanup(f.Close)
	e := registrar.Endpoint{Identity: registrar.Identity{Name: "e", Started: 1}, Service: "s", Revision: 1}
	f.registry.Set(e)
	f.peers.applyMessage("peer", &updateMessage{Reports: []reportUpdate{{
		Service: "s", Engine: e.Identity, Report: placer.Report{ShuttingDown: true, ShutdownIn: time.Second},
	}}})
	assert.Assert(t, f.registry.ShuttingDown(e.Identity))
}
