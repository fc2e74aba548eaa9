package forwarder

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"reflect"
	"slices"
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
			JobID: "q104729-6b1f", Number: 4321, Event: placer.Placed, Engine: wireEngine, Backup: wireBackup, PromptTokens: 3079, MaxTokens: 1024, Priority: 1, Model: "m-large",
		}},
		{"started", placer.Update{JobID: "q104729-6b1f", Number: 4321, Event: placer.Started}},
		{"ended", placer.Update{JobID: "q104729-6b1f", Number: 4321, Event: placer.Ended, FinalTokens: 748}},
		{"queued", placer.Update{
			JobID: "q104729-6b1f", Number: 4321, Event: placer.Queued, PromptTokens: 3079, MaxTokens: 1024, Priority: 1, Model: "m-large",
			Domain: "zone-b", FirstEventIn: 1800 * time.Millisecond, ClientLeavesIn: 4 * time.Second,
		}},
		{"migrating", placer.Update{
			JobID: "q104729-6b1f", Number: 4321, Event: placer.Migrating, Engine: wireBackup, PromptTokens: 3079, MaxTokens: 1024, Priority: 1, Model: "m-large", OutputTokens: 412,
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

// wireReports returns reports of n engines.
func wireReports(n int) []reportUpdate {
	all := slices.Repeat([]reportUpdate{wireReport}, n)
	for i := range all {
		all[i].Engine.Name = fmt.Sprintf("eng-b-%02d", i)
	}
	return all
}

// updatesOf returns a message with one update.
func updatesOf(u placer.Update) *updateMessage {
	return &updateMessage{Services: []serviceUpdates{{Service: "eng", Updates: []placer.Update{u}}}}
}

// Guards against messages that grow unnoticed: these are most of the bytes between failure domains.
func TestSizesOfMessages(t *testing.T) {
	sizes := map[string][2]int{}
	add := func(name string, m *updateMessage) {
		usual, err := m.encode(false)
		assert.NilError(t, err)
		compact, err := m.encode(true)
		assert.NilError(t, err)
		sizes[name] = [2]int{len(usual.body), len(compact.body)}
		t.Logf("%s: %d B, compact %d B", name, len(usual.body), len(compact.body))
	}
	add("report", &updateMessage{Reports: []reportUpdate{wireReport}})
	add("8 reports", &updateMessage{Reports: wireReports(8)})
	for _, c := range wireUpdates {
		add(c.name, updatesOf(c.update))
	}
	assert.DeepEqual(t, sizes, map[string][2]int{
		"report": {591, 253}, "8 reports": {4658, 1942}, "placed": {237, 87}, "started": {210, 32}, "ended": {212, 35}, "queued": {245, 62}, "migrating": {231, 71},
	})
}

// fill sets all fields that are sent to values other than zero.
func fill(v reflect.Value, n *int64) {
	*n++
	switch {
	case v.Type() == durationType:
		v.SetInt(*n * int64(time.Millisecond))
	case v.Kind() == reflect.Struct:
		for i := range v.NumField() {
			if f := v.Type().Field(i); isPacked(&f) {
				fill(v.Field(i), n)
			}
		}
	case v.Kind() == reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		fill(v.Index(0), n)
		fill(v.Index(1), n)
	case v.Kind() == reflect.String:
		v.SetString(fmt.Sprint("s", *n))
	case v.Kind() == reflect.Bool:
		v.SetBool(true)
	case v.CanInt():
		v.SetInt(*n)
	case v.CanUint():
		v.SetUint(uint64(*n))
	case v.CanFloat():
		v.SetFloat(float64(*n) + 0.5)
	}
}

// Guards against fields that the compact form loses, such as one that is added later, and against
// those that both forms lose.
func TestBothFormsKeepAllFields(t *testing.T) {
	n := int64(0)
	var m updateMessage
	fill(reflect.ValueOf(&m.Services).Elem(), &n)
	fill(reflect.ValueOf(&m.Reports).Elem(), &n)
	fill(reflect.ValueOf(&m.ShuttingDown).Elem(), &n)
	fill(reflect.ValueOf(&m.Endpoints).Elem(), &n)
	fill(reflect.ValueOf(&m.Limits).Elem(), &n)
	m.Manifest = 7
	usual, err := m.encode(false)
	assert.NilError(t, err)
	var got updateMessage
	assert.NilError(t, msgpack.Unmarshal(usual.body, &got))
	assert.Assert(t, reflect.DeepEqual(got, m), "%+v\n%+v", got, m)
	compact, err := m.encode(true)
	assert.NilError(t, err)
	decoded, err := decodeCompact(compact.body)
	assert.NilError(t, err)
	m.compact = true
	assert.Assert(t, reflect.DeepEqual(*decoded, m), "%+v\n%+v", *decoded, m)
	for i := range compact.body { // A body that is cut off is an error, never a panic.
		if _, err := decodeCompact(compact.body[:i]); err == nil {
			t.Fatalf("%d of %d bytes were accepted", i, len(compact.body))
		}
	}
}

// Guards against updates in a form that a peer of an earlier or later version does not decode.
func TestPeersGetTheFormThatTheyDecode(t *testing.T) {
	f := newDaemonInA(t)
	o := &peer{daemon: Daemon{Name: "o", Addr: "o:1", Domain: "b"}, queue: make(chan batch, 1), alive: true}
	f.peers.known["o"] = o
	m := updatesOf(wireUpdates[0].update)
	for _, c := range []struct {
		wire   int
		method string
	}{{0, methodUpdate}, {compactWire, methodCompact}, {compactWire + 1, methodCompact}, {0, methodUpdate}} {
		f.peers.recordSync(&syncMessage{Daemon: o.daemon, Wire: c.wire})
		f.peers.enqueue(m)
		assert.Equal(t, (<-o.queue).method, c.method)
	}
	assert.Equal(t, f.peers.syncState().Wire, compactWire)
}

// Guards against a daemon that applies only one of the forms.
func TestDaemonAppliesBothForms(t *testing.T) {
	for _, compact := range []bool{false, true} {
		f := newDaemonInA(t)
		b, err := (&updateMessage{ShuttingDown: []shutdownUpdate{{Endpoint: wireEngine}}}).encode(compact)
		assert.NilError(t, err)
		_, err = f.peers.HandleCall(t.Context(), "o", b.method, b.body)
		assert.NilError(t, err)
		f.registry.Set(registrar.Endpoint{Identity: wireEngine, Service: "eng", Revision: 1})
		assert.Assert(t, f.registry.ShuttingDown(wireEngine))
	}
}

// Guards against a later version whose new fields make this one drop its updates.
func TestCompactFormSkipsFieldsOfLaterVersions(t *testing.T) {
	type later struct {
		A string
		B int
		C []string
		D string
	}
	type earlier struct {
		A string
		B int
	}
	p := newPacker()
	assert.NilError(t, p.pack(reflect.ValueOf([]later{{"x", 1, []string{"y"}, "z"}, {"v", 2, nil, ""}})))
	var got []earlier
	u := &unpacker{dec: msgpack.NewDecoder(&p.out)}
	assert.NilError(t, u.unpack(reflect.ValueOf(&got).Elem()))
	assert.DeepEqual(t, got, []earlier{{"x", 1}, {"v", 2}})
}

// BenchmarkForms measures encoding and decoding a message with 8 reports.
func BenchmarkForms(b *testing.B) {
	m := &updateMessage{Reports: wireReports(8)}
	for _, compact := range []bool{false, true} {
		e, err := m.encode(compact)
		assert.NilError(b, err)
		b.Run(fmt.Sprint("encode compact=", compact), func(b *testing.B) {
			for b.Loop() {
				_, _ = m.encode(compact)
			}
		})
		b.Run(fmt.Sprint("decode compact=", compact), func(b *testing.B) {
			for b.Loop() {
				if compact {
					_, _ = decodeCompact(e.body)
				} else {
					_ = msgpack.Unmarshal(e.body, &updateMessage{})
				}
			}
		})
	}
}

// Guards against bytes that are counted for another kind, or although they stay in the failure domain.
func TestBytesBetweenDomainsAreCountedByKind(t *testing.T) {
	f := newDaemonInA(t)
	m := updatesOf(wireUpdates[0].update)
	m.Reports = []reportUpdate{wireReport}
	b, err := m.encode(false)
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

// newDaemonInA returns a daemon of failure domain a that does not listen.
func newDaemonInA(t *testing.T) *Forwarder {
	t.Helper()
	f := New(Settings{Daemon: DaemonSettings{Name: "d", Domain: "a"}}, nil, nil, timekeeper.System{}, rand.New(rand.NewPCG(1, 1)), zerolog.Nop())
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
	f := newDaemonInA(t)
	c := countedClient{EndpointClient: fixedClient{body: "answer"}, f: f}
	for _, domain := range []string{"a", "b"} {
		res, err := c.Send(t.Context(), &Request{Path: "/", Body: []byte("ask")}, Dispatch{Endpoint: registrar.Endpoint{Domain: domain}})
		assert.NilError(t, err)
		_, err = io.ReadAll(res.Body)
		assert.NilError(t, err)
	}
	assert.Equal(t, f.metrics.counters.Get(bytesCalls).String(), fmt.Sprint(len("/ask")+len("answer")))
}
