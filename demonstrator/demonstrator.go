// Package demonstrator runs a small deployment in one process, for tests and the
// demo command: stand-ins of the external systems and a few daemons, on free
// loopback ports.
package demonstrator

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"monsoonspar.example/protocol/publisher"
	"monsoonspar.example/protocol/storer"
	"monsoonspar.example/server"
	"monsoonspar.example/standin/engine"
	"monsoonspar.example/standin/platform"
	"monsoonspar.example/standin/service"
	"monsoonspar.example/state/parser"
	"monsoonspar.example/state/partitioner"
	"monsoonspar.example/state/timekeeper"
	"monsoonspar.example/transport/dialer"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// Names and keys of the sample deployment.
const (
	Model   = "redazione"
	Service = "registro-app"
	APIKey  = "sample-key-gazzetta"

	deployment = "registro"
	domain     = "milano-a"
	region     = "padania"
	sharedKey  = "sample-shared-key"
	anyPort    = "127.0.0.1:0"
)

// sampleManifest is the manifest without its endpoints. Its argument is the hash of
// APIKey.
const sampleManifest = `[deployment]
name = registro
region = padania
[weights]
stall_time = 10
preemptions = 2
token_gap = 1
[defaults]
timeout = 20s
max_timeout = 60s
resume_grace = 1s
[priority newsroom]
level = 10
[domain milano-a]
[model redazione]
versions = v1
max_tokens = 4096
context = 32768
[service registro-app]
non_idempotent = /corrections
[customer gazzetta]
key_hashes = %s
priority = newsroom
weight = 1
`

// Config describes the deployment to start.
type Config struct {
	Daemons     int
	Engines     int
	EngineAddrs []string      // Addresses of additional engines that are already running.
	StepTime    time.Duration // Duration of a decode step of the started engines.
	BalancerLag time.Duration
	Log         zerolog.Logger
}

// Deployment is a running deployment.
type Deployment struct {
	Daemons      []*server.Server
	DaemonAddrs  []server.Addrs // In the order of Daemons.
	ServiceAddr  string
	PlatformAddr string
	Manifest     string // The manifest applied by Start.

	store   *storer.Client
	closers []func()
}

// Start starts a deployment with the sample manifest.
func Start(cfg Config) (*Deployment, error) {
	d := &Deployment{}
	if err := d.start(cfg); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

// start brings up the stand-ins, applies the manifest and starts the daemons.
func (d *Deployment) start(cfg Config) error {
	p := platform.New(platform.Config{})
	var err error
	if d.PlatformAddr, err = p.Start(anyPort); err != nil {
		return errors.Wrap(err, "start platform")
	}
	d.closers = append(d.closers, func() { _ = p.Close() })
	clock := timekeeper.System{}
	d.store = storer.New(storer.Config{Addr: d.PlatformAddr, Deployment: deployment},
		dialer.New(dialer.Config{}, clock), clock, rand.New(rand.NewPCG(1, 2)))
	if d.Manifest, err = d.startEndpoints(cfg); err != nil {
		return err
	}
	if err := d.Apply(context.Background(), d.Manifest); err != nil {
		return err
	}
	return d.startDaemons(cfg)
}

// startEndpoints starts the engines and the service. It returns the manifest that
// declares them.
func (d *Deployment) startEndpoints(cfg Config) (string, error) {
	var manifest strings.Builder
	sum := sha256.Sum256([]byte(APIKey))
	fmt.Fprintf(&manifest, sampleManifest, hex.EncodeToString(sum[:]))
	addrs := cfg.EngineAddrs
	for range cfg.Engines {
		e := engine.New(engine.Config{
			Models: []engine.Model{{Model: Model, Version: "v1"}}, StepTime: cfg.StepTime,
		})
		addr, err := e.Start(anyPort)
		if err != nil {
			return "", errors.Wrap(err, "start engine")
		}
		d.closers = append(d.closers, func() { _ = e.Close() })
		addrs = append(addrs, addr)
	}
	for i, addr := range addrs {
		fmt.Fprintf(&manifest, "[endpoint engine-%d]\nkind = engine\ndomain = %s\naddr = %s\nmodels = %s@v1\n", i, domain, addr, Model)
		manifest.WriteString("memory_tokens = 100000\nblock_tokens = 16\nmax_batch = 1024\n")
	}
	app := service.New(service.Config{})
	addr, err := app.Start(anyPort)
	if err != nil {
		return "", errors.Wrap(err, "start service")
	}
	d.closers = append(d.closers, func() { _ = app.Close() })
	d.ServiceAddr = addr
	fmt.Fprintf(&manifest, "[endpoint app-1]\nservice = %s\nkind = service\ndomain = %s\naddr = %s\n", Service, domain, addr)
	return manifest.String(), nil
}

// Apply publishes a manifest as the successor of the currently accepted one.
func (d *Deployment) Apply(ctx context.Context, text string) error {
	sections, err := parser.Sections("manifest", []byte(text))
	if err != nil {
		return err
	}
	snap, err := partitioner.Split(sections)
	if err != nil {
		return err
	}
	base, err := publisher.ReadHead(ctx, d.store)
	if err != nil && !errors.Is(err, publisher.ErrNoManifest) {
		return err
	}
	_, err = publisher.Publish(ctx, d.store, base, snap, fmt.Sprint("demonstrator ", base.Version), timekeeper.System{}.Now())
	return err
}

// startDaemons starts the daemons. Each uses those started before it as seeds.
func (d *Deployment) startDaemons(cfg Config) error {
	var seeds []string
	for i := range cfg.Daemons {
		s, err := server.New(parser.Settings{
			Daemon: parser.DaemonSettings{
				Name: fmt.Sprintf("daemon-%d", i), Domain: domain, Region: region,
				Listen: anyPort, PeerListen: anyPort, AdminListen: anyPort,
			},
			Platform: parser.PlatformSettings{Addr: d.PlatformAddr, Deployment: deployment, Timeout: 2 * time.Second},
			Peers:    parser.PeerSettings{SharedKey: sharedKey, Seeds: seeds},
			Drain:    parser.DrainSettings{BalancerLag: cfg.BalancerLag},
		}, cfg.Log)
		if err != nil {
			return err
		}
		addrs, err := s.Start()
		if err != nil {
			return err
		}
		d.closers = append(d.closers, s.Close)
		seeds = append(seeds, addrs.Peers)
		d.Daemons = append(d.Daemons, s)
		d.DaemonAddrs = append(d.DaemonAddrs, addrs)
	}
	return nil
}

// Close stops all components immediately, in reverse order of their start.
func (d *Deployment) Close() {
	for i := len(d.closers) - 1; i >= 0; i-- {
		d.closers[i]()
	}
	d.closers = nil
}
