package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Figures of runLimit.
const (
	limitDaemons  = 7
	limitEngines  = 2
	limitRate     = 2.0              // Requests a second that a worker names.
	staleReads    = 5 * time.Second  // Age of what serializable reads return.
	trafficAfter  = 10 * time.Second // From the start of the machines.
	trafficTime   = 10 * time.Second
	generationsPS = 20 // Generations a second.
	limitWindow   = 4 * time.Second
	afterAnswer   = 500 * time.Millisecond // From the first answer with the limit that a machine has passed on.
)

// arrival is a request at a worker.
type limitArrival struct {
	worker, daemon string
	at             time.Time
}

// limitRecord holds what the rule LIMIT needs.
type limitRecord struct {
	mu       sync.Mutex
	daemonOf map[string]string       // By request.
	named    map[string]time.Time    // When each worker first named its limit.
	passedOn map[[2]string]time.Time // When a machine first passed on an answer of a worker.
	arrivals []limitArrival
}

// runLimit checks LIMIT: from contact_ms after a worker first named its limit, it gets in some 4 s more than one and a half
// times what that allows, + 5 requests, summed over the machines that had passed on such an answer half a second before or
// earlier. The machines start together, and the traffic starts 10 s later. Serializable reads of the store are 5 s old.
func runLimit(b *bench) (bool, error) {
	if b.trouble {
		b.st.lag = staleReads
	}
	b.putManifest()
	rec := &limitRecord{daemonOf: map[string]string{}, named: map[string]time.Time{}, passedOn: map[[2]string]time.Time{}}
	err := b.addWorkers(limitEngines, "models", func(w *worker) {
		w.stream, w.slots, w.work = true, 24, 15*time.Millisecond
		w.header = func() string { return rec.name(w.id) }
		w.handle = func(w *worker, r *http.Request) bool {
			rec.arrive(w.id, r.Header.Get(names["id"]))
			return true
		}
	})
	if err != nil {
		return false, err
	}
	zones := []string{"milano-a", "torino-b", "verona-c"}
	for i := range limitDaemons {
		if _, err := b.add(fmt.Sprintf("edge-%s-%d", zones[i%len(zones)], i/len(zones)+1), zones[i%len(zones)]); err != nil {
			return false, err
		}
	}
	begin := time.Now()
	for _, n := range b.daemons {
		if err := b.start(n); err != nil {
			return false, err
		}
	}
	for _, n := range b.daemons {
		if !n.awaitReady(8 * time.Second) {
			return false, fmt.Errorf("%w: %s is not ready", errCouldNotRun, n.name)
		}
	}
	time.Sleep(trafficAfter - time.Since(begin))
	b.generateAll(rec)
	return b.checkLimit(rec), nil
}

// name records that a worker names its limit, and returns the header line.
func (l *limitRecord) name(worker string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.named[worker].IsZero() {
		l.named[worker] = time.Now()
	}
	return fmt.Sprintf("%s: %.1f\r\n", names["limit"], limitRate)
}

func (l *limitRecord) arrive(worker, request string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals = append(l.arrivals, limitArrival{worker: worker, daemon: l.daemonOf[request], at: time.Now()})
}

// generateAll sends the generations and records which machine has passed on which answers.
func (b *bench) generateAll(rec *limitRecord) {
	var g sync.WaitGroup
	begin := time.Now()
	for n := 0; time.Since(begin) < trafficTime; n++ {
		d := b.daemons[n%len(b.daemons)]
		id := newID("gen-")
		rec.mu.Lock()
		rec.daemonOf[id] = d.name
		rec.mu.Unlock()
		g.Go(func() {
			o := b.generate(d.front, id, fmt.Sprintf("5c1e07a2:800,%08x:250", n))
			b.rec.printf("%s at %s: status %d worker %q %v", id, d.name, o.status, o.worker, o.err)
			rec.mu.Lock()
			defer rec.mu.Unlock()
			at := [2]string{d.name, o.worker}
			if o.worker != "" && rec.passedOn[at].IsZero() {
				rec.passedOn[at] = time.Now()
			}
		})
		time.Sleep(time.Until(begin.Add(time.Duration(n+1) * time.Second / generationsPS)))
	}
	g.Wait()
}

// checkLimit reports whether the rule is broken.
func (b *bench) checkLimit(rec *limitRecord) bool {
	allowed := 1.5*limitRate*limitWindow.Seconds() + 5
	broken := false
	for _, w := range b.workers {
		var counted []time.Time
		all := 0
		for _, a := range rec.arrivals {
			if a.worker != w.id {
				continue
			}
			all++
			passed := rec.passedOn[[2]string{a.daemon, a.worker}]
			if a.at.Sub(rec.named[w.id]) > contact && !passed.IsZero() && a.at.Sub(passed) >= afterAnswer {
				counted = append(counted, a.at)
			}
		}
		most := 0
		for i, from := range counted {
			n := 0
			for _, at := range counted[i:] {
				if at.Sub(from) <= limitWindow {
					n++
				}
			}
			most = max(most, n)
		}
		b.rec.printf("%s: %d requests in all; at most %d in %v that count, %.0f are allowed", w.id, all, most, limitWindow, allowed)
		broken = broken || float64(most) > allowed
	}
	return broken
}
