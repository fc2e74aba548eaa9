package forwarder

import (
	"net"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/ini.v1"
)

// ErrSettings is wrapped by every error in the settings.
var ErrSettings = errors.New("invalid settings")

// Settings configure a daemon. They are read from INI text.
type Settings struct {
	Daemon DaemonSettings `ini:"daemon"`
	Store  StoreSettings  `ini:"store"`
	Bounds BoundSettings  `ini:"bounds"`
	Log    LogSettings    `ini:"log"`
}

// DaemonSettings name the daemon and its addresses.
type DaemonSettings struct {
	Name     string   `ini:"name"`
	Domain   string   `ini:"failure_domain"`
	Callers  string   `ini:"callers_listen"`
	Ready    string   `ini:"ready_listen"`
	Peers    string   `ini:"peers_listen"`
	PeersKey string   `ini:"peers_key"` // Shared by all daemons of the deployment.
	Metrics  string   `ini:"metrics_listen"`
	Seeds    []string `ini:"seeds"`
	MemoryMB int      `ini:"memory_mb"`
}

// StoreSettings name the platform's store.
type StoreSettings struct {
	Addr string `ini:"addr"`
}

// BoundSettings hold the figures that the operators promise.
type BoundSettings struct {
	StopTime          time.Duration `ini:"-"`
	StopSeconds       float64       `ini:"stop_s"`         // From SIGTERM to SIGKILL.
	RetryRatio        float64       `ini:"retry_ratio"`    // Repeats per request.
	RetryWindow       float64       `ini:"retry_window_s"` // Length of the window in seconds.
	RetrySlack        float64       `ini:"retry_slack"`    // Repeats in a window for all daemons together.
	ReturnGraceMillis int           `ini:"return_grace_ms"`
}

// LogSettings set up the log.
type LogSettings struct {
	Level string `ini:"level"`
}

// ParseSettings reads and checks INI text.
func ParseSettings(text []byte) (Settings, error) {
	s := Settings{
		Bounds: BoundSettings{ReturnGraceMillis: 2000},
		Log:    LogSettings{Level: "info"},
	}
	f, err := ini.Load(text)
	if err != nil {
		return s, errors.Wrap(ErrSettings, err.Error())
	}
	if err := f.StrictMapTo(&s); err != nil {
		return s, errors.Wrap(ErrSettings, err.Error())
	}
	s.Bounds.StopTime = time.Duration(s.Bounds.StopSeconds * float64(time.Second))
	return s, s.check()
}

// check returns the first error in s.
func (s *Settings) check() error {
	if s.Daemon.Name == "" {
		return errors.Wrap(ErrSettings, "daemon.name is missing")
	}
	for _, a := range []struct{ key, value string }{
		{"daemon.callers_listen", s.Daemon.Callers},
		{"daemon.ready_listen", s.Daemon.Ready},
		{"daemon.peers_listen", s.Daemon.Peers},
		{"daemon.metrics_listen", s.Daemon.Metrics},
		{"store.addr", s.Store.Addr},
	} {
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			return errors.Wrapf(ErrSettings, "%s: %q is no address", a.key, a.value)
		}
	}
	if s.Bounds.StopTime <= 0 || s.Bounds.RetryWindow <= 0 || s.Bounds.RetryRatio < 0 || s.Bounds.RetrySlack < 0 {
		return errors.Wrap(ErrSettings, "bounds: stop_s and retry_window_s must be above 0, retry_ratio and retry_slack at least 0")
	}
	return nil
}
