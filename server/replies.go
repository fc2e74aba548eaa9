package server

import (
	"context"
	"io"
	"math"

	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"
)

// Sizes of the replies of plain services, in bytes.
const (
	freeReplyBytes   = 64 << 10 // Read of each reply in any case.
	mediumReplyBytes = 512 << 10
	maxReplyBytes    = 8 << 20

	mediumMemory = 4 << 20       // For what is read of replies beyond freeReplyBytes.
	largeMemory  = maxReplyBytes // For what is read of replies beyond mediumReplyBytes.
)

// replyMemory bounds what is held of the replies that are being read: a faulty service may send bytes without end to
// many calls at once. There is no deadlock, since a reply that has its share of large can be read to its end.
type replyMemory struct {
	medium, large *semaphore.Weighted
}

func newReplyMemory() *replyMemory {
	return &replyMemory{medium: semaphore.NewWeighted(mediumMemory), large: semaphore.NewWeighted(largeMemory)}
}

// replyBody is the body of a reply. It takes its shares of the memory before it is read beyond freeReplyBytes and
// mediumReplyBytes; until then the service has to wait.
type replyBody struct {
	io.ReadCloser
	ctx           context.Context
	memory        *replyMemory
	length        int64 // Negative if it is not known.
	read, allowed int64
	medium, large int64 // Shares held.
}

// limit makes the body of a reply of length bytes wait for memory until ctx ends.
func (m *replyMemory) limit(ctx context.Context, body io.ReadCloser, length int) *replyBody {
	return &replyBody{ReadCloser: body, ctx: ctx, memory: m, length: int64(length), allowed: freeReplyBytes}
}

// Read implements io.Reader.
func (b *replyBody) Read(p []byte) (int, error) {
	if b.read == b.allowed {
		if err := b.grow(); err != nil {
			return 0, errors.Wrap(err, "wait for memory for the reply")
		}
	}
	n, err := b.ReadCloser.Read(p[:min(int64(len(p)), b.allowed-b.read)])
	b.read += int64(n)
	return n, err
}

// grow takes the next share.
func (b *replyBody) grow() error {
	if b.allowed < mediumReplyBytes {
		n := b.share(mediumReplyBytes)
		if err := b.memory.medium.Acquire(b.ctx, n); err != nil {
			return err
		}
		b.medium, b.allowed = n, mediumReplyBytes
		return nil
	}
	n := b.share(maxReplyBytes)
	if err := b.memory.large.Acquire(b.ctx, n); err != nil {
		return err
	}
	b.large, b.allowed = n, math.MaxInt64 // The reader stops at maxReplyBytes.
	return nil
}

// share returns the bytes from what is allowed to the end of the reply or of its next size.
func (b *replyBody) share(size int64) int64 {
	if b.length >= 0 {
		size = min(size, b.length)
	}
	return max(size-b.allowed, 0)
}

// Close implements io.Closer. It returns the shares.
func (b *replyBody) Close() error {
	err := b.ReadCloser.Close()
	b.memory.medium.Release(b.medium)
	b.memory.large.Release(b.large)
	b.medium, b.large = 0, 0
	return err
}
