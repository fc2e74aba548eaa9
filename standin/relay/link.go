package relay

import (
	"net"
	"time"

	"github.com/sourcegraph/conc"
)

// link is a relayed connection.
type link struct {
	relay      *Relay
	clientConn net.Conn
	targetConn net.Conn
	muted      bool // Delivers nothing more. Guarded by Relay.mu.
}

// chunk is data that is to be delivered at a given time.
type chunk struct {
	data []byte
	due  time.Time
}

func (l *link) close() {
	_ = l.clientConn.Close()
	_ = l.targetConn.Close()
}

// copyData copies from src to dst, except while held returns true, and closes the
// link at the end of src.
func (l *link) copyData(src, dst net.Conn, held func(Faults) bool) {
	chunks := make(chan chunk, maxQueuedChunks)
	var group conc.WaitGroup
	group.Go(func() { l.deliver(chunks, dst, held) })
	buf := make([]byte, bufferBytes)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			delay := time.Duration(l.relay.currentFaults().DelayMS) * time.Millisecond
			chunks <- chunk{data: append([]byte(nil), buf[:n]...), due: time.Now().Add(delay)}
		}
		if err != nil {
			break
		}
	}
	close(chunks)
	group.Wait()
	l.close()
}

// deliver writes the chunks to dst when they are due. It drains the channel even
// if dst is closed, so that the reader never blocks.
func (l *link) deliver(chunks <-chan chunk, dst net.Conn, held func(Faults) bool) {
	failed := false
	for c := range chunks {
		if failed {
			continue
		}
		if d := time.Until(c.due); d > 0 {
			l.relay.sleep(d)
		}
		if !l.waitWhileHeld(held) {
			failed = true
			continue
		}
		if _, err := dst.Write(c.data); err != nil {
			failed = true
			l.close()
		}
	}
}

// waitWhileHeld waits until data may be delivered. It returns false if the relay
// is closed or cut.
func (l *link) waitWhileHeld(held func(Faults) bool) bool {
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
		if !l.relay.sleep(holdPollInterval) {
			return false
		}
	}
}
