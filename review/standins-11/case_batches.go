package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["batches"] = batches }

// Parts of prompts.
const (
	sharedPart = "5c1e07a2"
	poisonPart = "bad0c0de"
)

// Figures of the batches.
const (
	batchSize     = 6
	batchPause    = 2 * time.Millisecond // Between the requests of a batch.
	batchInterval = 8 * time.Second
	batchCount    = 4
	soundInterval = 90 * time.Millisecond // The streams of the site, 11 a second.
)

// batches sends requests with a part that crashes engines, several at the same moment, as a program of a customer does that
// sends a job for each section of a document. Sound requests with the same other parts come all the time.
func batches(s *scene) error {
	s.store.put("config", "main", manifest)
	es := &engines{s: s, copies: &kvCopies{used: map[string]bool{}}, events: 60}
	if trouble() {
		es.poison = poisonPart
	}
	zones := []string{"milano-a", "torino-b", "verona-c"}
	for i := range 12 {
		if err := es.start(zones[i%3]); err != nil {
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
	var mu sync.Mutex
	var wg sync.WaitGroup
	sound, refused := 0, 0
	var lost []time.Time
	stop := make(chan struct{})
	wg.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(soundInterval):
			}
			wg.Go(func() {
				a, id := s.draft(n, fmt.Sprintf("%s:800,0a%06x:600", sharedPart, n))
				mu.Lock()
				defer mu.Unlock()
				switch {
				case a.err == nil && a.status == 200:
					sound++
				case a.status == 503:
					refused++
				default:
					lost = append(lost, time.Now())
					s.rec.add("sound request %s lost: %v", id, a)
				}
			})
		}
	})
	time.Sleep(3 * time.Second)
	for b := range batchCount {
		s.rec.add("batch %d", b+1)
		for i := range batchSize {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * batchPause)
				a, id := s.draft(i, fmt.Sprintf("%s:800,%s:1200,0b%02x%02x:900", sharedPart, poisonPart, b, i))
				s.rec.add("request %s with the part: %v", id, a)
			})
		}
		time.Sleep(batchInterval)
	}
	close(stop)
	wg.Wait()
	return es.judge(sound, lost, refused)
}

// draft sends a generation to one of the daemons, with the parts of its prompt.
func (s *scene) draft(n int, parts string) (answer, string) {
	tokens := 0
	for _, p := range strings.Split(parts, ",") {
		var k int
		_, _ = fmt.Sscanf(p[strings.Index(p, ":")+1:], "%d", &k)
		tokens += k
	}
	id := newID()
	text := request("POST", "/draft/2f", id, 39000, "prompt of "+id, "X-Model: m", fmt.Sprintf("%s: %d,240", names.Tokens, tokens), names.Prompt+": "+parts)
	return ask(s.daemons[n%len(s.daemons)].clients, text, 39*time.Second), id
}

// judge checks: "More than three requests with a part that crashes workers, new ones or repeats, reach workers, sent by
// machines in touch later than contact_ms after the fifth crash."
func (es *engines) judge(sound int, lost []time.Time, refused int) error {
	es.mu.Lock()
	defer es.mu.Unlock()
	reached, late, lateLost := 0, 0, 0
	for _, at := range lost {
		if len(es.crashes) >= 5 && at.After(es.crashes[4].Add(contactTime)) {
			lateLost++
		}
	}
	for _, a := range es.begun {
		if !strings.Contains(a.header.Get(names.Prompt), poisonPart+":") {
			continue
		}
		reached++
		if len(es.crashes) >= 5 && a.at.After(es.crashes[4].Add(contactTime)) {
			late++
		}
	}
	es.s.rec.say("%d crashes; %d requests with the part reached workers, %d of them later than contact_ms after the fifth crash; sound requests: %d answered, %d broken off (%d of them so late), %d refused",
		len(es.crashes), reached, late, sound, len(lost), lateLost, refused)
	if late > 3 {
		return fmt.Errorf("%w: %d requests with a part that crashes workers reached workers later than contact_ms after the fifth crash", errBroken, late)
	}
	return nil
}
