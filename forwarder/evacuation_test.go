package forwarder

import (
	"math/rand/v2"
	"testing"

	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"monsoonspar.example/state/timekeeper"
)

// Guards against a rolling release in which daemons of an earlier version can't read the messages of
// this one, or count as watchers of evacuations, and against a set that a late message of a peer undoes.
func TestEvacuationsOfPeers(t *testing.T) {
	f := New(Settings{Daemon: DaemonSettings{Name: "d"}, Bounds: BoundSettings{EvacuationMillis: 5000}}, nil, nil, timekeeper.System{}, rand.New(rand.NewPCG(1, 1)), zerolog.Nop())
	t.Cleanup(f.Close)
	newer := &evacuationsUpdate{Domains: []string{"z1"}, Revision: 9}
	f.peers.applyMessage("a", &updateMessage{Evacuations: newer})
	f.peers.applyMessage("b", &updateMessage{Evacuations: &evacuationsUpdate{Revision: 8}})
	f.peers.applyMessage("c", &updateMessage{})
	assert.Assert(t, f.registry.Evacuated("z1"))
	m := f.peers.collectUpdates()
	assert.DeepEqual(t, m.Evacuations, newer)
	assert.Assert(t, m.urgent())

	body, err := msgpack.Marshal(f.peers.syncState())
	assert.NilError(t, err)
	var earlier struct {
		Daemon   Daemon `msgpack:"daemon"`
		Manifest int64  `msgpack:"manifest"`
	}
	assert.NilError(t, msgpack.Unmarshal(body, &earlier))
	assert.Equal(t, earlier.Daemon.Name, "d")
	body, err = msgpack.Marshal(earlier)
	assert.NilError(t, err)
	var remote syncMessage
	assert.NilError(t, msgpack.Unmarshal(body, &remote))
	o := &peer{}
	o.record(&remote)
	assert.Assert(t, o.evacuationsLost)
}
