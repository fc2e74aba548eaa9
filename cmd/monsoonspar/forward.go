package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
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
)

// forwardCmd runs one daemon on the users' platform.
type forwardCmd struct {
	Settings string `arg:"" optional:"" type:"path" help:"File with the settings; by default the one that the platform names."`
}

// Help describes the command at length.
func (*forwardCmd) Help() string {
	return `Runs one daemon that forwards requests to the workers of the platform, until
SIGTERM or SIGINT. Then it says that it is not ready, and ends with its last
request.`
}

// logLines bounds the lines that wait for a reader of the log: some seconds at
// the target size's rate of requests.
const logLines = 1 << 12

// Limits of the garbage collector.
const (
	heapShare  = 0.6 // Of the memory limit; the rest is for stacks, buffers of the kernel and growth.
	heapGrowth = 200 // Percent; a small heap is collected less often for less processor time.
	mebibyte   = 1 << 20
)

// Run serves until a signal comes and the last request has ended.
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
		debug.SetMemoryLimit(int64(heapShare * float64(cfg.Daemon.MemoryMB) * mebibyte))
	}
	debug.SetGCPercent(heapGrowth)
	level, err := zerolog.ParseLevel(cfg.Log.Level)
	if err != nil {
		return errors.Wrap(err, "log.level")
	}
	out := diode.NewWriter(c.Stdout, logLines, 0, func(missed int) {
		fmt.Fprintf(c.Stderr, "forward: %d log lines dropped, since the output was not read\n", missed)
	})
	defer func() { _ = out.Close() }() // Nothing is left to tell of an error.
	zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000Z07:00"
	log := zerolog.New(out).Level(level).With().Timestamp().Str("daemon", cfg.Daemon.Name).Logger()
	asserter.SetHandler(violationHandler(log, false))
	clock := timekeeper.System{}
	d := dialer.New(dialer.Config{DialTimeout: dialTimeout}, clock)
	rnd := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	f := forwarder.New(cfg, platform.NewStore(d, cfg.Store.Addr, log), platform.NewWorkers(d), clock, rnd, log)
	f.SetCodec(platform.Codec{})
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := f.Start(); err != nil {
		return err
	}
	var group conc.WaitGroup
	group.Go(func() { reloadOnHangup(ctx, file, f, log) })
	defer group.Wait()
	defer stop()
	return f.Run(ctx)
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

// reloadOnHangup reads the settings again at each SIGHUP until ctx ends. A file
// with an error leaves the old settings in force.
func reloadOnHangup(ctx context.Context, file string, f *forwarder.Forwarder, log zerolog.Logger) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
		}
		cfg, err := readForwarderSettings(file)
		if err != nil {
			log.Error().Err(err).Msg("forward: settings not reloaded; the old ones stay in force")
			continue
		}
		f.Reload(cfg)
	}
}

// dialTimeout bounds the wait for a connection to a worker in a neighbouring
// failure domain, a few milliseconds away.
const dialTimeout = 150 * time.Millisecond
