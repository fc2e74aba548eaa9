package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"monsoonspar.example/server"
	"monsoonspar.example/state/asserter"
	"monsoonspar.example/state/parser"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// serveCmd runs one daemon.
type serveCmd struct {
	Settings string `arg:"" type:"existingfile" help:"File with the settings of the daemon."`
}

// Help describes the command at length.
func (*serveCmd) Help() string {
	return `Runs one daemon until SIGTERM or SIGINT. Then the daemon says that it is not
ready, goes on accepting callers through the balancer's lag, waits for the last
answer and exits with code 0. Further signals change nothing; only SIGKILL cuts
requests off.`
}

// Run serves until a signal comes and the last request has ended.
func (cmd *serveCmd) Run(ctx context.Context, c console) error {
	cfg, err := readSettings(cmd.Settings)
	if err != nil {
		return err
	}
	log, err := newLogger(cfg.Log, c)
	if err != nil {
		return err
	}
	asserter.SetHandler(violationHandler(log, cfg.Invariants.Fatal))
	s, err := server.New(cfg, log)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if _, err := s.Start(); err != nil {
		return err
	}
	return s.Run(ctx)
}

// violationHandler returns a handler that logs violations and, where they are
// fatal, ends the process at once. A panic would not: a group of goroutines
// holds it back until it is waited for.
func violationHandler(log zerolog.Logger, fatal bool) asserter.Handler {
	level := zerolog.ErrorLevel
	if fatal {
		level = zerolog.FatalLevel
	}
	return func(v asserter.ViolationError) {
		log.WithLevel(level).Str("invariant", string(v.Invariant)).Str("detail", v.Detail).
			Msg("asserter: invariant violated")
		if fatal {
			os.Exit(exitFailed)
		}
	}
}

// newLogger returns the log of a daemon.
func newLogger(cfg parser.LogSettings, c console) (zerolog.Logger, error) {
	level, err := zerolog.ParseLevel(cfg.Level)
	if err != nil {
		return zerolog.Nop(), errors.Wrap(err, "log level")
	}
	return zerolog.New(c.Stderr).Level(level).With().Timestamp().Logger(), nil
}

// readSettings reads and checks the settings of a daemon.
func readSettings(file string) (parser.Settings, error) {
	text, err := readText(file)
	if err != nil {
		return parser.Settings{}, err
	}
	return parser.ParseSettings(file, text)
}
