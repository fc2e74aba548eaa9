package configurer

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed and the number of the randomised histories. The
// environment variable HISTORIES asks for another number.
func TestMain(m *testing.M) {
	setFlag("rapid.seed", "0", "1")
	setFlag("rapid.checks", "100", "1000")
	if n := os.Getenv("HISTORIES"); n != "" {
		_ = flag.Set("rapid.checks", n)
	}
	os.Exit(m.Run())
}

// setFlag gives a flag a value if it has its default.
func setFlag(name, unset, value string) {
	if f := flag.Lookup(name); f != nil && f.Value.String() == unset {
		_ = f.Value.Set(value)
	}
}
