package server

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"monsoonspar.example/coordination/verifier"
	"monsoonspar.example/protocol/requester"
)

// endlessBody counts the bytes that are held of all bodies beyond freeReplyBytes.
type endlessBody struct {
	held, most *atomic.Int64
	read       int64
}

func (b *endlessBody) Read(p []byte) (int, error) {
	before := max(b.read-freeReplyBytes, 0)
	b.read += int64(len(p))
	held := b.held.Add(max(b.read-freeReplyBytes, 0) - before)
	for {
		if most := b.most.Load(); held <= most || b.most.CompareAndSwap(most, held) {
			return len(p), nil
		}
	}
}

func (b *endlessBody) Close() error {
	b.held.Add(-max(b.read-freeReplyBytes, 0))
	return nil
}

// Guards against endless replies that are bounded one by one and exceed the memory together.
func TestMemoryOfAllRepliesIsBounded(t *testing.T) {
	var held, most atomic.Int64
	memory := newReplyMemory()
	var calls conc.WaitGroup
	for range 64 {
		calls.Go(func() {
			body := &endlessBody{held: &held, most: &most}
			res := requester.Response{Framing: verifier.ByChunks, Length: -1, Body: memory.limit(t.Context(), body, -1)}
			_, err := res.ReadAll(maxReplyBytes)
			assert.Check(t, err != nil)
		})
	}
	calls.Wait()
	assert.Equal(t, held.Load(), int64(0))
	t.Logf("at most %d bytes", most.Load())
	assert.Check(t, most.Load() <= mediumMemory+largeMemory+1) // One byte shows that the limit is exceeded.
}

// Guards against a reply that waits for memory beyond its deadline, and against small replies that wait at all.
func TestReplyWaitsForMemoryUntilDeadline(t *testing.T) {
	memory := newReplyMemory()
	assert.Assert(t, memory.medium.TryAcquire(mediumMemory))
	var held, most atomic.Int64
	small := memory.limit(t.Context(), &endlessBody{held: &held, most: &most}, -1)
	_, err := io.ReadFull(small, make([]byte, freeReplyBytes))
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	body := memory.limit(ctx, &endlessBody{held: &held, most: &most}, -1)
	_, err = io.ReadFull(body, make([]byte, freeReplyBytes+1))
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	assert.NilError(t, body.Close())
	memory.medium.Release(mediumMemory)
	assert.Assert(t, memory.medium.TryAcquire(mediumMemory)) // Nothing is missing.
}
