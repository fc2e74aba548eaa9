package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Figures of runSettings.
const (
	shortGrace    = 4  // grace_s before the change of the settings.
	generations   = 12 // Generations that are under way at the stop.
	noticeEvents  = 100
	noticePause   = 55 * time.Millisecond // Between two events: a generation takes 5.5 s.
	noticeBudget  = 39 * time.Second
	stopAfter     = time.Second // From the first generation to SIGTERM.
	changeToStop  = 6 * time.Second
	lastSixth     = graceSeconds * time.Second * 5 / 6 // From which a worker that is still at work excuses the loss.
	noticePrefix  = "5c1e07a2:800,%08x:250"
	noticeCounts  = "1050,400"
	noticeEventID = "id: "
)

// runSettings checks LOST around a SIGTERM: a process has read a whole request, passed it on to a worker, and the channel ends
// without a complete answer. The disruption is a change of the settings file without a signal, some seconds before: grace_s
// rises from 4 to 8. The platform sends SIGKILL after grace_s.
func runSettings(b *bench) (bool, error) {
	b.putManifest()
	if err := b.addWorkers(4, "models", func(w *worker) { w.stream, w.slots, w.work = true, 24, noticePause }); err != nil {
		return false, err
	}
	for _, zone := range []string{"milano-a", "torino-b"} {
		n, err := b.add("edge-"+zone+"-1", zone)
		if err != nil {
			return false, err
		}
		if b.trouble {
			n.grace = shortGrace
		}
		if err := b.start(n); err != nil {
			return false, err
		}
	}
	for _, n := range b.daemons {
		if !n.awaitReady(10 * time.Second) {
			return false, fmt.Errorf("%w: %s is not ready", errCouldNotRun, n.name)
		}
	}
	time.Sleep(2 * time.Second)
	for _, n := range b.daemons {
		n.grace = graceSeconds
		if err := b.writeSettings(n); err != nil {
			return false, err
		}
	}
	b.rec.printf("the settings files say grace_s = %d (changed: %t); no signal is sent", graceSeconds, b.trouble)
	time.Sleep(changeToStop)
	return b.stopUnderLoad(b.daemons[0])
}

// stopUnderLoad stops a daemon while generations are under way, and reports whether one was lost.
func (b *bench) stopUnderLoad(n *daemon) (bool, error) {
	var g sync.WaitGroup
	var lost, whole, begun atomic.Int64
	for i := range generations {
		g.Go(func() {
			id := newID("gen-")
			c, err := open(n.front)
			if err != nil {
				b.rec.printf("%s: %v", id, err)
				return
			}
			defer c.Close()
			begun.Add(1)
			o := c.post(longPath+"entry", id, noticeCounts, fmt.Sprintf(noticePrefix, i), noticeBudget)
			events := strings.Count(o.body, noticeEventID)
			if o.err == nil && o.status == http.StatusOK && events == noticeEvents {
				whole.Add(1)
				return
			}
			if o.err != nil {
				lost.Add(1)
			}
			b.rec.printf("%s: %v after %d events", id, o, events)
		})
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(stopAfter)
	b.rec.printf("SIGTERM to %s", n.name)
	at := time.Now()
	n.signal(syscall.SIGTERM)
	ended := make(chan struct{})
	b.group.Go(func() {
		n.wait()
		b.rec.printf("%s has ended %.1f s after SIGTERM", n.name, time.Since(at).Seconds())
		close(ended)
	})
	select {
	case <-ended:
	case <-time.After(graceSeconds * time.Second):
		b.rec.printf("SIGKILL to %s", n.name)
		n.signal(syscall.SIGKILL)
	}
	g.Wait()
	b.rec.printf("%d generations were under way; %d came whole, %d were cut off without a complete answer; a worker at work later than %.2f s after SIGTERM would excuse a loss",
		begun.Load(), whole.Load(), lost.Load(), lastSixth.Seconds())
	if begun.Load() < generations {
		return false, fmt.Errorf("%w: only %d generations began", errCouldNotRun, begun.Load())
	}
	return lost.Load() > 0, nil
}
