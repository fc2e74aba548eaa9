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

// DaemonSettings identify the daemon and set its listen addresses. An address is
// an IP address with a port; port 0 selects any free port.
type DaemonSettings struct {
	Name        string
	Domain      string // Failure domain of the VM.
	Region      string
	Listen      string // For clients.
	PeerListen  string // For other daemons.
	AdminListen string // For health, metrics and operators.
}

// PlatformSettings configure access to the object API of the platform.
type PlatformSettings struct {
	Addr       string
	Deployment string        // Namespace of the deployment's objects.
	Token      string        // Authenticates the daemon to the platform.
	Timeout    time.Duration // Timeout of a call other than a watch.
}

// PeerSettings configure how daemons discover and authenticate each other.
type PeerSettings struct {
	SharedKey string
	Seeds     []string // Addresses of the peers to contact first.
}

// DrainSettings configure a graceful shutdown.
type DrainSettings struct {
	// BalancerLag is how long the platform's load balancer may still send
	// requests after the daemon reports that it is not ready.
	BalancerLag time.Duration
}

// TraceExporter selects the destination of traces.
type TraceExporter string

// The trace exporters.
const (
	TraceNone   TraceExporter = "none"
	TraceStdout TraceExporter = "stdout"
	TraceFile   TraceExporter = "file"
	TraceOTLP   TraceExporter = "otlp"
)

// TraceSettings configure the export of traces.
type TraceSettings struct {
	Exporter TraceExporter
	File     string // For TraceFile.
	OTLPAddr string // For TraceOTLP.
}

// LogSettings configure the log.
type LogSettings struct {
	Level string // trace, debug, info, warn or error.
}

// InvariantSettings configure the reaction to a violated invariant.
type InvariantSettings struct {
	Fatal bool // Whether the process exits, instead of only logging and counting the violation.
}

// Bounds of the settings.
const (
	minSharedKeyBytes  = 16
	minPlatformTimeout = 10 * time.Millisecond
	maxPlatformTimeout = time.Minute
	maxBalancerLag     = 10 * time.Minute
)

// defaultSettings returns the default values of absent keys.
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

// settingsSections returns the sections of the settings, with fields that store
// into settings.
func settingsSections(settings *Settings) []settingsSection {
	return []settingsSection{
		{"daemon", true, []field{
			require(text("name", &settings.Daemon.Name, checkName)),
			require(text("domain", &settings.Daemon.Domain, checkName)),
			require(text("region", &settings.Daemon.Region, checkName)),
			require(text("listen", &settings.Daemon.Listen, checkListenAddr)),
			require(text("peer_listen", &settings.Daemon.PeerListen, checkListenAddr)),
			require(text("admin_listen", &settings.Daemon.AdminListen, checkListenAddr)),
		}},
		{"platform", true, []field{
			require(text("addr", &settings.Platform.Addr, checkAddr)),
			require(text("deployment", &settings.Platform.Deployment, checkName)),
			text("token", &settings.Platform.Token, nil),
			duration("timeout", &settings.Platform.Timeout, minPlatformTimeout, maxPlatformTimeout),
		}},
		{"peers", true, []field{
			require(text("shared_key", &settings.Peers.SharedKey, checkSharedKey)),
			list("seeds", &settings.Peers.Seeds, checkAddr),
		}},
		{"drain", false, []field{duration("balancer_lag", &settings.Drain.BalancerLag, 0, maxBalancerLag)}},
		{"trace", false, []field{
			choice("exporter", &settings.Trace.Exporter, TraceNone, TraceStdout, TraceFile, TraceOTLP),
			text("file", &settings.Trace.File, nil),
			text("otlp_addr", &settings.Trace.OTLPAddr, checkAddr),
		}},
		{"log", false, []field{choice("level", &settings.Log.Level, "trace", "debug", "info", "warn", "error")}},
		{"invariants", false, []field{boolean("fatal", &settings.Invariants.Fatal)}},
	}
}

// checkSharedKey accepts a key of at least minSharedKeyBytes. The problem does
// not repeat the key, which is a secret.
func checkSharedKey(v string) string {
	if len(v) < minSharedKeyBytes {
		return fmt.Sprintf("the key has fewer than %d bytes", minSharedKeyBytes)
	}
	return ""
}

// isSettingsSection reports whether kind is a section kind of settings.
func isSettingsSection(kind string) bool {
	for _, s := range settingsSections(&Settings{}) {
		if s.kind == kind {
			return true
		}
	}
	return false
}

// ParseSettings parses the settings of a daemon. The file name is used only in
// problems. The error is a ProblemsError.
func ParseSettings(file string, text []byte) (Settings, error) {
	d := scan(file, text)
	settings := defaultSettings()
	for _, spec := range settingsSections(&settings) {
		s := d.byTitle[spec.kind]
		if s == nil {
			if spec.required {
				d.addProblem(1, spec.kind, "", "the section is missing")
			}
			continue
		}
		d.parseKeys(s, spec.fields)
	}
	for _, s := range d.sections {
		if !isSettingsSection(s.title) {
			d.addProblem(s.line, s.title, "", "unknown section")
		}
	}
	d.checkTrace(settings.Trace)
	if err := d.err(); err != nil {
		return Settings{}, err
	}
	return settings, nil
}

// checkTrace checks that the keys that the exporter requires are present.
func (d *document) checkTrace(t TraceSettings) {
	if t.Exporter == TraceFile && t.File == "" {
		d.addKeyProblem("trace", "file", "the exporter file requires this key")
	}
	if t.Exporter == TraceOTLP && t.OTLPAddr == "" {
		d.addKeyProblem("trace", "otlp_addr", "the exporter otlp requires this key")
	}
}
