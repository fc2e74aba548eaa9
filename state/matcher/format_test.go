package matcher_test

import (
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"monsoonspar.example/state/matcher"
)

// earlierManifest has the fields of manifests that decide whether requests need a key, as daemons of earlier versions know them.
type earlierManifest struct {
	Version   int64
	Customers []matcher.Customer
	Format    int `msgpack:",omitempty"`
}

// earlierNeedsKeys is how daemons of earlier versions decide whether requests need a key.
func (m *earlierManifest) earlierNeedsKeys() bool { return len(m.Customers) > 0 }

func recode(t *testing.T, from, to any) {
	t.Helper()
	body, err := msgpack.Marshal(from)
	assert.NilError(t, err)
	assert.NilError(t, msgpack.Unmarshal(body, to))
}

// Guards against a difference between an empty list of customers and none that is lost on the way to a peer, of an earlier
// version too: it would let strangers in.
func TestPeersLearnWhetherKeysAreNeeded(t *testing.T) {
	customers := []matcher.Customer{{Name: "a", Keys: []string{"k"}}}
	for _, m := range []matcher.Manifest{
		{Format: matcher.ManifestFormat},
		{Format: matcher.ManifestFormat, KeysRequired: true},
		{Format: matcher.ManifestFormat, KeysRequired: true, Customers: []matcher.Customer{}},
		{Format: matcher.ManifestFormat, KeysRequired: true, Customers: customers},
	} {
		var got matcher.Manifest
		recode(t, m.ForPeers(), &got)
		assert.Assert(t, !got.MayLackKeys() && !got.MayLackRegions())
		assert.Equal(t, got.FromPeer().NeedsKeys(), m.NeedsKeys())
		assert.Equal(t, len(got.Customers), len(m.Customers))

		var earlier earlierManifest
		recode(t, m.ForPeers(), &earlier)
		assert.Equal(t, earlier.earlierNeedsKeys(), m.NeedsKeys())
		_, err := matcher.NewTable(&matcher.Manifest{Customers: earlier.Customers}).Customer(&matcher.Route{}, "")
		assert.Equal(t, err != nil, m.NeedsKeys())
	}
	for _, tt := range []struct {
		customers    []matcher.Customer
		lacks, lets  bool
		format       int
		lacksRegions bool
	}{{nil, true, true, 1, false}, {nil, true, true, 0, true}, {customers, false, false, 1, false}, {customers, false, false, 0, true}} {
		var got matcher.Manifest
		recode(t, &earlierManifest{Version: 1, Customers: tt.customers, Format: tt.format}, &got)
		assert.Equal(t, got.MayLackKeys(), tt.lacks)
		assert.Equal(t, got.MayLackRegions(), tt.lacksRegions)
		assert.Equal(t, got.NeedsKeys(), !tt.lets)
	}
}
