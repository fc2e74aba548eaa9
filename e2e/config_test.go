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

// awaitGeneration waits until exactly this generation is in force at the daemons.
func awaitGeneration(t *testing.T, generation uint64, daemons ...*daemon) {
	t.Helper()
	for _, d := range daemons {
		waitFor(t, d.name+" to have the manifest in force", func() bool { return d.generation() == generation })
	}
}

// installedGenerations returns the generations that the current process of the
// daemon has put in force, according to its log.
func (d *daemon) installedGenerations() []uint64 {
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

// checkInstalled checks that the generations that each daemon has put in force
// are in ascending order and end with the given one.
func checkInstalled(t *testing.T, generation uint64, daemons ...*daemon) {
	t.Helper()
	for _, d := range daemons {
		generations := d.installedGenerations()
		assert.Assert(t, len(generations) > 0)
		assert.Equal(t, generations[len(generations)-1], generation)
		assert.Assert(t, slices.IsSorted(generations), "%s: %v", d.name, generations)
	}
}

// platformReads returns the number of reads that the platform has received.
func (c *cluster) platformReads() int {
	c.t.Helper()
	_, body := get("http://" + c.platform.addr("listening") + "/calls")
	var calls map[string]int
	assert.NilError(c.t, json.Unmarshal([]byte(body), &calls))
	return calls[http.MethodGet]
}

// publishUnchecked publishes sections as the accepted manifest without checks.
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

// A watch that stays open without delivering events, because of the platform or
// the network, must not prevent a daemon from finding a new manifest.
func TestManifestIsFoundUnderSilentWatches(t *testing.T) {
	c := startCluster(t, clusterConfig{daemons: 2, engines: 1, relayPlatform: true})
	first := c.daemons[0].generation()
	setFaults(t, c.platform, "listening", `{"watch_silent":true}`)
	c.apply(c.renderManifest(9))
	awaitGeneration(t, first+1, c.daemons...)
	setFaults(t, c.platform, "listening", `{"watch_silent":false}`)
	setFaults(t, c.relay, "control", `{"mute_open":true}`)
	c.apply(c.renderManifest(8))
	awaitGeneration(t, first+2, c.daemons...)
}

// Stale reads from the platform must not revert a daemon to an older manifest.
func TestStaleReadsRevertNoDaemon(t *testing.T) {
	c := startCluster(t, clusterConfig{daemons: 3, engines: 1, relayPlatform: true})
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
	// Cutting the connection makes the first daemon restart its watch, and so read
	// the stale state at once; the others read it at their next poll.
	setFaults(t, c.relay, "control", `{"cut":true}`)
	setFaults(t, c.relay, "control", `{"cut":false}`)
	before := c.platformReads()
	waitFor(t, "the daemons to read the stale state", func() bool { return c.platformReads() >= before+10 })
	awaitGeneration(t, first+1, c.daemons...)
	checkInstalled(t, first+1, c.daemons...)
}

// A daemon that is paused while the manifest changes twice must put the latest
// generation in force when it continues.
func TestPausedDaemonInstallsLatestManifest(t *testing.T) {
	c := startCluster(t, clusterConfig{daemons: 3, engines: 1})
	first := c.daemons[0].generation()
	c.daemons[1].signal(syscall.SIGSTOP)
	c.apply(c.renderManifest(9))
	c.apply(c.renderManifest(8))
	awaitGeneration(t, first+2, c.daemons[0], c.daemons[2])
	c.daemons[1].signal(syscall.SIGCONT)
	awaitGeneration(t, first+2, c.daemons...)
	checkInstalled(t, first+2, c.daemons...)
}

// An invalid manifest that was published without the checks of apply must leave
// the valid one in force, and a later valid one must be put in force.
func TestInvalidManifestAtPlatformIsRejected(t *testing.T) {
	c := startCluster(t, clusterConfig{daemons: 2, engines: 1})
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
