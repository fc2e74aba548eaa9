package main

import (
	"bytes"
	"time"
)

// caseReborn cuts a worker off from the daemons and the store while it sends an answer without a length. It
// crashes behind the cut and starts again. After the cut the end of its connection arrives at the daemon.
func caseReborn(s *scene) int {
	s.configure(callConfig("/unframed/", "unsafe", 6000))
	ports, err := freePorts(1)
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
	worker := []string{"-id", "i-1", "-service", "app", "-addr", link.addr(), "-listen", ports[0], "-store", storeLink.addr(), "-half", "1000ms"}
	w, err := s.startWorker(worker...)
	if err != nil {
		s.printf("could not start the worker: %v", err)
		return notRun
	}
	time.Sleep(300 * time.Millisecond)
	if !s.startDaemons(284, []string{"edge-a-1", "edge-b-1", "edge-c-1"}, []string{"zone-a", "zone-b", "zone-c"}) {
		return notRun
	}
	time.Sleep(2 * time.Second)
	d := s.daemons[0]
	r := request{method: "POST", path: "/unframed/1", id: newID(), key: "key", body: "order", deadline: 6 * time.Second}
	result := make(chan answer, 1)
	s.printf("request %s sent to %s; its answer has %d bytes", r.id, d.name, len(bodyOf(r.id)))
	background.Go(func() { result <- r.do(d.clients) })
	time.Sleep(300 * time.Millisecond)
	if s.trouble {
		link.setCut(true)
		storeLink.setCut(true)
		s.printf("worker cut off from the daemons and the store; half of its answer has arrived")
		time.Sleep(200 * time.Millisecond)
		w.kill()
		s.printf("worker crashed behind the cut")
		time.Sleep(2000 * time.Millisecond)
		if _, err := s.startWorker(worker...); err != nil {
			return notRun
		}
		s.printf("worker started again")
		time.Sleep(700 * time.Millisecond)
		link.setCut(false)
		storeLink.setCut(false)
		s.printf("the cut has ended after 2.9 s")
	}
	a := <-result
	s.printf("answer to %s: %v", r.id, a)
	s.printf("requests that the worker ran (time, worker, its start, request):\n%s", s.runs())
	if a.status/100 == 2 && a.err == nil && !bytes.Equal(a.body, bodyOf(r.id)) {
		s.printf("broken: the client got a success with %d of %d bytes, marked as complete", len(a.body), len(bodyOf(r.id)))
		return broken
	}
	if !s.trouble && (a.status != 200 || a.err != nil) {
		s.printf("the request was not answered without the disruption")
		return notRun
	}
	return held
}
