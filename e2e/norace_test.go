//go:build !race

package e2e_test

const raceEnabled = false
