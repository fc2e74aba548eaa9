package main

import (
	"time"
)

// caseDeferred lets a model worker whose answers end with their channels turn a request away, with the time for
// which it wants nothing from that machine. The streams that it runs end whole in that time.
func caseDeferred(s *scene) int {
	const streams = 6
	s.configure(draftConfig(6000, true))
	f := &fleet{engines: map[string]*engine{}}
	e := &engine{id: "i-1", total: 50, unframed: true, slots: streams}
	if s.trouble {
		e.retryAfter = "6"
	}
	if err := startEngine(s, f, e); err != nil {
		return notRun
	}
	if !s.startDaemons(284, []string{"edge-a-1", "edge-b-1", "edge-c-1"}, []string{"zone-a", "zone-b", "zone-c"}) {
		return notRun
	}
	time.Sleep(4 * time.Second) // All machines are in touch.
	d := s.daemons[0]
	results := s.streamOnKept(d, streams)
	time.Sleep(500 * time.Millisecond)
	extra := request{method: "POST", path: "/draft/1", id: newID(), key: "key", body: "draft", deadline: 6 * time.Second, header: draftHeader}
	s.printf("answer to the request beyond the slots: %v", extra.do(d.clients))
	cut, whole := s.countStreams(results, streams, e.total)
	if cut > 3 {
		s.printf("broken: %d requests on kept channels were passed on to a sound worker, which answered them whole, and their channels were closed without a whole answer", cut)
		return broken
	}
	if !s.trouble && whole < streams {
		return notRun
	}
	return held
}
