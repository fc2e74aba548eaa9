package e2e_test

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"monsoonspar.example/protocol/publisher"
	"monsoonspar.example/protocol/storer"
	"monsoonspar.example/state/parser"
	"monsoonspar.example/state/partitioner"
	"monsoonspar.example/state/timekeeper"
	"monsoonspar.example/transport/dialer"
)

// awaitGeneration waits until daemons have exactly this generation in force.
func awaitGeneration(t *testing.T, generation uint64, daemons ...*daemon) {
	t.Helper()
	for _, d := range daemons {
		waitFor(t, d.name+" to have the manifest in force", func() bool { return d.generation() == generation })
	}
}

// installed returns the generations that the present process has put in force,
// by its log.
func (d *daemon) installed() []uint64 {
	d.t.Helper()
	text, err := os.ReadFile(d.logs.path)
	assert.NilError(d.t, err)
	var generations []uint64
	for line := range strings.Lines(string(text)) {
		var entry struct {
			Message    string `json:"message"`
			Generation uint64 `json:"generation"`
		}
		if json.Unmarshal([]byte(line), &entry) == nil && entry.Message == "config: in force" {
			generations = append(generations, entry.Generation)
		}
	}
	return generations
}

// checkInstalled checks that each daemon has put rising generations in force,
// the last of them this one.
func checkInstalled(t *testing.T, generation uint64, daemons ...*daemon) {
	t.Helper()
	for _, d := range daemons {
		generations := d.installed()
		assert.Assert(t, len(generations) > 0)
		assert.Equal(t, generations[len(generations)-1], generation)
		assert.Assert(t, slices.IsSorted(generations), "%s: %v", d.name, generations)
	}
}

// reads returns the number of reads that the platform was asked for.
func (c *cluster) reads() int {
	c.t.Helper()
	_, body := get("http://" + c.platform.addr("listening") + "/calls")
	var calls map[string]int
	assert.NilError(c.t, json.Unmarshal([]byte(body), &calls))
	return calls[http.MethodGet]
}

// publishUnchecked makes sections the accepted manifest past all checks.
func (c *cluster) publishUnchecked(sections []parser.Section) {
	c.t.Helper()
	clock := timekeeper.System{}
	cfg := storer.Config{Addr: c.platform.addr("listening"), Deployment: "registro"}
	st := storer.New(cfg, dialer.New(dialer.Config{}, clock), clock, rand.New(rand.NewPCG(1, 2)))
	base, err := publisher.ReadHead(c.t.Context(), st)
	assert.NilError(c.t, err)
	s, err := partitioner.Split(sections)
	assert.NilError(c.t, err)
	_, err = publisher.Publish(c.t.Context(), st, base, s, "unchecked", clock.Now())
	assert.NilError(c.t, err)
}

// Watches that go silent for good, at the platform or on the way, keep no
// manifest back.
func TestManifestIsFoundUnderSilentWatches(t *testing.T) {
	c := startCluster(t, layout{daemons: 2, engines: 1, relayed: true})
	first := c.daemons[0].generation()
	setFaults(t, c.platform, "listening", `{"watch_silent":true}`)
	c.apply(c.renderManifest(9))
	awaitGeneration(t, first+1, c.daemons...)
	setFaults(t, c.platform, "listening", `{"watch_silent":false}`)
	setFaults(t, c.relay, "control", `{"mute_open":true}`)
	c.apply(c.renderManifest(8))
	awaitGeneration(t, first+2, c.daemons...)
}

// Daemons that read an old state of the platform put none of it in force.
func TestStaleReadsRevertNoDaemon(t *testing.T) {
	c := startCluster(t, layout{daemons: 3, engines: 1, relayed: true})
	first := c.daemons[0].generation()
	c.apply(c.renderManifest(9))
	awaitGeneration(t, first+1, c.daemons...)
	stale := "http://" + c.platform.addr("listening") + "/apis/monsoonspar.example/v1/namespaces/registro/manifests/current"
	for back := 1; ; back++ {
		setFaults(t, c.platform, "listening", `{"stale_versions":`+strconv.Itoa(back)+`}`)
		if status, body := get(stale); status == http.StatusOK && strings.Contains(body, `"generation":`+strconv.Itoa(int(first))+`,`) {
			break
		}
		assert.Assert(t, back < 1000)
	}
	// The first daemon watches anew, and so reads the old state at once; the
	// others read it in their turn.
	setFaults(t, c.relay, "control", `{"cut":true}`)
	setFaults(t, c.relay, "control", `{"cut":false}`)
	before := c.reads()
	waitFor(t, "the daemons to read", func() bool { return c.reads() >= before+10 })
	awaitGeneration(t, first+1, c.daemons...)
	checkInstalled(t, first+1, c.daemons...)
}

// A daemon that was paused over changes takes up the latest.
func TestPausedDaemonTakesUpTheLatestManifest(t *testing.T) {
	c := startCluster(t, layout{daemons: 3, engines: 1})
	first := c.daemons[0].generation()
	c.daemons[1].signal(syscall.SIGSTOP)
	c.apply(c.renderManifest(9))
	c.apply(c.renderManifest(8))
	awaitGeneration(t, first+2, c.daemons[0], c.daemons[2])
	c.daemons[1].signal(syscall.SIGCONT)
	awaitGeneration(t, first+2, c.daemons...)
	checkInstalled(t, first+2, c.daemons...)
}

// An invalid manifest that reaches the platform past apply leaves the good one
// in force, and a good one after it is taken.
func TestInvalidManifestAtThePlatformIsNotTaken(t *testing.T) {
	c := startCluster(t, layout{daemons: 2, engines: 1})
	first := c.daemons[0].generation()
	c.publishUnchecked([]parser.Section{{Title: "colour", Text: "[colour]\nred = 1\n"}})
	for _, d := range c.daemons {
		waitFor(t, d.name+" to reject the manifest", func() bool {
			text, err := os.ReadFile(d.logs.path)
			return err == nil && strings.Contains(string(text), "config: manifest rejected")
		})
	}
	awaitGeneration(t, first, c.daemons...)
	c.apply(c.renderManifest(9))
	awaitGeneration(t, first+2, c.daemons...)
	checkInstalled(t, first+2, c.daemons...)
}
