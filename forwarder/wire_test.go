package forwarder

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"monsoonspar.example/coordination/placer"
	"monsoonspar.example/state/registrar"
	"monsoonspar.example/state/timekeeper"
)

// Contents of typical messages.
var (
	wireEngine = registrar.Identity{Name: "eng-b-17", Started: 1_790_000_123_456}
	wireBackup = registrar.Identity{Name: "eng-c-03", Started: 1_790_000_234_567}
	wireReport = reportUpdate{Service: "eng", Engine: wireEngine, AgeMs: 37, Report: placer.Report{
		Running: 12, Queued: 1, MemoryUsed: 21_432, MemoryTotal: 26_934, Sequences: wireSequences(12),
	}}
	wireUpdates = []struct {
		name   string
		update placer.Update
	}{
		{"placed", placer.Update{
			JobID: "q104729-6b1f", Event: placer.Placed, Engine: wireEngine, Backup: wireBackup, PromptTokens: 3079, MaxTokens: 1024, Priority: 1, Model: "m-large",
		}},
		{"started", placer.Update{JobID: "q104729-6b1f", Event: placer.Started}},
		{"ended", placer.Update{JobID: "q104729-6b1f", Event: placer.Ended, FinalTokens: 748}},
		{"queued", placer.Update{
			JobID: "q104729-6b1f", Event: placer.Queued, PromptTokens: 3079, MaxTokens: 1024, Priority: 1, Model: "m-large",
			Domain: "zone-b", FirstEventIn: 1800 * time.Millisecond, ClientLeavesIn: 4 * time.Second,
		}},
		{"migrating", placer.Update{
			JobID: "q104729-6b1f", Event: placer.Migrating, Engine: wireBackup, PromptTokens: 3079, MaxTokens: 1024, Priority: 1, Model: "m-large", OutputTokens: 412,
		}},
	}
)

// wireSequences returns n sequences of typical sizes.
func wireSequences(n int) []placer.Sequence {
	all := make([]placer.Sequence, n)
	for i := range all {
		all[i] = placer.Sequence{ID: fmt.Sprintf("q1047%02d-6b%02x", i, i), Tokens: 1500 + 150*i, Events: 12 * i}
	}
	return all
}

// updatesOf returns a message with one update.
func updatesOf(u placer.Update) *updateMessage {
	return &updateMessage{Services: []serviceUpdates{{Service: "eng", Updates: []placer.Update{u}}}}
}

// Guards against messages that grow unnoticed: these are most of the bytes between failure domains.
func TestSizesOfMessages(t *testing.T) {
	size := func(m *updateMessage) int {
		body, err := msgpack.Marshal(m)
		assert.NilError(t, err)
		return len(body)
	}
	sizes := map[string]int{"report": size(&updateMessage{Reports: []reportUpdate{wireReport}})}
	t.Logf("report with %d sequences: %d B", len(wireReport.Report.Sequences), sizes["report"])
	for _, c := range wireUpdates {
		sizes[c.name] = size(updatesOf(c.update))
		t.Logf("%s: %d B", c.name, sizes[c.name])
	}
	assert.DeepEqual(t, sizes, map[string]int{"report": 591, "placed": 227, "started": 200, "ended": 202, "queued": 235, "migrating": 221})
}

// Guards against bytes that are counted for another kind, or although they stay in the failure domain.
func TestBytesBetweenDomainsAreCountedByKind(t *testing.T) {
	f := newDaemonIn(t, "a")
	m := updatesOf(wireUpdates[0].update)
	m.Reports = []reportUpdate{wireReport}
	b, err := m.encode()
	assert.NilError(t, err)
	f.peers.countBatch(Daemon{Domain: "a"}, b)
	f.peers.countMessage("a", methodSync, 100)
	assert.Equal(t, f.metrics.counters.String(), "{}")
	f.peers.countBatch(Daemon{Domain: "b"}, b)
	f.peers.countMessage("b", methodSync, 100)
	f.peers.countMessage("b", methodGrant, 7)
	assert.Assert(t, b.reportBytes > 0 && b.reportBytes < len(b.body))
	want := map[string]int{bytesReports: b.reportBytes, bytesUpdates: len(b.body) - b.reportBytes, bytesSyncs: 100, bytesControl: 7}
	for name, n := range want {
		assert.Equal(t, f.metrics.counters.Get(name).String(), fmt.Sprint(n), name)
	}
}

// newDaemonIn returns a daemon of a failure domain that does not listen.
func newDaemonIn(t *testing.T, domain string) *Forwarder {
	t.Helper()
	f := New(Settings{Daemon: DaemonSettings{Name: "d", Domain: domain}}, nil, nil, timekeeper.System{}, rand.New(rand.NewPCG(1, 1)), zerolog.Nop())
	t.Cleanup(f.Close)
	return f
}

// fixedClient answers each request with the same body.
type fixedClient struct {
	EndpointClient
	body string
}

func (c fixedClient) Send(context.Context, *Request, Dispatch) (Response, error) {
	return Response{Body: io.NopCloser(strings.NewReader(c.body))}, nil
}

// Guards against responses that are not counted, which are most of the bytes of calls.
func TestBytesOfCallsToOtherDomainsAreCounted(t *testing.T) {
	f := newDaemonIn(t, "a")
	c := countedClient{EndpointClient: fixedClient{body: "answer"}, f: f}
	for _, domain := range []string{"a", "b"} {
		res, err := c.Send(t.Context(), &Request{Path: "/", Body: []byte("ask")}, Dispatch{Endpoint: registrar.Endpoint{Domain: domain}})
		assert.NilError(t, err)
		_, err = io.ReadAll(res.Body)
		assert.NilError(t, err)
	}
	assert.Equal(t, f.metrics.counters.Get(bytesCalls).String(), fmt.Sprint(len("/ask")+len("answer")))
}
