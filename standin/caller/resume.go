package caller

import (
	"context"
	"time"
)

const reconnectDelay = 100 * time.Millisecond

// DoWithResumes sends call to the first of addrs. If the stream is interrupted, it
// resumes it at the following addresses in turn, at most maxResumes times. Before
// each attempt it waits for reconnectDelay or the retry delay of the last
// response, whichever is longer.
func (c *Caller) DoWithResumes(ctx context.Context, call Call, addrs []string, maxResumes int) Result {
	call.Addr = addrs[0]
	result := c.Do(ctx, call)
	for n := 1; n <= maxResumes && result.resumable(); n++ {
		if !sleep(ctx, max(reconnectDelay, result.RetryAfter)) {
			return result
		}
		call.Addr = addrs[n%len(addrs)]
		call.LastEventID = result.LastEventID
		result.Append(c.Do(ctx, call))
	}
	return result
}

// resumable reports whether the stream is incomplete and can be resumed: the
// connection failed, or a daemon answered 503 with a retry delay.
func (r Result) resumable() bool {
	if r.Complete || r.LastEventID == "" {
		return false
	}
	return r.Err != nil || (r.Status == 503 && r.RetryAfter > 0)
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
