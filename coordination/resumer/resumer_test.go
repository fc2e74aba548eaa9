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
		transfer  time.Duration
		idle      time.Duration
		runs      bool
		want      error
		asked     bool
	}{
		{name: "copied", producing: time.Second, runs: true, asked: true},
		{name: "no event", runs: true, want: resumer.ErrNotCopied},
		{name: "first events", producing: 399 * time.Millisecond, runs: true, want: resumer.ErrNotCopied},
		{name: "transferred", producing: time.Second, transfer: 600 * time.Millisecond, runs: true, asked: true},
		{name: "being transferred", producing: time.Second, transfer: 601 * time.Millisecond, runs: true, want: resumer.ErrNotCopied},
		{name: "used", used: true, producing: time.Second, runs: true, want: resumer.ErrUsed},
		{name: "kept", producing: time.Second, idle: 4 * time.Second, runs: true, asked: true},
		{name: "expired", producing: time.Second, idle: 4600 * time.Millisecond, runs: true, want: resumer.ErrExpired},
		{name: "holder ended", producing: time.Second, want: resumer.ErrHolderEnded, asked: true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			asked := false
			b := resumer.Backup{Used: tt.used, Producing: tt.producing, Transfer: tt.transfer, Idle: tt.idle, Retention: 5 * time.Second, HolderRuns: func() bool { asked = true; return tt.runs }}
			assert.ErrorIs(t, b.Check(), tt.want)
			assert.Equal(t, asked, tt.asked)
		})
	}
}

// Guards against a pause between two events that counts as time in which the engine has produced.
func TestProducing(t *testing.T) {
	var p resumer.Progress
	now := time.Unix(0, 0)
	p.RecordEvents(now)
	p.RecordEvents(now.Add(time.Hour))
	assert.Equal(t, p.Producing(), 100*time.Millisecond)
	for i := range 60 {
		p.RecordEvents(now.Add(time.Hour + time.Duration(i+1)*10*time.Millisecond))
	}
	assert.Equal(t, p.Producing(), 700*time.Millisecond)
}
