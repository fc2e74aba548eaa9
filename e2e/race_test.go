//go:build race

package e2e_test

// raceEnabled reports whether the programs are also built with the race detector.
const raceEnabled = true
