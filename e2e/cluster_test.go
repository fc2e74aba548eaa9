package e2e_test

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonspar.example/standin/caller"
	"monsoonspar.example/state/timekeeper"
	"monsoonspar.example/transport/dialer"
)

const (
	apiKey     = "sample-key-gazzetta-po"
	apiKeyHash = "b5c5b3491f73ca52a9567c2931420cc7a7f5319e78b186d219081bfa46b054c1"

	otherKey     = "sample-key-corriere-adda"
	otherKeyHash = "086f492cf0869a4f35f32ed3ec15c9a717d295b112fa1a66e543e3d82ce2748c"

	model             = "redazione"
	filingPath        = "/services/registro-app/corrections"
	callerReadTimeout = 20 * time.Second
)

// clusterConfig describes a cluster.
type clusterConfig struct {
	daemons       int
	engines       int
	engineArgs    []string
	platformArgs  []string
	relayPlatform bool // The first daemon reaches the platform through a relay.
	balancerLag   time.Duration
	daemonProgram string // The one of all tests by default.
}

// daemon is a daemon process of the system under test.
type daemon struct {
	*process
	clientAddr   string // For client requests.
	peerAddr     string
	adminAddr    string
	settingsPath string
}

// cluster is a deployment of one failure domain on loopback addresses.
type cluster struct {
	t        *testing.T
	platform *process
	relay    *process // Between the first daemon and the platform; may be nil.
	engines  []*process
	service  *process
	daemons  []*daemon

	daemonProgram string
	manifest      string
	caller        *caller.Caller
}

// clusterSlots limits the number of clusters that run concurrently.
var clusterSlots = make(chan struct{}, 3)

// startCluster starts all processes, applies a manifest and waits until every
// daemon is ready. It marks the test as parallel.
func startCluster(t *testing.T, cfg clusterConfig) *cluster {
	t.Helper()
	requireSources(t)
	t.Parallel()
	clusterSlots <- struct{}{}
	t.Cleanup(func() { <-clusterSlots })
	c := &cluster{t: t, daemonProgram: cmp.Or(cfg.daemonProgram, daemonProgram), platform: startProcess(t, "platform", standinProgram, append([]string{"platform"}, cfg.platformArgs...)...)}
	for i := range cfg.engines {
		args := append([]string{"engine", "--model", model + "/2026-11"}, cfg.engineArgs...)
		c.engines = append(c.engines, startProcess(t, fmt.Sprint("engine ", i), standinProgram, args...))
	}
	c.service = startProcess(t, "service", standinProgram, "service")
	c.manifest = c.renderManifest(10)
	if cfg.relayPlatform {
		c.relay = startProcess(t, "relay", standinProgram, "relay", "--target", c.platform.addr("listening"))
	}
	for i := range cfg.daemons {
		c.addDaemon(i, cfg)
	}
	for _, d := range c.daemons {
		c.startDaemon(d)
	}
	c.apply(c.manifest)
	for _, d := range c.daemons {
		c.awaitReady(d)
	}
	httpClient := dialer.New(dialer.Config{}, timekeeper.System{})
	t.Cleanup(httpClient.Close)
	c.caller = caller.New(httpClient, callerReadTimeout)
	return c
}

// addDaemon adds a daemon and writes its settings, but does not start it.
func (c *cluster) addDaemon(i int, cfg clusterConfig) {
	c.t.Helper()
	d := &daemon{clientAddr: freeAddr(c.t), peerAddr: freeAddr(c.t), adminAddr: freeAddr(c.t)}
	seeds := d.peerAddr
	if len(c.daemons) > 0 {
		seeds = c.daemons[0].peerAddr
	}
	platformAddr := c.platform.addr("listening")
	if i == 0 && c.relay != nil {
		platformAddr = c.relay.addr("listening")
	}
	d.settingsPath = writeFile(c.t, "daemon.ini", `
[daemon]
name = milano-a-%d
domain = milano-a
region = padania
listen = %s
peer_listen = %s
admin_listen = %s

[platform]
addr = %s
deployment = registro
token = daemon-%d
timeout = 1s

[peers]
shared_key = sample-peer-key-of-registro
seeds = %s

[drain]
balancer_lag = %v

[log]
level = debug

[invariants]
fatal = true
`, i, d.clientAddr, d.peerAddr, d.adminAddr, platformAddr, i, seeds, cfg.balancerLag)
	c.daemons = append(c.daemons, d)
}

// startDaemon starts or restarts a daemon.
func (c *cluster) startDaemon(d *daemon) {
	c.t.Helper()
	d.process = startProcess(c.t, "daemon "+d.clientAddr, c.daemonProgram, "serve", d.settingsPath)
}

// renderManifest returns a manifest with an output limit in thousands of tokens,
// which distinguishes the generations of the manifest.
func (c *cluster) renderManifest(maxThousands int) string {
	var b strings.Builder
	fmt.Fprintf(&b, `
[deployment]
name = registro
region = padania

[weights]
stall_time = 10
preemptions = 2
token_gap = 1

[defaults]
timeout = 60s
max_timeout = 10m
max_body_bytes = 1048576
max_tokens = 1024
resume_grace = 30s
token_timeout = 3s
token_gap_target = 73ms
first_token_goal = 1200ms
claim_retention = 48h
long_job_age_bound = 3m
long_share = 0.8
loads_per_minute = 6

[priority newsroom]
level = 20

[domain milano-a]

[model %s]
versions = 2026-11
max_tokens = %d
context = 32768

[service registro-app]
non_idempotent = /corrections
timeout = 20s

[customer gazzetta-po]
key_hashes = %s
priority = newsroom
weight = 4
max_queued = 400
max_running = 120

[customer corriere-adda]
key_hashes = %s
priority = newsroom
weight = 1

[endpoint app-1]
kind = service
domain = milano-a
addr = %s
service = registro-app
`, model, maxThousands*1000, apiKeyHash, otherKeyHash, c.service.addr("listening"))
	for i, e := range c.engines {
		fmt.Fprintf(&b, `
[endpoint engine-%d]
kind = engine
domain = milano-a
addr = %s
models = %s@2026-11
memory_tokens = 100000
block_tokens = 16
max_batch = 64
`, i, e.addr("listening"), model)
	}
	return b.String()
}

