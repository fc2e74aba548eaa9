package platform_test

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"monsoonspar.example/protocol/storer"
	"monsoonspar.example/standin/platform"
	"monsoonspar.example/state/timekeeper"
	"monsoonspar.example/transport/dialer"
)

func newStorer(t *testing.T, url string, cfg storer.Config) *storer.Client {
	t.Helper()
	d := dialer.New(dialer.Config{}, timekeeper.System{})
	t.Cleanup(d.Close)
	cfg.Addr, cfg.Deployment = strings.TrimPrefix(url, "http://"), "d"
	return storer.New(cfg, d, timekeeper.System{}, rand.New(rand.NewPCG(1, 2)))
}

func claim(name, writer string) storer.Object {
	spec := json.RawMessage(`{"writer":"` + writer + `"}`)
	return storer.Object{Resource: "claims", Name: name, Labels: map[string]string{"k": "v"}, Spec: spec}
}

func setFaults(t *testing.T, url, body string) {
	t.Helper()
	status, text := call(t, "POST", url+"/faults", body)
	assert.Equal(t, status, 204, text)
}

func TestClientReadsAndWrites(t *testing.T) {
	_, url := startPlatform(t, platform.Config{})
	c := newStorer(t, url, storer.Config{PageSize: 2})
	ctx := t.Context()
	for i := range 5 {
		_, err := c.Create(ctx, claim("c"+strconv.Itoa(i), "w"))
		assert.NilError(t, err)
	}
	list, err := c.List(ctx, "claims", map[string]string{"k": "v"})
	assert.NilError(t, err)
	assert.Equal(t, len(list.Items), 5)
	assert.Equal(t, list.Version, uint64(5))
	o, err := c.Update(ctx, list.Items[0])
	assert.NilError(t, err)
	_, err = c.Update(ctx, list.Items[0])
	assert.ErrorIs(t, err, storer.ErrConflict)
	assert.NilError(t, c.Delete(ctx, "claims", o.Name, o.Version))
	_, err = c.Get(ctx, "claims", o.Name)
	assert.ErrorIs(t, err, storer.ErrNotFound)
}

func TestClientHandlesFaults(t *testing.T) {
	_, url := startPlatform(t, platform.Config{})
	c := newStorer(t, url, storer.Config{AttemptTimeout: 50 * time.Millisecond})
	ctx := t.Context()

	setFaults(t, url, `{"lose_answers":1}`)
	_, err := c.Create(ctx, claim("a", "w1"))
	assert.NilError(t, err)

	setFaults(t, url, `{"drop_calls":1}`)
	_, err = c.Create(ctx, claim("b", "w1"))
	assert.NilError(t, err)
	list, err := c.List(ctx, "claims", nil)
	assert.NilError(t, err)
	assert.Equal(t, list.Version, uint64(2))

	// The write takes effect, but its response is delayed beyond the client's timeout.
	setFaults(t, url, `{"slow_ms":100}`)
	o, err := c.Create(ctx, claim("c", "w1"))
	assert.NilError(t, err)
	assert.Equal(t, o.Version, uint64(3))

	setFaults(t, url, `{"slow_ms":0,"hang":true}`)
	_, err = c.Create(ctx, claim("e", "w1"))
	assert.ErrorIs(t, err, storer.ErrOutcomeUnknown)
	_, err = c.Get(ctx, "claims", "a")
	assert.ErrorIs(t, err, storer.ErrUnavailable)

	setFaults(t, url, `{"hang":false,"outage":true}`)
	_, err = c.Create(ctx, claim("f", "w1"))
	assert.ErrorIs(t, err, storer.ErrUnavailable)
	assert.Equal(t, storer.RetryAfter(err), time.Second)
}

// Concurrent writers create the same object while responses are lost. At most one
// may get a success, and the stored object must be that writer's.
func TestAtMostOneConcurrentCreateSucceedsUnderLostResponses(t *testing.T) {
	_, url := startPlatform(t, platform.Config{})
	setFaults(t, url, `{"lose_answers":12,"drop_calls":7}`)
	const writers = 16
	errs := make([]error, writers)
	var group conc.WaitGroup
	for i := range writers {
		c := newStorer(t, url, storer.Config{AttemptTimeout: time.Second})
		group.Go(func() { _, errs[i] = c.Create(context.Background(), claim("x", strconv.Itoa(i))) })
	}
	group.Wait()
	stored, err := newStorer(t, url, storer.Config{}).Get(t.Context(), "claims", "x")
	assert.NilError(t, err)
	succeeded, unknown := 0, 0
	for i, err := range errs {
		switch {
		case err == nil:
			succeeded++
			assert.Equal(t, storer.WriterID(stored.Spec), strconv.Itoa(i))
		case errors.Is(err, storer.ErrOutcomeUnknown):
			unknown++
		default:
			assert.ErrorIs(t, err, storer.ErrExists)
		}
	}
	assert.Assert(t, succeeded <= 1)
	assert.Assert(t, succeeded+unknown >= 1)
}

func TestSilentWatchTimesOut(t *testing.T) {
	_, url := startPlatform(t, platform.Config{})
	c := newStorer(t, url, storer.Config{WatchReadTimeout: 100 * time.Millisecond})
	_, err := c.Create(t.Context(), claim("a", "w1"))
	assert.NilError(t, err)
	seen := 0
	err = c.Watch(t.Context(), "claims", 0, func(e storer.Event) error {
		seen++
		assert.Equal(t, e.Type, storer.Added)
		setFaults(t, url, `{"watch_silent":true}`)
		return nil
	})
	assert.ErrorIs(t, err, storer.ErrUnavailable)
	assert.Equal(t, seen, 1)
}
