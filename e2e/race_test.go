//go:build race

package e2e_test

// raceEnabled tells whether the programs are built with the race detector, too.
const raceEnabled = true
