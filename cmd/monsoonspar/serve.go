package main

import (
	"context"
	"os"

	"monsoonspar.example/server"
	"monsoonspar.example/state/asserter"
	"monsoonspar.example/state/parser"
	"monsoonspar.example/transport/signaler"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// serveCmd runs a daemon.
type serveCmd struct {
	Settings string `arg:"" type:"existingfile" help:"Settings file of the daemon."`
}

// Help returns the text of serve --help.
func (*serveCmd) Help() string {
	return `Runs a daemon until SIGTERM, SIGINT or SIGQUIT. The daemon then reports that it is not
ready, continues to accept requests for the balancer's lag, waits for the last response
and exits with code 0. Further signals and SIGHUP have no effect; only SIGKILL and
SIGABRT abort requests.`
}

// Run serves until a signal arrives and the last request has ended.
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
	ctx, _ = signaler.Listen(ctx)
	if _, err := s.Start(); err != nil {
		return err
	}
	return s.Run(ctx)
}

// violationHandler returns a handler that logs invariant violations and, if fatal is
// set, exits the process immediately. It does not panic, since a group of
// goroutines would defer the panic until its Wait is called.
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

// newLogger returns the logger of a daemon.
func newLogger(cfg parser.LogSettings, c console) (zerolog.Logger, error) {
	level, err := zerolog.ParseLevel(cfg.Level)
	if err != nil {
		return zerolog.Nop(), errors.Wrap(err, "log level")
	}
	return zerolog.New(c.Stderr).Level(level).With().Timestamp().Logger(), nil
}

// readSettings reads and validates the settings of a daemon.
func readSettings(file string) (parser.Settings, error) {
	text, err := readText(file)
	if err != nil {
		return parser.Settings{}, err
	}
	return parser.ParseSettings(file, text)
}
