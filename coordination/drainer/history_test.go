package drainer

import (
	"fmt"
	"math/rand/v2"
	"time"

	"pgregory.net/rapid"

	"monsoonspar.example/state/seeder"
)

// step is how far a history moves on at once.
const step = 200 * time.Millisecond

// world is a daemon under load behind a balancer, which is told to stop.
type world struct {
	d          *Drainer
	cfg        Settings
	rand       *rand.Rand
	now        time.Time
	signalAt   time.Time
	again      []time.Time // Later signals.
	notices    time.Time   // When the balancer sends no more.
	ends       []time.Time // Ends of the requests under way.
	lastEnd    time.Time
	arrived    time.Time
	owned      int
	peersCut   bool
	outage     bool // The platform is down.
	records    int
	listening  bool
	refusing   bool
	handedOver bool
	goodbye    bool
	exited     time.Time
	broken     error
}

func newWorld(t *rapid.T, off mechanisms) *world {
	cfg := DefaultSettings()
	cfg.off = off
	begin := time.Unix(1000, 0)
	w := &world{
		d: New(cfg), cfg: cfg, now: begin, listening: true,
		rand:     rand.New(rand.NewPCG(uint64(seeder.Pick(t, "seed", 1<<20)), 1)),
		owned:    seeder.Pick(t, "owned", 4),
		peersCut: rapid.Bool().Draw(t, "peers cut"),
		outage:   rapid.Bool().Draw(t, "outage"),
	}
	w.signalAt = begin.Add(time.Duration(seeder.Pick(t, "signal", 100)) * step)
	// The balancer may take up to twice the lag that was set.
	w.notices = w.signalAt.Add(time.Duration(seeder.Pick(t, "notices", int(2*cfg.Lag/step))) * step)
	for range seeder.Pick(t, "again", 3) {
		w.again = append(w.again, w.signalAt.Add(time.Duration(1+seeder.Pick(t, "gap", 300))*step))
	}
	return w
}

func (w *world) fail(format string, args ...any) {
	if w.broken == nil {
		w.broken = fmt.Errorf(format, args...)
	}
}

// arrive lets requests come in while the balancer sends them, with gaps shorter
// than the quiet time.
func (w *world) arrive() {
	due := w.rand.IntN(3) == 0 || w.now.Sub(w.arrived) > w.cfg.Quiet/2
	if !w.now.Before(w.notices) || !due {
		return
	}
	if !w.listening {
		w.fail("a connection is refused at %v after the signal", w.now.Sub(w.signalAt))
		return
	}
	w.arrived = w.now
	if w.refusing {
		return
	}
	length := time.Duration(w.rand.IntN(20)) * step
	if w.rand.IntN(20) == 0 {
		length *= 50
	}
	end := w.now.Add(length)
	w.ends = append(w.ends, end)
	if end.After(w.lastEnd) {
		w.lastEnd = end
	}
	if w.rand.IntN(4) == 0 {
		w.records++
	}
}

func (w *world) finish() {
	kept := w.ends[:0]
	for _, end := range w.ends {
		if w.now.Before(end) {
			kept = append(kept, end)
		}
	}
	w.ends = kept
	if w.handedOver && !w.peersCut && w.owned > 0 && w.rand.IntN(3) == 0 {
		w.owned--
	}
	if !w.outage && w.records > 0 && w.rand.IntN(2) == 0 {
		w.records--
	}
}

func (w *world) do(acts []Action) {
	for _, act := range acts {
		switch act {
		case MarkNotReady:
		case HandOver:
			w.handedOver = true
		case RefuseArrivals:
			w.refusing = true
		case CloseListener:
			w.listening = false
		case SayGoodbye:
			w.goodbye = true
			w.checkGoodbye()
		case Exit:
			w.exited = w.now
			w.checkExit()
		}
	}
}

func (w *world) checkGoodbye() {
	if w.owned > 0 && !w.peersCut && w.now.Sub(w.signalAt) < w.cfg.OwnedTimeout {
		w.fail("goodbye while %d endpoints are owned", w.owned)
	}
}

func (w *world) checkExit() {
	switch {
	case len(w.ends) > 0:
		w.fail("exit cuts off %d requests", len(w.ends))
	case !w.handedOver || !w.goodbye:
		w.fail("exit without handing over or a goodbye")
	case w.listening:
		w.fail("exit with the listener open")
	}
}

// late returns the time by which the daemon must have exited.
func (w *world) late() time.Time {
	last := w.signalAt.Add(w.cfg.Lag + w.cfg.Quiet)
	for _, at := range []time.Time{w.lastEnd, w.notices.Add(w.cfg.Quiet), w.signalAt.Add(w.cfg.OwnedTimeout)} {
		if at.After(last) {
			last = at
		}
	}
	return last.Add(w.cfg.RecordTimeout + w.cfg.Linger + 3*step)
}

func (w *world) advance() {
	w.now = w.now.Add(step)
	w.finish()
	w.arrive()
	if !w.d.Ready() != !w.now.Before(w.signalAt.Add(step)) && w.now.Sub(w.signalAt) > step {
		w.fail("ready during a stop")
	}
	if w.now.Equal(w.signalAt.Add(step)) {
		w.do(w.d.Signal(w.now))
	}
	for _, at := range w.again {
		if w.now.Equal(at) && w.exited.IsZero() {
			w.do(w.d.Signal(w.now))
		}
	}
	w.do(w.d.Tick(w.now, Status{Requests: len(w.ends), Arrived: w.arrived, Owned: w.owned, Records: w.records}))
}

func history(t *rapid.T, off mechanisms) (err error) {
	defer func() {
		if v, ok := recover().(error); ok {
			err = v
		}
	}()
	w := newWorld(t, off)
	for w.exited.IsZero() || w.now.Before(w.notices) {
		w.advance()
		if w.broken != nil {
			return w.broken
		}
		if w.exited.IsZero() && w.now.After(w.late()) {
			return fmt.Errorf("no exit %v after the signal, in phase %s", w.now.Sub(w.signalAt), w.d.Phase())
		}
	}
	return nil
}

// departures plays random news of one endpoint that restarts now and then. It
// fails if work starts after the first news of a life, or if a new life is kept
// from work by late news of an earlier one.
func departures(t *rapid.T, off departureMechanisms) error {
	d := NewDepartures()
	d.off = off
	now := time.Unix(1000, 0)
	life, leaving := 0, false
	boot := func(n int) string { return fmt.Sprintf("boot-%d", n) }
	d.Observe("e", boot(life))
	for range rapid.IntRange(5, 60).Draw(t, "steps") {
		now = now.Add(step)
		switch seeder.Pick(t, "news", 6) {
		case 0, 1: // A report, which may lag behind the news.
			d.Observe("e", boot(life))
		case 2:
			first := d.Leave(now, "e", boot(life), time.Minute)
			if first == leaving {
				return fmt.Errorf("first news of life %d: %v", life, first)
			}
			leaving = true
		case 3: // The list of VMs lags by a life.
			if life > 0 {
				d.Leave(now, "e", boot(life-1), 0)
			}
		case 4:
			life++
			leaving = false
			d.Observe("e", boot(life))
		case 5:
			if d.MayStart("e") == leaving {
				return fmt.Errorf("life %d, leaving %v, may start %v", life, leaving, leaving)
			}
		}
	}
	return nil
}
