package router_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the randomised tests, so that every run makes the
// same histories unless -rapid.seed is given.
func TestMain(m *testing.M) {
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		_ = f.Value.Set("1")
	}
	os.Exit(m.Run())
}
