package main

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"reflect"
	"runtime/debug"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
	"github.com/sourcegraph/conc"

	"monsoonspar.example/forwarder"
	"monsoonspar.example/platform"
	"monsoonspar.example/state/asserter"
	"monsoonspar.example/state/timekeeper"
	"monsoonspar.example/transport/dialer"
	"monsoonspar.example/transport/signaler"
)

// forwardCmd runs a daemon on the operators' platform.
type forwardCmd struct {
	Settings string `arg:"" optional:"" type:"path" help:"Settings file; by default the one specified by the platform."`
}

// Help returns the text of forward --help.
func (*forwardCmd) Help() string {
	return `Runs a daemon that forwards requests to the workers of the platform, until SIGTERM,
SIGINT or SIGQUIT. It then reports that it is not ready, and exits after its last
request. The settings are read again when the file changes, at once on SIGHUP. Further
signals have no effect; only SIGKILL and SIGABRT abort requests.`
}

// maxBufferedLogLines bounds the log lines buffered while the output is not read. It
// covers a few seconds at the request rate of a fleet of the target size.
const maxBufferedLogLines = 1 << 12

// Settings of the garbage collector.
const (
	heapLimitFraction = 0.6 // Fraction of the memory limit; the rest is for stacks, kernel buffers and growth.
	heapGrowthPercent = 200 // Above the default of 100, for fewer collections and less CPU time on a small heap.
	mebibyte          = 1 << 20
)

// Run serves until a signal arrives and the last request has ended.
func (cmd *forwardCmd) Run(ctx context.Context, c console) error {
	file := cmd.Settings
	if file == "" {
		file = os.Getenv(platform.SettingsVariable)
	}
	cfg, err := readForwarderSettings(file)
	if err != nil {
		return err
	}
	if cfg.Daemon.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(heapLimitFraction * float64(cfg.Daemon.MemoryMB) * mebibyte))
	}
	debug.SetGCPercent(heapGrowthPercent)
	level, err := zerolog.ParseLevel(cfg.Log.Level)
	if err != nil {
		return errors.Wrap(err, "log.level")
	}
	out := diode.NewWriter(c.Stdout, maxBufferedLogLines, 0, func(missed int) {
		fmt.Fprintf(c.Stderr, "forward: dropped %d log lines: standard output was not read fast enough\n", missed)
	})
	defer func() { _ = out.Close() }() // The error cannot be logged anymore.
	zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000Z07:00"
	log := zerolog.New(out).Level(level).With().Timestamp().Str("daemon", cfg.Daemon.Name).Logger()
	asserter.SetHandler(violationHandler(log, false))
	clock := timekeeper.System{}
	storeDialer := dialer.New(dialer.Config{DialTimeout: dialTimeout, ReceiveBufferBytes: receiveBufferBytes}, clock)
	paths := forwarder.NewPaths(dialEndpoint)
	d := dialer.New(dialer.Config{Network: paths, ReceiveBufferBytes: receiveBufferBytes}, clock)
	rnd := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	f := forwarder.New(cfg, platform.NewStore(storeDialer, cfg.Store.Addr, log), platform.NewWorkers(d), clock, rnd, log)
	f.SetCodec(platform.Codec{})
	f.SetPaths(paths, d.DiscardUnusable)
	stopped, hangups := signaler.Listen(ctx)
	if err := f.Start(); err != nil {
		return err
	}
	serving, end := context.WithCancel(ctx) // Until the last request has ended, unlike stopped.
	var group conc.WaitGroup
	r := &reloader{file: file, forwarder: f, log: log, clock: clock, inForce: cfg}
	group.Go(func() { r.handleSignals(serving, hangups) })
	group.Go(func() { r.poll(serving) })
	defer group.Wait()
	defer end()
	return f.Run(stopped)
}

// dialEndpoint opens a connection to a worker.
func dialEndpoint(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, "tcp", addr)
}

// readForwarderSettings reads and checks a settings file.
func readForwarderSettings(file string) (forwarder.Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return forwarder.Settings{}, errors.Wrap(err, "settings")
	}
	cfg, err := forwarder.ParseSettings(text)
	return cfg, errors.Wrap(err, file)
}

// settingsInterval is the time between two reads of the settings, which may change without a signal.
// It also covers a SIGHUP that precedes the end of the change of the file.
const settingsInterval = time.Second

// reloader reloads the settings of a daemon.
type reloader struct {
	file      string
	forwarder *forwarder.Forwarder
	log       zerolog.Logger
	clock     timekeeper.Sleeper

	mu      sync.Mutex
	text    []byte // Of the file when it was read last.
	failure string // Of the last read; empty if it succeeded.
	inForce forwarder.Settings
}

// handleSignals reloads the settings on each SIGHUP until ctx ends.
func (r *reloader) handleSignals(ctx context.Context, hangups <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		r.reload()
	}
}

// poll reloads the settings whenever they have changed, until ctx ends.
func (r *reloader) poll(ctx context.Context) {
	for r.clock.Sleep(ctx, settingsInterval) == nil {
		r.reload()
	}
}

// reload reads the settings. If the file is invalid, the previous settings remain in force.
func (r *reloader) reload() {
	r.mu.Lock()
	defer r.mu.Unlock()
	text, err := os.ReadFile(r.file)
	if err != nil {
		r.fail(err)
		return
	}
	if bytes.Equal(text, r.text) {
		return
	}
	r.text = text
	cfg, err := forwarder.ParseSettings(text)
	if err != nil {
		r.fail(errors.Wrap(err, r.file))
		return
	}
	r.failure = ""
	r.apply(cfg)
}

// apply puts the settings in force that may change while the daemon runs, and logs that others have changed.
func (r *reloader) apply(cfg forwarder.Settings) {
	next := r.inForce
	next.Bounds, next.Store = cfg.Bounds, cfg.Store
	if next.Bounds != r.inForce.Bounds || next.Store != r.inForce.Store {
		r.forwarder.Reload(next)
	}
	r.inForce = next
	if !reflect.DeepEqual(cfg, next) {
		r.log.Warn().Msg("forward: settings have changed that need a restart")
	}
}

// fail logs a failure to read the settings, once for each.
func (r *reloader) fail(err error) {
	if r.failure == err.Error() {
		return
	}
	r.failure = err.Error()
	r.log.Error().Err(err).Msg("forward: settings not reloaded; previous settings remain in force")
}

// receiveBufferBytes bounds what the kernel holds for a response that the daemon does not read, since
// its client is slow. It permits 64 MB/s at a round trip of 1 ms.
const receiveBufferBytes = 64 << 10

// dialTimeout bounds the time to connect to a worker. Neighbouring failure domains
// are a few milliseconds away.
const dialTimeout = 150 * time.Millisecond
