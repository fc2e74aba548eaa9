package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["template"] = template }

// Parts of the prompts of one customer: its instructions come first, the template of its question after the document.
const (
	instructions = "1a57c0de"
	question     = "9e5710a1"
)

// Figures of the case.
const (
	soundBefore  = 25
	soundDuring  = 30
	soundPause   = 200 * time.Millisecond
	idleTime     = 66 * time.Second // In which this customer sends nothing.
	badPause     = 700 * time.Millisecond
	recoveryTime = 2 * contactTime
)

// template has a customer whose prompts consist of its instructions, a document and a question, which is always the same. After
// an idle minute it sends some requests with a document that crashes engines, then sound ones too.
func template(s *scene) error {
	s.store.put("config", "main", manifest)
	es := &engines{s: s, copies: &kvCopies{used: map[string]bool{}}, events: 12}
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
	var wg sync.WaitGroup
	stop := make(chan struct{})
	others := &tally{}
	wg.Go(func() { // Other customers' prompts, which have nothing in common with those.
		for n := 0; wait(stop, 300*time.Millisecond); n++ {
			wg.Go(func() {
				a, _ := s.draft(n, fmt.Sprintf("%s:400,07%06x:600", sharedPart, n))
				others.add(a)
			})
		}
	})
	before := s.sound(0, soundBefore)
	s.rec.say("before: %v", before)
	time.Sleep(idleTime)
	bad := &tally{}
	wg.Go(func() {
		for n := 0; wait(stop, badPause); n++ {
			wg.Go(func() {
				a, id := s.draft(n, fmt.Sprintf("%s:300,%s:900,%s:200,0b%06x:300", instructions, poisonPart, question, n))
				s.rec.add("request %s with the part: %v", id, a)
				bad.add(a)
			})
		}
	})
	time.Sleep(5*badPause + restartTime)
	if trouble() && es.crashCount() == 0 {
		return fmt.Errorf("no engine has crashed")
	}
	if n := es.crashCount(); n > 0 { // The fifth crash, or the last one if there are fewer.
		es.mu.Lock()
		last := es.crashes[min(n, 5)-1]
		es.mu.Unlock()
		time.Sleep(time.Until(last.Add(recoveryTime)))
	}
	during := s.sound(1, soundDuring)
	close(stop)
	wg.Wait()
	s.rec.say("%d crashes; sound requests of the customer before: %v, while requests with the part come: %v; requests with the part: %v; of other customers: %v",
		es.crashCount(), before, during, bad, others)
	if before.total() < 20 || during.total() < 20 || before.begun < 20 {
		return fmt.Errorf("too few requests")
	}
	if 2*during.begun*before.total() < before.begun*during.total() {
		return fmt.Errorf("%w: sound requests with the same key and first part begin less than half as often as outside the impairment", errBroken)
	}
	return nil
}

// sound sends sound requests of the customer, one after another at all machines, and waits for their answers.
func (s *scene) sound(round, count int) *tally {
	var wg sync.WaitGroup
	t := &tally{}
	for n := range count {
		wg.Go(func() {
			a, id := s.draft(n, fmt.Sprintf("%s:300,0d%02x%04x:900,%s:200,0e%02x%04x:300", instructions, round, n, question, round, n))
			s.rec.add("sound request %s: %v", id, a)
			t.add(a)
		})
		time.Sleep(soundPause)
	}
	wg.Wait()
	return t
}

// wait waits, and reports whether stop was not closed meanwhile.
func wait(stop <-chan struct{}, d time.Duration) bool {
	select {
	case <-stop:
		return false
	case <-time.After(d):
		return true
	}
}

func (es *engines) crashCount() int {
	es.mu.Lock()
	defer es.mu.Unlock()
	return len(es.crashes)
}

// tally counts answers.
type tally struct {
	mu                    sync.Mutex
	begun, refused, other int
}

func (t *tally) add(a answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case a.status == 200:
		t.begun++
	case a.status == 503:
		t.refused++
	default:
		t.other++
	}
}

func (t *tally) total() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.begun + t.refused + t.other
}

func (t *tally) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("%d begun, %d refused, %d others", t.begun, t.refused, t.other)
}
