package caller

import (
	"context"
	"time"
)

const reconnectPause = 100 * time.Millisecond

// Persist sends call to the first of addrs and, when the stream is cut, resumes
// it at the next ones in turn, at most resumes times. It waits as long as the
// daemons ask for.
func (c *Caller) Persist(ctx context.Context, call Call, addrs []string, resumes int) Answer {
	call.Addr = addrs[0]
	a := c.Do(ctx, call)
	for n := 1; n <= resumes && a.resumable(); n++ {
		if !sleep(ctx, max(reconnectPause, a.RetryAfter)) {
			return a
		}
		call.Addr = addrs[n%len(addrs)]
		call.LastEventID = a.LastEventID
		a.Append(c.Do(ctx, call))
	}
	return a
}

// resumable reports whether a stream broke that may be resumed: the connection
// was lost, or a daemon asked to come back.
func (a Answer) resumable() bool {
	if a.Whole || a.LastEventID == "" {
		return false
	}
	return a.Err != nil || (a.Status == 503 && a.RetryAfter > 0)
}

// sleep reports whether d passed before the end of ctx.
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
