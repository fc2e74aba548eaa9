package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Figures of the users' pages.
const (
	requestRate    = 55 // Requests a second of the deployment.
	machineFiles   = 4100
	contactTime    = 3 * time.Second
	fewRequesters  = 7
	idleChannelEnd = 75 * time.Second // By then a machine alone has had as many channels as it has descriptors.
)

// caseIdle takes all machines but one away from a deployment whose requesters open a channel for each request
// and leave it open.
func caseIdle(s *scene) int {
	s.configure(callConfig("/app/", "safe", 3000))
	ports, err := freePorts(1)
	if err != nil {
		return notRun
	}
	if _, err := s.startWorker("-id", "i-1", "-service", "app", "-addr", ports[0]); err != nil {
		return notRun
	}
	time.Sleep(300 * time.Millisecond)
	if s.daemons, err = newDaemons(s.folder, s.store.addr(), 284, []string{"edge-a-1", "edge-b-1", "edge-c-1"}, []string{"zone-a", "zone-b", "zone-c"}); err != nil {
		return notRun
	}
	for _, d := range s.daemons {
		command := fmt.Sprintf("ulimit -n %d && exec target/monsoonspar forward", machineFiles)
		if d.process, err = start(d.log, []string{"MONSOONSPAR_NODE_FILE=" + d.settings}, "/bin/sh", "-c", command); err != nil {
			return notRun
		}
		if !d.awaitReady(10 * time.Second) {
			return notRun
		}
	}
	s.printf("3 daemons are ready, with %d descriptors each", machineFiles)
	time.Sleep(2 * time.Second)
	d := s.daemons[0]
	probe := newProbe(d.ready)
	if s.trouble {
		for _, o := range s.daemons[1:] {
			o.kill()
		}
		s.printf("the machines of 2 daemons are lost")
	}
	alive := s.daemons
	if s.trouble {
		alive = s.daemons[:1]
	}
	var mu sync.Mutex
	var open []net.Conn
	var answered, failed atomic.Int64
	start := time.Now()
	for i := 0; time.Since(start) < idleChannelEnd; i++ {
		time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second / requestRate)))
		go func() {
			c, err := net.DialTimeout("tcp", alive[i%len(alive)].clients, time.Second)
			if err != nil {
				failed.Add(1)
				return
			}
			mu.Lock()
			open = append(open, c)
			mu.Unlock()
			r := request{method: "GET", path: "/app/1", id: newID(), key: "key", deadline: 2 * time.Second}
			if a := r.on(c, bufio.NewReader(c)); a.status == 200 && a.err == nil {
				answered.Add(1)
			} else {
				failed.Add(1)
			}
		}()
		if i%(10*requestRate) == 0 {
			files, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.cmd.Process.Pid))
			s.printf("%d requests answered, %d failed; %s has %d files open and is ready: %v", answered.Load(), failed.Load(), d.name, len(files), probe.ready())
		}
	}
	time.Sleep(3 * time.Second)
	s.printf("%d requests answered, %d failed", answered.Load(), failed.Load())
	mu.Lock()
	for _, c := range open {
		_ = c.Close()
	}
	mu.Unlock()
	time.Sleep(contactTime)
	files, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.cmd.Process.Pid))
	s.printf("requesters have closed all channels; %s has %d files open", d.name, len(files))
	taken := tryRequesters(s, d)
	ready := probe.ready()
	s.printf("%d of %d requesters were answered within %v; the machine says that it is ready: %v", taken, 2*fewRequesters, contactTime, ready)
	if taken == 0 && ready {
		s.printf("broken: the machine says that it is ready and takes no new channel")
		return broken
	}
	if !s.trouble && taken < 2*fewRequesters {
		return notRun
	}
	return held
}

// tryRequesters lets requesters open new channels for contactTime, and returns how many were answered.
func tryRequesters(s *scene, d *daemon) int64 {
	var taken atomic.Int64
	var g sync.WaitGroup
	for range 2 * fewRequesters {
		g.Go(func() {
			for end := time.Now().Add(contactTime); time.Now().Before(end); {
				r := request{method: "GET", path: "/app/1", id: newID(), key: "key", deadline: time.Second}
				if a := r.do(d.clients); a.status > 0 {
					taken.Add(1)
					return
				}
			}
		})
	}
	g.Wait()
	return taken.Load()
}

// readyProbe asks a readiness address on one channel, which it keeps.
type readyProbe struct {
	client http.Client
	addr   string
}

func newProbe(addr string) *readyProbe {
	p := &readyProbe{client: http.Client{Timeout: time.Second}, addr: addr}
	p.ready()
	go func() {
		for range time.Tick(time.Second) {
			p.ready()
		}
	}()
	return p
}

func (p *readyProbe) ready() bool {
	res, err := p.client.Get("http://" + p.addr + "/ready")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// raiseFiles permits this process as many open files as the system does.
func raiseFiles() {
	var l syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l) == nil {
		l.Cur = l.Max
		_ = syscall.Setrlimit(syscall.RLIMIT_NOFILE, &l)
	}
}
