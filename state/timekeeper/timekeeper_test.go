package timekeeper_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonspar.example/state/timekeeper"
)

func ExampleManual() {
	c := timekeeper.NewManual(time.Unix(0, 0).UTC())
	c.Advance(3 * time.Second)
	fmt.Println(c.Now().Unix())
	// Output: 3
}

func TestSystemSleepStopsWhenContextIsDone(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	err := timekeeper.System{}.Sleep(ctx, time.Hour)
	assert.ErrorIs(t, err, context.Canceled)
}
