package follower_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonspar.example/coordination/follower"
)

// Guards against a daemon that takes its value for current, and says so to its peers, for the whole
// duration of a poll that the store has answered early, without a change of the value.
func TestEarlyAnswerWithoutChangeProvesNothingLater(t *testing.T) {
	now := time.Unix(1000, 0)
	f := follower.New(rand.New(rand.NewPCG(1, 1)))
	v := follower.View{Known: true, Preceding: follower.ShortWatchers, Peers: 8}
	f.Confirm(now)
	s := f.Next(v, now)
	assert.Equal(t, s.Wait, follower.LongPoll)
	f.Answered(false, now.Add(50*time.Millisecond))
	age, ok := f.Age(now.Add(10 * time.Second))
	assert.Assert(t, ok && age == 10*time.Second, "%v", age)

	start := now.Add(11 * time.Second)
	s = f.Next(v, start)
	end := start.Add(s.Wait)
	f.Answered(false, end.Add(20*time.Millisecond))
	age, ok = f.Age(end.Add(time.Second))
	assert.Assert(t, ok && age == time.Second, "%v", age)
}
