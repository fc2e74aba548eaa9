package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

func init() { cases["numbers"] = numbers }

// Figures of the case.
const (
	eventStep    = 4 // The IDs count tokens, of which an event holds four.
	streamEvents = 220
	streamCount  = 48
	drainServes  = 12 * time.Second // drain_ms and, as at times, many seconds: all streams would end at their engine.
)

// numbers drains two of twelve engines, whose events have increasing IDs that are not consecutive. Each stream is requested on a
// channel that its client keeps.
func numbers(s *scene) error {
	s.store.put("config", "main", manifest)
	es := &engines{s: s, copies: &kvCopies{used: map[string]bool{}}, events: streamEvents, step: eventStep}
	if os.Getenv("STEP") == "1" { // Shows that nothing else ends the streams.
		es.step = 1
	}
	zones := []string{"milano-a", "torino-b", "verona-c"}
	for i := range 12 {
		if err := es.start(zones[i%3]); err != nil {
			return err
		}
	}
	for _, zone := range zones {
		if _, err := startWorker(s.store, "i-app-"+zone, "registro-app", zone, plainAnswer); err != nil {
			return err
		}
	}
	for i := range 6 {
		s.addDaemon(zones[i%3])
	}
	if err := s.startAll(); err != nil {
		return err
	}
	time.Sleep(contactTime)
	var wg sync.WaitGroup
	t := &tally{}
	cut := 0
	for n := range streamCount {
		wg.Go(func() {
			c, err := dial(s.daemons[n%len(s.daemons)].clients)
			if err != nil {
				t.add(answer{err: err})
				return
			}
			defer func() { _ = c.Close() }()
			if a := c.do(request("GET", "/look/a", newID(), 1500, ""), 2*time.Second); a.err != nil || a.status != 200 {
				t.add(a)
				return
			}
			id := newID()
			a := c.do(draftRequest(id, fmt.Sprintf("%s:100,0c%06x:400", sharedPart, n), 4*streamEvents), 39*time.Second)
			s.rec.add("stream %s: status %d, %d bytes, %v", id, a.status, len(a.body), a.err)
			t.add(a)
			if a.status == 200 && a.err != nil {
				t.mu.Lock()
				cut++
				t.mu.Unlock()
			}
		})
		time.Sleep(25 * time.Millisecond)
	}
	time.Sleep(1500 * time.Millisecond)
	if trouble() {
		es.all[0].leave(drainServes)
		es.all[1].leave(drainServes)
	}
	wg.Wait()
	s.rec.say("streams: %v; %d of those that had begun broke off", t, cut)
	if t.begun < streamCount/2 {
		return fmt.Errorf("too few streams")
	}
	if cut > 3 {
		return fmt.Errorf("%w: %d requests from kept channels were passed on to sound workers, and their channels closed without a whole answer", errBroken, cut)
	}
	return nil
}
