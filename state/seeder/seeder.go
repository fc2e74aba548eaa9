// Package seeder fixes the seeds of randomized tests, so that every test run
// generates the same test cases and has the same result.
package seeder

import (
	"flag"
	"strconv"
)

// defaultSeed is the seed if -rapid.seed is not set.
const defaultSeed = "1"

// Runner runs the tests of a package. *testing.M implements it.
type Runner interface{ Run() int }

// Main runs the tests of a package with a fixed seed and the given number of
// cases per randomized test, and returns the exit code. -rapid.seed and
// -rapid.checks on the command line take precedence.
func Main(m Runner, cases int) int {
	setFlag("rapid.seed", defaultSeed)
	setFlag("rapid.checks", strconv.Itoa(cases))
	setFlag("rapid.nofailfile", "true")
	return m.Run()
}

// setFlag sets a flag of rapid before the command line is parsed. In a package
// without randomized tests the flag is not defined, and setFlag does nothing.
func setFlag(name, value string) {
	if f := flag.Lookup(name); f != nil {
		_ = f.Value.Set(value) // The values are valid.
	}
}
