package main

import (
	"fmt"
	"net"
	"os"
	"sync"
	"time"
)

func init() { cases["cutoff"] = cutoff }

// Figures of the case.
const (
	cutMachines = 3
	cutTime     = 9 * time.Second
	callsPerS   = 38 // The plain requests of the site.
	unsafeShare = 5  // Of seven.
)

// cutoff partitions three of seven machines from all workers: their connections to workers are reset, also new ones, right after
// they have been set up. The machines reach the store, the clients and each other.
func cutoff(s *scene) error {
	s.store.put("config", "main", manifest)
	zones := []string{"milano-a", "torino-b", "verona-c"}
	var workers []*worker
	for _, zone := range zones {
		w, err := startWorker(s.store, "i-app-"+zone, "registro-app", zone, plainAnswer)
		if err != nil {
			return err
		}
		workers = append(workers, w)
	}
	for i := range fleetSize {
		s.addDaemon(zones[i%3])
	}
	if err := s.startAll(); err != nil {
		return err
	}
	time.Sleep(contactTime)
	c := &cut{s: s, machines: map[*daemon]bool{}, over: make(chan struct{})}
	for _, d := range s.daemons[:cutMachines] {
		c.machines[d] = true
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { c.traffic(stop) })
	time.Sleep(5 * time.Second)
	begin := time.Now()
	if trouble() {
		c.begin(workers)
	}
	s.rec.add("the cut begins")
	time.Sleep(cutTime)
	end := time.Now()
	if trouble() {
		c.end(workers)
	}
	s.rec.add("the cut ends")
	time.Sleep(3 * time.Second)
	close(stop)
	wg.Wait()
	return c.judge(begin.Add(contactTime), end)
}

// try is the first try of a request.
type try struct {
	at     time.Time
	cut    bool // At a machine that is cut off while there is a cut.
	served bool
}

// cut partitions machines from all workers.
type cut struct {
	s        *scene
	machines map[*daemon]bool
	over     chan struct{} // Closed when the cut ends.

	mu    sync.Mutex
	tries []try
}

// isCut reports whether a connection to a worker is one of a machine that is cut off.
func (c *cut) isCut(conn net.Conn, inodes map[string]string) bool {
	for d := range c.machines {
		if d.owns(conn, inodes) {
			return true
		}
	}
	return false
}

func (c *cut) begin(workers []*worker) {
	var open []net.Conn
	for _, w := range workers {
		w.mu.Lock()
		w.admits = func(conn net.Conn) bool {
			if !c.isCut(conn, sockets()) {
				return true
			}
			if os.Getenv("HANG") == "1" { // A variant: new connections bring nothing until the cut ends.
				<-c.over
			}
			return false
		}
		for conn := range w.conns {
			open = append(open, conn)
		}
		w.mu.Unlock()
	}
	inodes := sockets()
	for _, conn := range open {
		if c.isCut(conn, inodes) {
			workers[0].reset(conn)
		}
	}
}

func (c *cut) end(workers []*worker) {
	close(c.over)
	for _, w := range workers {
		w.mu.Lock()
		w.admits = nil
		w.mu.Unlock()
	}
}

// traffic sends the plain requests of the site, spread over the machines, until stop is closed.
func (c *cut) traffic(stop <-chan struct{}) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; wait(stop, time.Second/callsPerS); n++ {
		d := c.s.daemons[n%fleetSize]
		wg.Go(func() {
			id, at := newID(), time.Now()
			text := request("GET", "/look/a", id, 600, "")
			if n/fleetSize%7 < unsafeShare {
				text = request("POST", "/file/a", id, 600, "x")
			}
			a := ask(d.clients, text, time.Second)
			c.s.rec.add("request %s at %s: %v", id, d.name, a)
			c.mu.Lock()
			defer c.mu.Unlock()
			c.tries = append(c.tries, try{at: at, cut: c.machines[d], served: a.err == nil && a.status == 200})
		})
	}
}

// judge checks: "While some machines are partitioned from all workers, from contact_ms after the cut began, requesters' first tries
// at these machines are served less than two thirds as often as those at the others, and more than 10 + 1 in 50 of all first
// tries fail there."
func (c *cut) judge(from, to time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all, served [2]int
	for _, t := range c.tries {
		if t.at.Before(from) || t.at.After(to) {
			continue
		}
		i := 0
		if t.cut {
			i = 1
		}
		all[i]++
		if t.served {
			served[i]++
		}
	}
	failed := all[1] - served[1]
	c.s.rec.say("from contact_ms after the cut began: %d of %d first tries served at the machines that are cut off, %d of %d at the others", served[1], all[1], served[0], all[0])
	if all[0] == 0 || all[1] == 0 {
		return fmt.Errorf("too few requests")
	}
	if 3*served[1]*all[0] < 2*served[0]*all[1] && 50*failed > 500+all[0]+all[1] {
		return fmt.Errorf("%w: %d first tries failed at machines that are partitioned from all workers", errBroken, failed)
	}
	return nil
}
