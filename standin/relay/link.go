package relay

import (
	"net"
	"time"

	"github.com/sourcegraph/conc"
)

// link is one connection that is passed on.
type link struct {
	relay *Relay
	near  net.Conn
	far   net.Conn
	muted bool // Guarded by the relay's lock.
}

// piece is data on its way.
type piece struct {
	data []byte
	due  time.Time
}

func (l *link) close() {
	_ = l.near.Close()
	_ = l.far.Close()
}

// pass copies from src to dst while held is false, and closes the link at the
// end of src.
func (l *link) pass(src, dst net.Conn, held func(Faults) bool) {
	pieces := make(chan piece, maxQueued)
	var group conc.WaitGroup
	group.Go(func() { l.deliver(pieces, dst, held) })
	buf := make([]byte, bufferBytes)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			delay := time.Duration(l.relay.current().DelayMS) * time.Millisecond
			pieces <- piece{data: append([]byte(nil), buf[:n]...), due: time.Now().Add(delay)}
		}
		if err != nil {
			break
		}
	}
	close(pieces)
	group.Wait()
	l.close()
}

// deliver writes the pieces when they are due. It takes all pieces, also when
// dst is closed, so that the reader never waits for it.
func (l *link) deliver(pieces <-chan piece, dst net.Conn, held func(Faults) bool) {
	broken := false
	for p := range pieces {
		if broken {
			continue
		}
		if d := time.Until(p.due); d > 0 {
			l.relay.wait(d)
		}
		if !l.awaitHold(held) {
			broken = true
			continue
		}
		if _, err := dst.Write(p.data); err != nil {
			broken = true
			l.close()
		}
	}
}

// awaitHold waits until nothing holds the link. It reports false if the relay
// was closed or cut.
func (l *link) awaitHold(held func(Faults) bool) bool {
	for {
		l.relay.mu.Lock()
		f, muted := l.relay.faults, l.muted
		l.relay.mu.Unlock()
		if f.Cut {
			return false
		}
		if !muted && !held(f) {
			return true
		}
		if !l.relay.wait(holdPoll) {
			return false
		}
	}
}