// apply applies a manifest with the command that operators use.
func (c *cluster) apply(manifest string) {
	c.t.Helper()
	out, code := c.tryApply(manifest)
	assert.Equal(c.t, code, 0, out)
}

// tryApply is like apply, but returns the output and the exit code.
func (c *cluster) tryApply(manifest string, args ...string) (string, int) {
	c.t.Helper()
	path := writeFile(c.t, "manifest.ini", "%s", manifest)
	args = append([]string{"apply", "--platform", c.platform.addr("listening"), path}, args...)
	cmd := exec.CommandContext(c.t.Context(), daemonProgram, args...)
	out, _ := cmd.CombinedOutput()
	return string(out), cmd.ProcessState.ExitCode()
}

func (c *cluster) awaitReady(d *daemon) {
	c.t.Helper()
	waitFor(c.t, d.name+" to be ready", func() bool {
		assert.Assert(c.t, d.running(), "%s has exited", d.name)
		status, _ := get("http://" + d.adminAddr + "/readyz")
		return status == http.StatusOK
	})
}

// daemonStatus is the part of /status that the tests use.
type daemonStatus struct {
	Ready      bool   `json:"ready"`
	Generation uint64 `json:"generation"`
	Lease      struct {
		Held bool `json:"held"`
	} `json:"lease"`
	Endpoints []endpointStatus `json:"endpoints"`
}

type endpointStatus struct {
	Name         string `json:"name"`
	ShuttingDown bool   `json:"leaving"`
}

func (d *daemon) status() (daemonStatus, error) {
	var s daemonStatus
	_, body := get("http://" + d.adminAddr + "/status")
	err := json.Unmarshal([]byte(body), &s)
	return s, err
}

// generation returns the generation of the manifest in force at a daemon, or zero
// if the daemon does not respond.
func (d *daemon) generation() uint64 {
	s, err := d.status()
	if err != nil {
		return 0
	}
	return s.Generation
}

// setFaults sets the faults of a stand-in at its address with the given label,
// see process.addr.
func setFaults(t *testing.T, p *process, label, body string) {
	t.Helper()
	res, err := http.Post("http://"+p.addr(label)+"/faults", "application/json", strings.NewReader(body))
	assert.NilError(t, err)
	defer func() { _ = res.Body.Close() }()
	assert.Equal(t, res.StatusCode, http.StatusNoContent)
}

// get returns a status of zero if there is no response.
func get(url string) (int, string) {
	client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Get(url)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, ""
	}
	return res.StatusCode, string(body)
}

// runCount returns how often the service ran a request.
func (c *cluster) runCount(id string) int {
	c.t.Helper()
	_, body := get("http://" + c.service.addr("listening") + "/runs")
	var response struct {
		Runs map[string]int `json:"runs"`
	}
	assert.NilError(c.t, json.NewDecoder(bytes.NewBufferString(body)).Decode(&response))
	return response.Runs[id]
}

// counts holds the numbers of requests that an engine has handled.
type counts struct {
	Started int `json:"started"`
	Refused int `json:"refused"`
	Resumed int `json:"resumed"`
}

func (c *cluster) counts(engine int) counts {
	c.t.Helper()
	_, body := get("http://" + c.engines[engine].addr("listening") + "/counts")
	var n counts
	assert.NilError(c.t, json.Unmarshal([]byte(body), &n))
	return n
}

// load is the load report of an engine.
type load struct {
	Running   int `json:"running"`
	Waiting   int `json:"waiting"`
	Sequences []struct {
		Produced int `json:"produced"`
	} `json:"sequences"`
}

func (c *cluster) load(engine int) load {
	_, body := get("http://" + c.engines[engine].addr("listening") + "/load")
	var l load
	if json.Unmarshal([]byte(body), &l) != nil {
		return load{}
	}
	return l
}

// awaitProduced waits until a running generation has produced at least n tokens,
// and returns the index of its engine.
func (c *cluster) awaitProduced(n int) int {
	c.t.Helper()
	found := 0
	waitFor(c.t, "a running generation", func() bool {
		for i := range c.engines {
			for _, seq := range c.load(i).Sequences {
				if seq.Produced >= n {
					found = i
					return true
				}
			}
		}
		return false
	})
	return found
}

// generationCall returns a call for a generation of n tokens with the given ID.
func (c *cluster) generationCall(daemon int, id string, n int) caller.Call {
	return caller.Call{
		Addr: c.daemons[daemon].clientAddr, Key: apiKey, Model: model, Stream: true, Chat: true, MaxTokens: 8000,
		Prompt: fmt.Sprintf("Draft a notice. [[id=%s]] [[tokens=%d]]", id, n),
	}
}

// filingCall returns a call that files a correction with the given ID.
func (c *cluster) filingCall(daemon int, id, key string) caller.Call {
	return caller.Call{
		Addr: c.daemons[daemon].clientAddr, Key: apiKey, Method: "POST", Path: filingPath,
		Body: `{"text":"[[id=` + id + `]]"}`, IdempotencyKey: key,
	}
}
