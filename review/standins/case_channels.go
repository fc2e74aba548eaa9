package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"
)

func init() { cases["channels"] = channels }

// Figures of the smallest deployment.
const (
	channelMachines    = 7
	channelDescriptors = 4100                     // Of one process.
	channelGap         = 20400 * time.Microsecond // Between two requests: 49 a second in all.
	channelContact     = 3 * time.Second
	channelTime        = 95 * time.Second // In which requests are sent at most.
	channelRequesters  = 10               // That try to connect at the end.
)

// setDescriptors limits the descriptors of the process, as the platform does.
func (d *daemon) setDescriptors(n uint64) error {
	limit := syscall.Rlimit{Cur: n, Max: n}
	_, _, errno := syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(d.cmd.Process.Pid), syscall.RLIMIT_NOFILE, uintptr(unsafe.Pointer(&limit)), 0, 0, 0)
	if errno != 0 {
		return errno
	}
	return nil
}

// prober asks a daemon once a second whether it is ready, on a kept connection, as the platform does. Two
// misses take the daemon out of rotation.
type prober struct {
	d      *daemon
	misses atomic.Int64
	asked  atomic.Int64
}

func (p *prober) run(e *env, done <-chan struct{}) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{}}
	for {
		r, err := client.Get("http://" + p.d.ready + "/ready")
		if err == nil {
			_, _ = io.Copy(io.Discard, r.Body) // So that the connection is kept.
			_ = r.Body.Close()
		}
		p.asked.Add(1)
		if err == nil && r.StatusCode == http.StatusOK {
			p.misses.Store(0)
		} else if p.misses.Add(1) == 2 {
			e.rec.printf("platform: %s is out of rotation: %v", p.d.label, err)
		}
		select {
		case <-done:
			return
		case <-time.After(time.Second):
		}
	}
}

func (p *prober) inRotation() bool { return p.misses.Load() < 2 }

// channels sends each request on a new channel that the client leaves open, while all machines but one are
// lost.
func channels(e *env) (verdict, error) {
	var own syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &own); err != nil || own.Cur < 2*channelDescriptors {
		return verdict{}, fmt.Errorf("the clients need %d descriptors: %d, %v", 2*channelDescriptors, own.Cur, err)
	}
	e.store.put("config", "main", configuration(3, []any{route("records", "/records/", "safe", "app", 5000, 2)}, []any{plainService("app")}))
	zones := []string{"zone-a", "zone-b", "zone-c"}
	for i, zone := range zones {
		if _, err := newWorker(e, fmt.Sprintf("i-app-%d", i), "app", zone, answer(800)); err != nil {
			return verdict{}, err
		}
	}
	done := make(chan struct{})
	defer close(done)
	var all []*prober
	for i := range channelMachines {
		var seeds []string
		if i > 0 {
			seeds = []string{all[0].d.control}
		}
		d := newDaemon(e, fmt.Sprintf("edge-%d", i), zones[i%3], e.store.addr, 134, seeds...)
		if err := d.startReady(); err != nil {
			return verdict{}, err
		}
		if err := d.setDescriptors(channelDescriptors); err != nil {
			return verdict{}, err
		}
		p := &prober{d: d}
		all = append(all, p)
		e.group.Go(func() { p.run(e, done) })
	}
	time.Sleep(2 * time.Second)
	if e.trouble {
		e.rec.printf("machines 1 to %d are lost", channelMachines-1)
		for _, p := range all[1:] {
			p.d.signal(syscall.SIGKILL)
		}
		time.Sleep(3 * time.Second) // They are out of rotation.
	}
	served, failed, open := sendOnNewChannels(e, all)
	e.rec.printf("%d requests served, %d failed; the clients close the %d channels that they have left open", served, failed, len(open))
	for _, c := range open {
		_ = c.Close()
	}
	time.Sleep(time.Second)
	dead := 0
	for _, p := range all {
		if p.d.running() && p.inRotation() && takesNone(e, p) {
			dead++
		}
	}
	return verdict{broken: dead > 0, text: fmt.Sprintf("%d machines said that they were ready and took no channel of %d requesters for %v; before, %d requests were served and %d failed", dead, channelRequesters, channelContact, served, failed)}, nil
}

// sendOnNewChannels sends requests to the daemons in rotation, each on a new channel that is left open, until
// channelTime is over or channelRequesters requests in a row have failed.
func sendOnNewChannels(e *env, all []*prober) (served, failed int, open []net.Conn) {
	type result struct {
		conn net.Conn
		ok   bool
	}
	results := make(chan result, 10_000)
	var requests sync.WaitGroup
	begun := time.Now()
	ticker := time.NewTicker(channelGap)
	defer ticker.Stop()
	inARow := 0
	collect := func() {
		for len(results) > 0 {
			r := <-results
			if r.ok {
				served, inARow, open = served+1, 0, append(open, r.conn)
			} else {
				failed, inARow = failed+1, inARow+1
			}
		}
	}
	for n := 0; time.Since(begun) < channelTime && inARow < channelRequesters; n++ {
		<-ticker.C
		var ready []*prober
		for _, p := range all {
			if p.inRotation() {
				ready = append(ready, p)
			}
		}
		if len(ready) == 0 {
			continue
		}
		p := ready[n%len(ready)]
		requests.Go(func() {
			c, err := request1(p.d.front, fmt.Sprintf("req-%d", n))
			if err != nil {
				e.rec.printf("client: req-%d at %s: %v", n, p.d.label, err)
			}
			results <- result{conn: c, ok: err == nil}
		})
		collect()
		if n%490 == 0 {
			e.rec.printf("after %d requests: %d served, %d failed, %d channels open at %d machines", n, served, failed, len(open), len(ready))
		}
	}
	requests.Wait()
	collect()
	return served, failed, open
}

// takesNone reports whether a daemon says that it is ready, and answers none of the requesters that open new
// channels for channelContact.
func takesNone(e *env, p *prober) bool {
	until := time.Now().Add(channelContact)
	var taken, tries atomic.Int64
	asked := p.asked.Load()
	var requesters sync.WaitGroup
	for i := range channelRequesters {
		requesters.Go(func() {
			for n := 0; time.Now().Before(until) && taken.Load() == 0; n++ {
				tries.Add(1)
				if c, err := request1(p.d.front, fmt.Sprintf("last-%s-%d-%d", p.d.label, i, n)); err == nil {
					taken.Add(1)
					_ = c.Close()
				}
			}
		})
	}
	requesters.Wait()
	e.rec.printf("%s: %d tries on new channels, %d answered; asked %d times whether it is ready, still in rotation: %v; process runs: %v",
		p.d.label, tries.Load(), taken.Load(), p.asked.Load()-asked, p.inRotation(), p.d.running())
	return taken.Load() == 0 && p.inRotation() && p.d.running()
}

// request1 sends one request on a new channel and waits for the answer for a second. The channel stays open.
func request1(addr, id string) (net.Conn, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, fmt.Errorf("no channel: %w", err)
	}
	_ = c.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintf(c, "GET /records/x HTTP/1.1\r\nHost: shop.example\r\n%s: %s\r\n%s: 3000\r\nAuthorization: Bearer key-one\r\n\r\n", name("request_id"), id, name("deadline"))
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		_ = c.Close()
		return nil, fmt.Errorf("no answer: %w", err)
	}
	_, _ = io.Copy(io.Discard, res.Body)
	if res.StatusCode != http.StatusOK {
		_ = c.Close()
		return nil, fmt.Errorf("status %s", res.Status)
	}
	return c, nil
}
