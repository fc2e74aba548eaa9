package resumer_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonspar.example/coordination/resumer"
)

func ExampleBackup_Check() {
	runs := func() bool { return true }
	fmt.Println(resumer.Backup{Producing: 2 * time.Second, HolderRuns: runs}.Check())
	fmt.Println(resumer.Backup{Producing: 0, HolderRuns: runs}.Check())
	// Output:
	// <nil>
	// the run has not produced tokens for long enough to be copied to its backup
}

// Guards against a request that names a copy which may not exist.
func TestCheck(t *testing.T) {
	for _, tt := range []struct {
		name      string
		used      bool
		producing time.Duration
		runs      bool
		want      error
		asked     bool
	}{
		{name: "copied", producing: time.Second, runs: true, asked: true},
		{name: "no event", runs: true, want: resumer.ErrNotCopied},
		{name: "first events", producing: 399 * time.Millisecond, runs: true, want: resumer.ErrNotCopied},
		{name: "used", used: true, producing: time.Second, runs: true, want: resumer.ErrUsed},
		{name: "holder ended", producing: time.Second, want: resumer.ErrHolderEnded, asked: true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			asked := false
			b := resumer.Backup{Used: tt.used, Producing: tt.producing, HolderRuns: func() bool { asked = true; return tt.runs }}
			assert.ErrorIs(t, b.Check(), tt.want)
			assert.Equal(t, asked, tt.asked)
		})
	}
}
