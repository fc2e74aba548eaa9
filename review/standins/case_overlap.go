package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["overlap"] = overlapCase }

// Figures of the case.
const (
	overlapLong   = 6                       // Long streams.
	overlapGap    = 20 * time.Millisecond   // Between two short streams.
	overlapWindow = 5500 * time.Millisecond // In which an engine loses answers.
	overlapShare  = 40                      // An engine loses the answer of one of so many requests that it runs.
	overlapLimit  = 400 * time.Millisecond  // Of the rule.
)

// lossy decides which answers are lost: one engine loses the answer of the first request that goes on at it
// from a copy, and no other.
type lossy struct {
	mu     sync.Mutex
	since  time.Time
	engine string         // That loses answers; empty until a request goes on at one.
	lost   string         // Request.
	ran    map[string]int // Requests that each engine has run in the window.
}

// loses counts a request that an engine runs, and reports whether its answer is lost.
func (l *lossy) loses(w *engineWorker, r *request) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.since.IsZero() || time.Since(l.since) > overlapWindow {
		return false
	}
	l.ran[w.id]++
	if l.engine != "" || r.Header.Get(name("copy_from")) == "" || !w.f.e.trouble {
		return false
	}
	l.engine, l.lost = w.id, r.id
	return true
}

// overlapCase drains an engine while it serves streams, and loses the answer to one request that continues a
// stream at its backup.
func overlapCase(e *env) (verdict, error) {
	e.store.put("config", "main", configuration(3, []any{route("draft", "/draft/", "streaming", "llm", 39000, 1)}, []any{engineService()}))
	f := newFleet(e)
	l := &lossy{ran: map[string]int{}}
	var engines []*engineWorker
	for i := range 4 {
		w, err := f.add(fmt.Sprintf("i-llm-%d", i), []string{"zone-a", "zone-b", "zone-c"}[i%3])
		if err != nil {
			return verdict{}, err
		}
		w.lose = func(r *request) bool { return l.loses(w, r) }
		engines = append(engines, w)
	}
	d := newDaemon(e, "edge-a-1", "zone-a", e.store.addr, 134)
	if err := d.startReady(); err != nil {
		return verdict{}, err
	}
	time.Sleep(4 * time.Second) // It is in touch.
	var g sync.WaitGroup
	for i := range overlapLong {
		g.Go(func() { readStream(e, d.front, fmt.Sprintf("long-%d", i), 1000, 900, 3*time.Second) })
		time.Sleep(50 * time.Millisecond)
	}
	stop := make(chan struct{})
	g.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(overlapGap):
			}
			g.Go(func() { readStream(e, d.front, fmt.Sprintf("short-%d", n), 200, 12, 3*time.Second) })
		}
	})
	time.Sleep(2 * time.Second)
	l.mu.Lock()
	l.since = time.Now()
	l.mu.Unlock()
	time.Sleep(300 * time.Millisecond)
	leaving := f.busiest()
	leaving.drain()
	time.Sleep(overlapWindow)
	close(stop)
	g.Wait()
	longest, what := time.Duration(0), "none"
	for i := range overlapLong {
		if o, text := f.overlap(fmt.Sprintf("long-%d", i), time.Now()); o > longest {
			longest, what = o, fmt.Sprintf("long-%d: %s", i, text)
		}
	}
	if e.trouble && (l.lost == "" || l.ran[l.engine] < overlapShare) {
		return verdict{}, fmt.Errorf("engine %q lost the answer to %q, of %v requests run", l.engine, l.lost, l.ran)
	}
	return verdict{
		broken: longest > overlapLimit,
		text:   fmt.Sprintf("longest overlap %v (%s); engine %q lost the answer to %q; requests run in the window: %v", longest.Round(time.Millisecond), what, l.engine, l.lost, l.ran),
	}, nil
}

// busiest returns the engine with the most long streams.
func (f *fleet) busiest() *engineWorker {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := map[string]int{}
	for i := range overlapLong {
		for _, w := range f.work[fmt.Sprintf("long-%d", i)] {
			count[w.engine]++
		}
	}
	var best *engineWorker
	for _, w := range f.engines {
		if best == nil || count[w.id] > count[best.id] {
			best = w
		}
	}
	return best
}
