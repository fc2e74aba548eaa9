package parser

import (
	"fmt"
	"time"
)

// Settings configure one daemon.
type Settings struct {
	Daemon     DaemonSettings
	Platform   PlatformSettings
	Peers      PeerSettings
	Drain      DrainSettings
	Trace      TraceSettings
	Log        LogSettings
	Invariants InvariantSettings
}

// DaemonSettings say who the daemon is and where it listens. Addresses are IP
// numbers with ports; port 0 asks for any free one.
type DaemonSettings struct {
	Name        string
	Domain      string // Failure domain of the VM.
	Region      string
	Listen      string // For callers.
	PeerListen  string // For other daemons.
	AdminListen string // For health, metrics and operators.
}

// PlatformSettings say where the object API of the platform is.
type PlatformSettings struct {
	Addr       string
	Deployment string        // Namespace of the deployment's objects.
	Token      string        // Names the daemon to the platform.
	Timeout    time.Duration // Longest wait for one call, watches excepted.
}

// PeerSettings say how daemons find and trust each other.
type PeerSettings struct {
	SharedKey string
	Seeds     []string // Peer addresses to start from.
}

// DrainSettings rule a planned stop.
type DrainSettings struct {
	// BalancerLag is how long the platform's balancer may still send callers
	// after the daemon says that it is not ready.
	BalancerLag time.Duration
}

// TraceExporter names where traces go.
type TraceExporter string

// The trace exporters.
const (
	TraceNone   TraceExporter = "none"
	TraceStdout TraceExporter = "stdout"
	TraceFile   TraceExporter = "file"
	TraceOTLP   TraceExporter = "otlp"
)

// TraceSettings say where traces go.
type TraceSettings struct {
	Exporter TraceExporter
	File     string // For TraceFile.
	OTLPAddr string // For TraceOTLP.
}

// LogSettings say what is logged.
type LogSettings struct {
	Level string // trace, debug, info, warn or error.
}

// InvariantSettings say what a violated invariant leads to.
type InvariantSettings struct {
	Fatal bool // Whether the process ends, in place of a log line and a count.
}

// Bounds of the settings.
const (
	minSharedKeyBytes  = 16
	minPlatformTimeout = 10 * time.Millisecond
	maxPlatformTimeout = time.Minute
	maxBalancerLag     = 10 * time.Minute
)

// defaultSettings returns the values of absent keys.
func defaultSettings() Settings {
	return Settings{
		Platform: PlatformSettings{Timeout: 2 * time.Second},
		Drain:    DrainSettings{BalancerLag: 5 * time.Second},
		Trace:    TraceSettings{Exporter: TraceNone},
		Log:      LogSettings{Level: "info"},
	}
}

// settingsSection is a section of the settings with its keys.
type settingsSection struct {
	kind     string
	required bool
	fields   []field
}

// settingsSections returns the sections of the settings, bound to s.
func settingsSections(s *Settings) []settingsSection {
	return []settingsSection{
		{"daemon", true, []field{
			require(text("name", &s.Daemon.Name, checkName)),
			require(text("domain", &s.Daemon.Domain, checkName)),
			require(text("region", &s.Daemon.Region, checkName)),
			require(text("listen", &s.Daemon.Listen, checkListenAddr)),
			require(text("peer_listen", &s.Daemon.PeerListen, checkListenAddr)),
			require(text("admin_listen", &s.Daemon.AdminListen, checkListenAddr)),
		}},
		{"platform", true, []field{
			require(text("addr", &s.Platform.Addr, checkAddr)),
			require(text("deployment", &s.Platform.Deployment, checkName)),
			text("token", &s.Platform.Token, nil),
			duration("timeout", &s.Platform.Timeout, minPlatformTimeout, maxPlatformTimeout),
		}},
		{"peers", true, []field{
			require(text("shared_key", &s.Peers.SharedKey, checkSharedKey)),
			list("seeds", &s.Peers.Seeds, checkAddr),
		}},
		{"drain", false, []field{duration("balancer_lag", &s.Drain.BalancerLag, 0, maxBalancerLag)}},
		{"trace", false, []field{
			choice("exporter", &s.Trace.Exporter, TraceNone, TraceStdout, TraceFile, TraceOTLP),
			text("file", &s.Trace.File, nil),
			text("otlp_addr", &s.Trace.OTLPAddr, checkAddr),
		}},
		{"log", false, []field{choice("level", &s.Log.Level, "trace", "debug", "info", "warn", "error")}},
		{"invariants", false, []field{boolean("fatal", &s.Invariants.Fatal)}},
	}
}

// checkSharedKey accepts a key of enough bytes and does not repeat it.
func checkSharedKey(v string) string {
	if len(v) < minSharedKeyBytes {
		return fmt.Sprintf("the key has fewer than %d bytes", minSharedKeyBytes)
	}
	return ""
}

// isSettingsSection reports whether settings have sections of this kind.
func isSettingsSection(kind string) bool {
	for _, s := range settingsSections(&Settings{}) {
		if s.kind == kind {
			return true
		}
	}
	return false
}

// ParseSettings reads the settings of a daemon. The file name serves only for
// problems. The error is a ProblemsError.
func ParseSettings(file string, text []byte) (Settings, error) {
	d := scan(file, text)
	settings := defaultSettings()
	for _, want := range settingsSections(&settings) {
		s := d.byName[want.kind]
		if s == nil {
			if want.required {
				d.report(1, want.kind, "", "the section is missing")
			}
			continue
		}
		d.fill(s, want.fields)
	}
	for _, s := range d.sections {
		if !isSettingsSection(s.title) {
			d.report(s.line, s.title, "", "unknown section")
		}
	}
	d.checkTrace(settings.Trace)
	if err := d.err(); err != nil {
		return Settings{}, err
	}
	return settings, nil
}

// checkTrace checks that the exporter has what it needs.
func (d *document) checkTrace(t TraceSettings) {
	if t.Exporter == TraceFile && t.File == "" {
		d.reportKey("trace", "file", "the exporter file needs this key")
	}
	if t.Exporter == TraceOTLP && t.OTLPAddr == "" {
		d.reportKey("trace", "otlp_addr", "the exporter otlp needs this key")
	}
}
