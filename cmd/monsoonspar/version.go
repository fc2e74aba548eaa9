package main

import (
	"fmt"
	"runtime"
	"runtime/debug"
)

// versionCmd prints the version of the program.
type versionCmd struct{}

// Run prints the module's version, the revision and the Go release.
func (versionCmd) Run(c console) error {
	version, revision := "unknown", "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				revision = s.Value
			}
		}
	}
	_, err := fmt.Fprintf(c.Stdout, "monsoonspar %s (revision %s, %s)\n", version, revision, runtime.Version())
	return err
}
