package main

import (
	"bytes"
	"fmt"
	"strings"
	"time"
)

// caseReborn cuts one worker of five off from the daemons and the store while it sends answers without a length. It
// crashes behind the cut and starts again. After the cut the ends of its connections arrive at the daemons.
func caseReborn(s *scene) int {
	const workers, requests = 5, 20
	s.configure(callConfig("/unframed/", "unsafe", 6000))
	ports, err := freePorts(workers)
	if err != nil {
		return notRun
	}
	link, err := startProxy("127.0.0.1:0", ports[0], 500*time.Millisecond)
	if err != nil {
		return notRun
	}
	storeLink, err := startProxy("127.0.0.1:0", s.store.addr(), 500*time.Millisecond)
	if err != nil {
		return notRun
	}
	cutOff := []string{"-id", "i-1", "-service", "app", "-addr", link.addr(), "-listen", ports[0], "-store", storeLink.addr(), "-half", "1000ms"}
	w, err := s.startWorker(cutOff...)
	if err != nil {
		s.printf("could not start the worker: %v", err)
		return notRun
	}
	for i, port := range ports[1:] {
		if _, err := s.startWorker("-id", fmt.Sprint("i-", i+2), "-service", "app", "-addr", port, "-half", "1000ms"); err != nil {
			return notRun
		}
	}
	time.Sleep(300 * time.Millisecond)
	if !s.startDaemons(284, []string{"edge-a-1", "edge-b-1", "edge-c-1"}, []string{"zone-a", "zone-b", "zone-c"}) {
		return notRun
	}
	time.Sleep(2 * time.Second)
	results := make(chan streamResult, requests)
	for i := range requests {
		d := s.daemons[i%len(s.daemons)]
		r := request{method: "POST", path: "/unframed/1", id: newID(), key: "key", body: "order", deadline: 6 * time.Second}
		background.Go(func() { results <- streamResult{r.id, r.do(d.clients)} })
	}
	s.printf("%d requests sent; each answer has %d bytes", requests, len(bodyOf(newID())))
	time.Sleep(300 * time.Millisecond)
	if s.trouble {
		link.setCut(true)
		storeLink.setCut(true)
		s.printf("worker i-1 cut off from the daemons and the store; half of each of its answers has arrived")
		time.Sleep(200 * time.Millisecond)
		w.kill()
		s.printf("worker i-1 crashed behind the cut")
		time.Sleep(2000 * time.Millisecond)
		if _, err := s.startWorker(cutOff...); err != nil {
			return notRun
		}
		s.printf("worker i-1 started again")
		time.Sleep(700 * time.Millisecond)
		link.setCut(false)
		storeLink.setCut(false)
		s.printf("the cut has ended after 2.9 s")
	}
	short, failed := 0, 0
	for range requests {
		r := <-results
		s.printf("answer to %s: %v", r.id, r.a)
		switch {
		case r.a.status != 200 || r.a.err != nil:
			failed++
		case !bytes.Equal(r.a.body, bodyOf(r.id)):
			short++
		}
	}
	runs := s.runs()
	s.printf("requests that the workers ran (time, worker, its start, request):\n%s", runs)
	if short > 0 {
		s.printf("broken: %d requests got a success with a part of the body, marked as complete", short)
		return broken
	}
	if !s.trouble && failed > 0 || !strings.Contains(runs, " i-1 ") {
		s.printf("%d requests were not answered, or none was sent to worker i-1", failed)
		return notRun
	}
	return held
}
