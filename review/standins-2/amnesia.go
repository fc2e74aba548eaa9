package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Figures of runAmnesia.
const (
	badPart      = "bad0bad0"
	backAfter    = 2 * time.Second        // A worker that has crashed is back.
	batchSize    = 8                      // Requests with the bad part that come shortly after each other.
	batchPause   = 300 * time.Millisecond // Between two requests of a batch.
	batches      = 3
	betweenTimes = 14 * time.Second // Between the starts of two batches.
	restartDelay = time.Second      // From the end of the processes to their next start.
	soundRate    = 4                // Sound generations a second, by the same caller and with the same first part.
	allowedLate  = 3                // Requests with the part that may reach workers after the fifth crash and contact_ms.
)

// crashes counts the crashes by the bad part and the requests with it that come too late.
type crashes struct {
	mu      sync.Mutex
	fifthAt time.Time
	count   int
	late    int
	backAt  time.Time // When the daemons were last started; they are in touch from contact_ms later.
}

// arrive records a request with the bad part at a worker, and reports whether it came too late.
func (c *crashes) arrive(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	late := !c.fifthAt.IsZero() && now.Sub(c.fifthAt) > contact && now.Sub(c.backAt) > contact
	if late {
		c.late++
	}
	if c.count++; c.count == 5 {
		c.fifthAt = now
	}
	return late
}

// runAmnesia checks BUDGET: more than three requests with a part that crashes workers reach workers, sent by machines in
// touch later than contact_ms after the fifth crash. The requests come in batches. The disruption is that all machines are
// killed at once, between two batches, and start again.
func runAmnesia(b *bench) (bool, error) {
	b.putManifest()
	c := &crashes{backAt: time.Now()}
	err := b.addWorkers(8, "models", func(w *worker) {
		w.stream, w.slots, w.work = true, 24, 15*time.Millisecond
		w.handle = func(w *worker, r *http.Request) bool { return b.handlePart(c, w, r) }
	})
	if err != nil {
		return false, err
	}
	for _, zone := range []string{"milano-a", "torino-b", "verona-c"} {
		n, err := b.add("edge-"+zone+"-1", zone)
		if err != nil {
			return false, err
		}
		if err := b.start(n); err != nil {
			return false, err
		}
	}
	for _, n := range b.daemons {
		if !n.awaitReady(10 * time.Second) {
			return false, fmt.Errorf("%w: %s is not ready", errCouldNotRun, n.name)
		}
	}
	return b.playBatches(c)
}

// handlePart crashes the worker if the prompt has the bad part.
func (b *bench) handlePart(c *crashes, w *worker, r *http.Request) bool {
	time.Sleep(60 * time.Millisecond) // The prompt is read first.
	if !strings.Contains(r.Header.Get(names["prefix"]), badPart) {
		return true
	}
	late := c.arrive(time.Now())
	b.rec.printf("crash: %s crashes %s; late: %t", r.Header.Get(names["id"]), w.id, late)
	w.crash()
	b.group.Go(func() {
		time.Sleep(backAfter)
		if err := w.start(); err != nil {
			b.rec.printf("%s does not start again: %v", w.id, err)
		}
	})
	return false
}

func (b *bench) playBatches(c *crashes) (bool, error) {
	var g sync.WaitGroup
	var done, served, sound atomic.Int64
	g.Go(func() {
		for n := 0; done.Load() == 0; n++ {
			to := b.daemons[n%len(b.daemons)].front
			g.Go(func() {
				id := newID("sound-")
				sound.Add(1)
				if o := b.generate(to, id, fmt.Sprintf("5c1e07a2:800,91bd3f06:410,%08x:250", n)); o.err == nil && o.status == http.StatusOK {
					served.Add(1)
				}
			})
			time.Sleep(time.Second / soundRate)
		}
	})
	time.Sleep(4 * time.Second)
	var err error
	for batch := range batches {
		begin := time.Now()
		b.rec.printf("batch %d", batch+1)
		for n := range batchSize {
			to := b.daemons[n%len(b.daemons)].front
			g.Go(func() {
				id := newID("bad-")
				b.rec.printf("sent %s: %s", id, b.generate(to, id, fmt.Sprintf("5c1e07a2:800,%s:410,b%07x:250", badPart, batch*batchSize+n)))
			})
			time.Sleep(batchPause)
		}
		if batch == batches-2 && b.trouble {
			time.Sleep(time.Second)
			err = b.killAll(c)
		}
		if batch < batches-1 {
			time.Sleep(betweenTimes - time.Since(begin))
		}
	}
	time.Sleep(2 * time.Second)
	done.Store(1)
	g.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	b.rec.printf("%d requests with the bad part reached workers; %d of them late, of which %d are allowed; %d of %d sound generations served",
		c.count, c.late, allowedLate, served.Load(), sound.Load())
	if err == nil && c.count < 5 {
		err = fmt.Errorf("%w: only %d crashes", errCouldNotRun, c.count)
	}
	return c.late > allowedLate, err
}

// generate sends a generation on a new channel.
func (b *bench) generate(to, id, prefix string) outcome {
	ch, err := open(to)
	if err != nil {
		return outcome{err: err}
	}
	defer ch.Close()
	return ch.post(draftPath+"notice", id, "1460,80", prefix, 6*time.Second)
}

// killAll kills all daemons at once and starts them again.
func (b *bench) killAll(c *crashes) error {
	b.rec.printf("loss: all machines are killed")
	for _, n := range b.daemons {
		n.signal(syscall.SIGKILL)
	}
	time.Sleep(restartDelay)
	for _, n := range b.daemons {
		if err := b.start(n); err != nil {
			return err
		}
	}
	for _, n := range b.daemons {
		if !n.awaitReady(10 * time.Second) {
			return fmt.Errorf("%w: %s is not ready again", errCouldNotRun, n.name)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.backAt = time.Now()
	b.rec.printf("all machines are ready again")
	return nil
}
