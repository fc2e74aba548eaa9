package forwarder

import (
	"net"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/ini.v1"

	"monsoonspar.example/coordination/reporter"
	"monsoonspar.example/state/matcher"
)

// ErrSettings is wrapped by all errors about invalid settings.
var ErrSettings = errors.New("invalid settings")

// Settings configure a daemon. ParseSettings reads them from INI text.
type Settings struct {
	Daemon DaemonSettings `ini:"daemon"`
	Store  StoreSettings  `ini:"store"`
	Bounds BoundSettings  `ini:"bounds"`
	Log    LogSettings    `ini:"log"`

	Regions matcher.Regions `ini:"-"` // The section [regions]: the region of each failure domain.
}

// DaemonSettings hold the name of the daemon and its listen addresses.
type DaemonSettings struct {
	Name     string   `ini:"name"`
	Domain   string   `ini:"failure_domain"`
	Region   string   `ini:"region"` // Of the daemon.
	Clients  string   `ini:"callers_listen"`
	Ready    string   `ini:"ready_listen"`
	Peers    string   `ini:"peers_listen"`
	PeersKey string   `ini:"peers_key"` // Shared by all daemons of the deployment.
	Metrics  string   `ini:"metrics_listen"`
	Seeds    []string `ini:"seeds"` // Addresses of peers to contact before the list of daemons has been read.
	// RelayAbove is the number of daemons above which load reports and updates that are not urgent go to
	// other failure domains over relays.
	RelayAbove int `ini:"relay_above"`
	MemoryMB   int `ini:"memory_mb"` // Memory available to the process, from which the heap limit and the memory for requests and responses are derived; zero for no limit.

	StallTime    time.Duration `ini:"-"`
	StallSeconds float64       `ini:"stall_s"` // Time after which a client that takes no bytes of its response is disconnected.

	CrossingShare     float64 `ini:"crossing_share"`      // See placer.Config.
	ExposedBackupPeak float64 `ini:"exposed_backup_peak"` // See placer.Config.

	RequestTime    time.Duration `ini:"-"`
	RequestSeconds float64       `ini:"request_s"` // Time in which a client must have sent a request.
}

// daemon returns the entry of the daemon in the store.
func (s *DaemonSettings) daemon() Daemon {
	return Daemon{Name: s.Name, Addr: s.Peers, Domain: s.Domain}
}

// StoreSettings hold the address of the store of the platform.
type StoreSettings struct {
	Addr string `ini:"addr"`
}

// BoundSettings hold the limits that the operators set.
type BoundSettings struct {
	StopTime          time.Duration `ini:"-"`
	StopSeconds       float64       `ini:"stop_s"`          // Time from SIGTERM to SIGKILL.
	RetryRatio        float64       `ini:"retry_ratio"`     // Retries per request.
	RetryWindow       float64       `ini:"retry_window_s"`  // Length of the budget window in seconds.
	RetrySlack        float64       `ini:"retry_slack"`     // Retries per window regardless of requests, for all daemons together.
	ReturnGraceMillis int           `ini:"return_grace_ms"` // How long an endpoint that is missing after an outage of the store is kept.
	EvacuationMillis  int           `ini:"evacuation_ms"`   // Time in which an evacuated failure domain must get no more requests; zero if there are no evacuations.
	EntryExpiry       float64       `ini:"entry_expiry_s"`  // Time in seconds after which the entry of a daemon that peers don't reach is deleted.
	// A cold endpoint gets at most ColdRatio times the requests per second that it can handle, and ColdSlack requests, in
	// any second. Without ColdRatio, cold endpoints get what warm ones get.
	ColdRatio float64 `ini:"cold_ratio"`
	ColdSlack float64 `ini:"cold_slack"`
}

// LogSettings configure the log.
type LogSettings struct {
	Level string `ini:"level"`
}

// ParseSettings parses and validates INI text.
func ParseSettings(text []byte) (Settings, error) {
	s := Settings{
		Daemon: DaemonSettings{RequestSeconds: 30, StallSeconds: 8, RelayAbove: reporter.FullMeshLimit},
		Bounds: BoundSettings{ReturnGraceMillis: 2000, EntryExpiry: 300},
		Log:    LogSettings{Level: "info"},
	}
	f, err := ini.Load(text)
	if err != nil {
		return s, errors.Wrap(ErrSettings, err.Error())
	}
	if err := f.StrictMapTo(&s); err != nil {
		return s, errors.Wrap(ErrSettings, err.Error())
	}
	s.Regions = matcher.Regions{}
	for domain, region := range f.Section("regions").KeysHash() {
		if region != "" {
			s.Regions[domain] = region
		}
	}
	s.Bounds.StopTime = time.Duration(s.Bounds.StopSeconds * float64(time.Second))
	s.Daemon.RequestTime = time.Duration(s.Daemon.RequestSeconds * float64(time.Second))
	s.Daemon.StallTime = time.Duration(s.Daemon.StallSeconds * float64(time.Second))
	return s, s.check()
}

// check returns an error for the first invalid setting.
func (s *Settings) check() error {
	if s.Daemon.Name == "" {
		return errors.Wrap(ErrSettings, "daemon.name is missing")
	}
	for _, a := range []struct{ key, value string }{
		{"daemon.callers_listen", s.Daemon.Clients},
		{"daemon.ready_listen", s.Daemon.Ready},
		{"daemon.peers_listen", s.Daemon.Peers},
		{"daemon.metrics_listen", s.Daemon.Metrics},
		{"store.addr", s.Store.Addr},
	} {
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			return errors.Wrapf(ErrSettings, "%s: %q is not a host and port", a.key, a.value)
		}
	}
	if err := s.Daemon.check(); err != nil {
		return err
	}
	return s.Bounds.check()
}

// check returns an error for the first setting that is out of its range.
func (s *DaemonSettings) check() error {
	if s.RequestTime <= 0 {
		return errors.Wrap(ErrSettings, "daemon.request_s must be above 0")
	}
	if !isFraction(s.CrossingShare) || !isFraction(s.ExposedBackupPeak) {
		return errors.Wrap(ErrSettings, "daemon: crossing_share and exposed_backup_peak must be from 0 to 1")
	}
	if s.RelayAbove <= 0 {
		return errors.Wrap(ErrSettings, "daemon.relay_above must be above 0")
	}
	if s.StallTime <= 0 || s.MemoryMB < 0 {
		return errors.Wrap(ErrSettings, "daemon.stall_s must be above 0, daemon.memory_mb at least 0")
	}
	return nil
}

// check returns an error for the first bound that is out of its range.
func (s *BoundSettings) check() error {
	if s.EntryExpiry <= 0 {
		return errors.Wrap(ErrSettings, "bounds.entry_expiry_s must be above 0")
	}
	if s.ColdRatio < 0 || s.ColdSlack < 0 {
		return errors.Wrap(ErrSettings, "bounds: cold_ratio and cold_slack must be at least 0")
	}
	if s.StopTime <= 0 || s.RetryWindow <= 0 || s.RetryRatio < 0 || s.RetrySlack < 0 {
		return errors.Wrap(ErrSettings, "bounds: stop_s and retry_window_s must be above 0, retry_ratio and retry_slack at least 0")
	}
	return nil
}

// isFraction reports whether v is from 0 to 1.
func isFraction(v float64) bool { return v >= 0 && v <= 1 }
