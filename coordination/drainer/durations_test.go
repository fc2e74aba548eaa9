package drainer_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonspar.example/coordination/drainer"
)

func ExampleDurations() {
	d := drainer.NewDurations()
	for range 100 {
		d.Record("app", "look", 40*time.Millisecond, true)
	}
	fmt.Println(d.Survival("app", "look", 10*time.Millisecond) > 0.9)
	fmt.Println(d.Survival("app", "look", time.Second) > 0.05)
	// Output:
	// true
	// false
}

// Guards against estimates that are confident without samples, and against requests that were cut off and count as
// short ones.
func TestDurationsOfUnknownAndCutRequests(t *testing.T) {
	d := drainer.NewDurations()
	assert.Assert(t, d.Survival("app", "new", 2*time.Second) > 0.1)
	assert.Assert(t, d.Survival("app", "new", 4*time.Second) < d.Survival("app", "new", 2*time.Second))
	for range 100 {
		d.Record("app", "slow", 3*time.Second, false)
	}
	assert.Assert(t, d.Survival("app", "slow", 2*time.Second) > 0.9)
}
