// Package seeder fixes the seeds of randomised tests, so that every run of the
// tests makes the same histories and reaches the same verdict.
package seeder

import (
	"flag"
	"strconv"
)

// seed is the seed unless -rapid.seed sets another.
const seed = "1"

// Runner is a *testing.M.
type Runner interface{ Run() int }

// Main runs the tests of a package with a fixed seed and a number of histories
// for each randomised test, and returns the exit code. -rapid.seed and
// -rapid.checks on the command line go first.
func Main(m Runner, histories int) int {
	set("rapid.seed", seed)
	set("rapid.checks", strconv.Itoa(histories))
	set("rapid.nofailfile", "true")
	return m.Run()
}

// set gives a flag of the randomised tests a value before the command line is
// parsed. A package without such tests has no such flag.
func set(name, value string) {
	if f := flag.Lookup(name); f != nil {
		_ = f.Value.Set(value) // The values are valid.
	}
}
