package main

import "time"

// caseIDs takes a model worker away whose events have increasing IDs that are no consecutive numbers: the number
// of the last token that the event holds. Its runs can be moved to another worker.
func caseIDs(s *scene) int {
	const streams = 6
	s.configure(draftConfig(6000, true))
	f := &fleet{engines: map[string]*engine{}}
	leaving := &engine{id: "i-1", total: 90, idStep: tokensPerEvent}
	if err := startEngine(s, f, leaving); err != nil {
		return notRun
	}
	if !s.startDaemons(284, []string{"edge-a-1", "edge-b-1", "edge-c-1"}, []string{"zone-a", "zone-b", "zone-c"}) {
		return notRun
	}
	time.Sleep(4 * time.Second) // All machines are in touch.
	results := s.streamOnKept(s.daemons[0], streams)
	time.Sleep(300 * time.Millisecond)
	if err := startEngine(s, f, &engine{id: "i-2", total: 90, idStep: tokensPerEvent}); err != nil {
		return notRun
	}
	time.Sleep(500 * time.Millisecond)
	if s.trouble {
		background.Go(func() { leaving.leave(4 * time.Second) })
	}
	cut, whole := s.countStreams(results, streams, leaving.total)
	if cut > 3 {
		s.printf("broken: the channels of %d requests on kept channels, which sound workers ran, were closed without a whole answer", cut)
		return broken
	}
	if !s.trouble && whole < streams {
		return notRun
	}
	return held
}
