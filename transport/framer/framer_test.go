package framer

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"net"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// echo is a Handler that replies to each call with its body, fails the method
// "fail", and blocks in the method "wait".
type echo struct{ block chan struct{} }

func (h echo) HandleCall(ctx context.Context, _, method string, body []byte) ([]byte, error) {
	switch method {
	case "fail":
		return nil, errors.New("refused")
	case "wait":
		select {
		case <-h.block:
		case <-ctx.Done():
		}
	}
	return body, nil
}

// startPair returns a calling node, a serving node and the address of the
// serving one.
func startPair(t *testing.T, keyB string) (*Node, *Node, string) {
	t.Helper()
	a := NewNode(Config{Name: "a", Key: []byte("k")}, echo{})
	b := NewNode(Config{Name: "b", Key: []byte(keyB)}, echo{block: make(chan struct{})})
	addr, err := b.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(a.Close)
	t.Cleanup(b.Close)
	return a, b, addr
}

func TestCallReturnsReply(t *testing.T) {
	a, _, addr := startPair(t, "k")
	got, err := a.Call(t.Context(), addr, "echo", []byte("x"))
	assert.NilError(t, err)
	assert.Equal(t, string(got), "x")
	_, err = a.Call(t.Context(), addr, "fail", nil)
	assert.ErrorIs(t, err, ErrRemote)
}

func TestWrongKeyIsRefused(t *testing.T) {
	a, _, addr := startPair(t, "other")
	_, err := a.Call(t.Context(), addr, "echo", nil)
	assert.ErrorIs(t, err, ErrKey)
}

func TestLostConnectionEndsPendingCalls(t *testing.T) {
	a, b, addr := startPair(t, "k")
	errs := make(chan error, 1)
	a.group.Go(func() {
		_, err := a.Call(context.Background(), addr, "wait", nil)
		errs <- err
	})
	for { // Wait until the call is in flight.
		b.mu.Lock()
		n := len(b.accepted)
		b.mu.Unlock()
		if n == 1 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	b.Close()
	assert.ErrorIs(t, <-errs, ErrLost)
}

func TestBadFramesCloseOnlyTheirConnection(t *testing.T) {
	a, _, addr := startPair(t, "k")
	tooLong := binary.BigEndian.AppendUint32(nil, MaxFrameBytes+1)
	for _, bad := range [][]byte{tooLong, {0, 0, 0, 9, 1}, {0, 0, 0, 1, 0xc1}, []byte("GET / HTTP/1.1\r\n\r\n")} {
		raw, err := net.Dial("tcp", addr)
		assert.NilError(t, err)
		_, err = raw.Write(bad)
		assert.NilError(t, err)
		assert.NilError(t, raw.Close())
	}
	_, err := a.Call(t.Context(), addr, "echo", nil)
	assert.NilError(t, err)
}

func TestFrameTooLongIsRefusedByTheReader(t *testing.T) {
	_, err := readFrame(bytes.NewReader(binary.BigEndian.AppendUint32(nil, MaxFrameBytes+1)))
	assert.ErrorIs(t, err, ErrTooLong)
}

func TestUnansweredPingTimesOut(t *testing.T) {
	now := time.Now()
	c := newConn(NewNode(Config{}, echo{}), nil, nil, bufio.NewWriter(&bytes.Buffer{}), "b")
	c.pending[1] = make(chan reply, 1)
	c.pingedAt = now
	_, err := c.checkLiveness(now.Add(heartbeatTimeout + 1))
	assert.ErrorIs(t, err, errHeartbeatTimeout)
}

func FuzzDecodeFrame(f *testing.F) {
	var buf bytes.Buffer
	_, err := writeFrame(bufio.NewWriter(&buf), envelope{Kind: kindCall, ID: 1, Method: "m", Body: []byte("b")})
	assert.NilError(f, err)
	f.Add(buf.Bytes()[lengthBytes:])
	f.Add([]byte{})
	f.Add([]byte{0x95, 1, 9, 0, 0xa0, 0xc0})
	f.Fuzz(func(t *testing.T, body []byte) {
		e, err := decodeFrame(body)
		if err == nil {
			assert.Equal(t, e.Version, uint8(Version))
		}
	})
}

func BenchmarkCall(b *testing.B) {
	srv := NewNode(Config{Name: "b", Key: []byte("k")}, echo{})
	addr, err := srv.Listen("127.0.0.1:0")
	assert.NilError(b, err)
	defer srv.Close()
	cl := NewNode(Config{Name: "a", Key: []byte("k")}, echo{})
	defer cl.Close()
	body := make([]byte, 60)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := cl.Call(context.Background(), addr, "echo", body); err != nil {
			b.Fatal(err)
		}
	}
}
