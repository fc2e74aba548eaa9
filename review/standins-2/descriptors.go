package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The case of runDescriptors, with the figures of the deployment rettifiche-nord.
const (
	maxFiles      = 4100                   // Descriptors of a machine (max_fds).
	leastFiles    = 4000                   // The case needs as many; a few less than maxFiles make no difference.
	requestRate   = 49                     // Requests a second: those of the deployment.
	holders       = 6                      // Processes that hold the channels of the requesters.
	loadTime      = 96 * time.Second       // Within which the requests come.
	lossAt        = 5 * time.Second        // When the other machine is lost.
	contact       = 3 * time.Second        // contact_ms
	probers       = 8                      // Requesters that try new channels at the end.
	probeInterval = 500 * time.Millisecond // Between the tries of one of them.
)

// runHolder is the process of some requesters. Each line of its input is the address of a daemon, to which it opens a
// new channel and sends a request; the channel stays open. The line "close" closes all of them. It reports what each got.
func runHolder(name string) error {
	var g sync.WaitGroup
	var mu sync.Mutex
	var kept []*channel
	in := bufio.NewScanner(os.Stdin)
	for n := 0; in.Scan(); n++ {
		line := in.Text()
		if line == "close" {
			g.Wait()
			for _, c := range kept {
				_ = c.Close()
			}
			fmt.Printf("closed %d\n", len(kept))
			kept = nil
			continue
		}
		id := fmt.Sprintf("%s-%05d", name, n)
		g.Go(func() {
			c, err := open(line)
			o := outcome{err: err}
			if err == nil {
				o = c.get(safePath+"entry", id, 600*time.Millisecond)
			}
			mu.Lock()
			defer mu.Unlock()
			fmt.Printf("got %s %s\n", id, o)
			switch {
			case err != nil:
			case o.err != nil:
				_ = c.Close() // The requester gives up.
			default:
				kept = append(kept, c)
			}
		})
	}
	return in.Err()
}

// holder is a process that runs runHolder.
type holder struct {
	cmd *exec.Cmd
	in  io.WriteCloser
}

// startHolder starts a process of requesters, whose reports go to got.
func (b *bench) startHolder(name string, got func(line string)) (*holder, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	h := &holder{cmd: exec.Command(self, "hold", name)}
	if h.in, err = h.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := h.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := h.cmd.Start(); err != nil {
		return nil, err
	}
	b.group.Go(func() {
		for lines := bufio.NewScanner(out); lines.Scan(); {
			got(lines.Text())
		}
	})
	return h, nil
}

// runDescriptors checks RECOVER: a machine in touch that says it is ready takes no new channel for contact_ms, while seven
// requesters or more try. Two machines serve requesters that each use a channel of their own and leave it open, as long as
// the machine does. The disruption is the loss of one of the machines for good.
func runDescriptors(b *bench) (bool, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Max < leastFiles {
		return false, fmt.Errorf("%w: %d descriptors are permitted here", errCouldNotRun, limit.Max)
	}
	b.putManifest()
	if err := b.addWorkers(3, "app", func(w *worker) { w.work = 15 * time.Millisecond }); err != nil {
		return false, err
	}
	first, err := b.add("edge-milano-a-1", "milano-a")
	if err != nil {
		return false, err
	}
	second, err := b.add("edge-torino-b-1", "torino-b")
	if err != nil {
		return false, err
	}
	for _, n := range b.daemons {
		n.limitFiles = maxFiles
		if err := b.start(n); err != nil {
			return false, err
		}
	}
	for _, n := range b.daemons {
		if !n.awaitReady(10 * time.Second) {
			return false, fmt.Errorf("%w: %s is not ready", errCouldNotRun, n.name)
		}
	}
	stop := make(chan struct{})
	defer close(stop)
	for _, n := range b.daemons {
		b.group.Go(func() { b.probe(n, stop) })
	}
	return b.checkDescriptors(first, second)
}

func (b *bench) checkDescriptors(first, second *daemon) (bool, error) {
	var answered, failed atomic.Int64
	closed := make(chan bool, holders)
	got := func(line string) {
		b.rec.printf("%s", line)
		switch {
		case strings.HasPrefix(line, "closed"):
			closed <- true
		case strings.Contains(line, "status 200"):
			answered.Add(1)
		default:
			failed.Add(1)
		}
	}
	var all []*holder
	defer func() {
		for _, h := range all {
			_ = h.in.Close()
			_ = h.cmd.Wait()
		}
	}()
	for i := range holders {
		h, err := b.startHolder(fmt.Sprintf("h%d", i), got)
		if err != nil {
			return false, err
		}
		all = append(all, h)
	}
	begin := time.Now()
	lost := false
	for n := 0; time.Since(begin) < loadTime && failed.Load() < 5*requestRate; n++ {
		if b.trouble && !lost && time.Since(begin) >= lossAt {
			lost = true
			b.rec.printf("loss: %s is killed for good", second.name)
			second.signal(syscall.SIGKILL)
		}
		to := first
		if !lost && n%2 == 1 {
			to = second
		}
		if _, err := fmt.Fprintln(all[n%holders].in, to.front); err != nil {
			return false, err
		}
		time.Sleep(time.Until(begin.Add(time.Duration(n+1) * time.Second / requestRate)))
	}
	b.rec.printf("requests: %d answered with 200, %d not", answered.Load(), failed.Load())
	for _, h := range all {
		if _, err := fmt.Fprintln(h.in, "close"); err != nil {
			return false, err
		}
	}
	for range holders {
		<-closed
	}
	b.rec.printf("all requesters have closed their channels")
	time.Sleep(contact)
	return b.probeNewChannels(first), nil
}

// probeNewChannels lets requesters try new channels for contact_ms. It reports whether none of them got an answer while the
// machine said that it was ready.
func (b *bench) probeNewChannels(n *daemon) bool {
	var g sync.WaitGroup
	var taken, notReady atomic.Int64
	end := time.Now().Add(contact + 500*time.Millisecond)
	for p := range probers {
		g.Go(func() {
			for time.Now().Before(end) {
				id := newID(fmt.Sprintf("p%d-", p))
				c, err := open(n.front)
				o := outcome{err: err}
				if err == nil {
					o = c.get(safePath+"entry", id, 600*time.Millisecond)
					_ = c.Close()
				}
				if o.err == nil {
					taken.Add(1)
				}
				b.rec.printf("new channel %s: %s", id, o)
				time.Sleep(probeInterval)
			}
		})
	}
	for time.Now().Before(end) {
		ready := n.isReady()
		b.rec.printf("%s ready: %t", n.name, ready)
		if !ready {
			notReady.Add(1)
		}
		time.Sleep(probeInterval)
	}
	g.Wait()
	b.rec.printf("%d requesters tried new channels for %v: %d answers; ready was denied %d times", probers, contact, taken.Load(), notReady.Load())
	return taken.Load() == 0 && notReady.Load() == 0
}
