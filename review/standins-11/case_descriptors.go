package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["descriptors"] = descriptors }

// Figures of the deployment rettifiche-nord.
const (
	fleetSize      = 7
	requestsPerS   = 49
	maxDescriptors = 4100
	contactTime    = 3 * time.Second
)

// descriptors has clients that open a connection for each request and leave it to the system to close those that are
// idle for longer than idle_timeout_ms. All machines but one are lost.
func descriptors(s *scene) error {
	s.store.put("config", "main", manifest)
	for _, zone := range []string{"milano-a", "torino-b", "verona-c"} {
		w, err := startWorker(s.store, "i-app-"+zone, "registro-app", zone, plainAnswer)
		if err != nil {
			return err
		}
		w.slots = 24
	}
	for i := range fleetSize {
		s.addDaemon([]string{"milano-a", "torino-b", "verona-c"}[i%3]).maxFiles = maxDescriptors
	}
	if err := s.startAll(); err != nil {
		return err
	}
	left := s.daemons
	if trouble() {
		left = s.daemons[:1]
		for _, d := range s.daemons[1:] {
			d.signal(syscall.SIGKILL)
			<-d.done
			s.rec.add("daemon %s lost", d.name)
		}
		time.Sleep(contactTime)
	}
	open, answered, failed := load(s, left, 88*time.Second)
	s.rec.say("%d requests answered, %d not, %d connections open at their clients", answered, failed, len(open))
	for _, c := range open {
		_ = c.Close()
	}
	s.rec.say("all clients have closed their connections")
	time.Sleep(contactTime + time.Second)
	return probe(s, left)
}

// load sends the usual traffic of the fleet for a time, each request on a connection of its own that stays open. It returns the
// connections that are open at the end.
func load(s *scene, daemons []*daemon, length time.Duration) (open []*client, answered, failed int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	ticker := time.NewTicker(time.Second / requestsPerS)
	defer ticker.Stop()
	begin := time.Now()
	lastReady := begin
	for n := 0; time.Since(begin) < length; n++ {
		<-ticker.C
		d := daemons[n%len(daemons)]
		wg.Go(func() {
			c, err := dial(d.clients)
			a := answer{err: err}
			id := newID()
			if err == nil {
				a = c.do(request("POST", "/file/a", id, 1500, "x"), 1500*time.Millisecond)
			}
			mu.Lock()
			defer mu.Unlock()
			if a.err != nil || a.status != 200 {
				failed++
				s.rec.add("request %s at %s: %v", id, d.name, a)
			} else {
				answered++
			}
			if c != nil {
				open = append(open, c)
			}
		})
		if time.Since(lastReady) >= time.Second {
			lastReady = time.Now()
			for _, d := range daemons {
				wg.Go(func() {
					if !d.isReady() {
						s.rec.add("%s is not ready", d.name)
					}
				})
			}
		}
	}
	wg.Wait()
	return open, answered, failed
}

// probe has ten clients try new connections at each machine for longer than contact_ms. It returns errBroken if, at one, of
// the requests that are unanswered at the timeout of their route more than half have no answer half a second later.
func probe(s *scene, daemons []*daemon) error {
	const routeTimeout, late = 600 * time.Millisecond, 500 * time.Millisecond
	broken := ""
	for _, d := range daemons {
		ready := d.isReady()
		var mu sync.Mutex
		var wg sync.WaitGroup
		served, overdue, unanswered := 0, 0, 0
		for range 10 {
			wg.Go(func() {
				for range 4 {
					id := newID()
					sent := time.Now()
					a := ask(d.clients, request("POST", "/file/a", id, 1500, "x"), routeTimeout+late)
					took := time.Since(sent)
					mu.Lock()
					s.rec.add("probe %s at %s: %v after %d ms", id, d.name, a, took.Milliseconds())
					switch {
					case a.err == nil && a.status == 200:
						served++
					case a.err != nil && took >= routeTimeout+late:
						unanswered++
					}
					if took >= routeTimeout {
						overdue++
					}
					mu.Unlock()
					if rest := time.Second - time.Since(sent); rest > 0 {
						time.Sleep(rest)
					}
				}
			})
		}
		wg.Wait()
		after := d.isReady()
		s.rec.say("%s: ready %v before, %v after; running %v; of 40 requests %d served, %d unanswered at the route's timeout, %d of these 0.5 s later",
			d.name, ready, after, d.running(), served, overdue, unanswered)
		if overdue >= 7 && 2*unanswered > overdue {
			broken = fmt.Sprintf("%s answers nothing on new connections", d.name)
			if ready && after {
				broken += ", and says that it is ready"
			}
		}
	}
	if broken != "" {
		return fmt.Errorf("%w: %s", errBroken, broken)
	}
	return nil
}
