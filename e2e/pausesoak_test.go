package e2e_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"
)

// Size of a soak with pauses.
const (
	pauseSoakSeconds = 8 // PAUSE_SOAK_SECONDS sets another duration.
	pauseSoakSeed    = 1 // PAUSE_SOAK_SEEDS sets others, as numbers with commas between them.
	pauseSoakClients = 12
	maxCopies        = 3 // Of one keyed request.
	maxSoakTimeout   = 2500 * time.Millisecond
)

// filing is a request that must run once, with the answers to its copies. A client that gave up has
// the answer "".
type filing struct {
	id         string
	keyed      bool
	generation bool
	streamed   bool
	outcomes   []string
	codes      []string // Of errors, by copy.
}

// pauseSoak sends requests that must run once to processes that stand still at random times.
type pauseSoak struct {
	*cluster
	ctx context.Context

	mu      sync.Mutex // Guards the rest and the processes of the daemons.
	filings []filing
}

// Guards against a request that runs although it was told not_run, and against one that must run
// once and runs twice: daemons, endpoints and the platform stand still between any two steps,
// endpoints run what waits in their sockets when they go on, and daemons are killed and started again.
func TestPauseSoak(t *testing.T) {
	seconds, err := strconv.Atoi(envOr("PAUSE_SOAK_SECONDS", strconv.Itoa(pauseSoakSeconds)))
	assert.NilError(t, err)
	for seed := range strings.SplitSeq(envOr("PAUSE_SOAK_SEEDS", strconv.Itoa(pauseSoakSeed)), ",") {
		n, err := strconv.ParseUint(seed, 10, 64)
		assert.NilError(t, err)
		t.Run("seed "+seed, func(t *testing.T) {
			c := startCluster(t, clusterConfig{daemons: 3, engines: 2, engineArgs: []string{"--step-time", "2ms"}})
			ctx, cancel := context.WithTimeout(t.Context(), time.Duration(seconds)*time.Second)
			defer cancel()
			s := &pauseSoak{cluster: c, ctx: ctx}
			var group conc.WaitGroup
			group.Go(func() { s.pause(rand.New(rand.NewPCG(n, 0))) })
			group.Go(func() { s.setServiceFaults(rand.New(rand.NewPCG(n, 1))) })
			for i := range pauseSoakClients {
				group.Go(func() { s.runClient(i, rand.New(rand.NewPCG(n, uint64(2+i)))) })
			}
			s.restartDaemons(rand.New(rand.NewPCG(n, 2+pauseSoakClients)))
			group.Wait()
			s.check()
		})
	}
}

// envOr returns a variable of the environment, or a default.
func envOr(name, value string) string {
	if v := os.Getenv(name); v != "" {
		return v
	}
	return value
}

// pause stops one process after another, for a while or for four fifths of a while.
func (s *pauseSoak) pause(rnd *rand.Rand) {
	for s.ctx.Err() == nil {
		targets := s.processes()
		if rnd.IntN(2) == 0 {
			targets = targets[len(targets)-len(s.daemons):]
		}
		p := targets[rnd.IntN(len(targets))]
		if rnd.IntN(2) == 0 {
			s.stopFor(p, time.Duration(20+rnd.IntN(1500))*time.Millisecond)
		} else {
			for range 5 + rnd.IntN(15) {
				s.stopFor(p, 80*time.Millisecond)
				time.Sleep(20 * time.Millisecond)
			}
		}
		time.Sleep(time.Duration(rnd.IntN(200)) * time.Millisecond)
	}
}

func (s *pauseSoak) stopFor(p *process, d time.Duration) {
	_ = p.cmd.Process.Signal(syscall.SIGSTOP) // A process that has exited fails the test at its end.
	time.Sleep(d)
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
}

// restartDaemons kills or stops one daemon after another and starts it again.
func (s *pauseSoak) restartDaemons(rnd *rand.Rand) {
	for s.ctx.Err() == nil {
		time.Sleep(time.Duration(rnd.IntN(2000)) * time.Millisecond)
		d := s.daemons[rnd.IntN(len(s.daemons))]
		if rnd.IntN(3) > 0 {
			d.kill()
		} else {
			d.signal(syscall.SIGTERM)
			assert.Equal(s.t, d.exitCode(), 0)
		}
		s.mu.Lock()
		s.startDaemon(d)
		s.mu.Unlock()
		s.awaitReady(d)
	}
}

// setServiceFaults changes the faults of the service.
func (s *pauseSoak) setServiceFaults(rnd *rand.Rand) {
	faults := []string{
		`{"lose_answers":3}`, `{"drop_calls":3}`, `{"refuse_calls":3}`, `{"late_refusals":true}`, `{"late_refusals":false}`,
		`{"slow_ms":300}`, `{"slow_ms":0}`, `{"close_idle":true}`,
	}
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for s.ctx.Err() == nil {
		res, err := client.Post("http://"+s.service.addr("listening")+"/faults", "application/json", strings.NewReader(faults[rnd.IntN(len(faults))]))
		if err == nil {
			_ = res.Body.Close()
		}
		time.Sleep(time.Duration(rnd.IntN(300)) * time.Millisecond)
	}
}

// runClient sends one request after another. It repeats those with a key that did not run.
func (s *pauseSoak) runClient(client int, rnd *rand.Rand) {
	for n := 0; s.ctx.Err() == nil; n++ {
		f := filing{id: fmt.Sprintf("c%dn%d", client, n), keyed: rnd.IntN(2) == 0, generation: rnd.IntN(4) == 0, streamed: rnd.IntN(2) == 0}
		copies := 1
		if f.keyed {
			copies = 1 + rnd.IntN(maxCopies)
		}
		for range copies {
			outcome, code := s.send(f, rnd)
			f.outcomes, f.codes = append(f.outcomes, outcome), append(f.codes, code)
			if outcome == "ran" && rnd.IntN(2) == 0 {
				break
			}
		}
		s.mu.Lock()
		s.filings = append(s.filings, f)
		s.mu.Unlock()
	}
}

// send sends one copy of a request to some daemon and returns its outcome and error code. The client
// may give up early.
func (s *pauseSoak) send(f filing, rnd *rand.Rand) (outcome, code string) {
	call := s.filingCall(rnd.IntN(len(s.daemons)), f.id, "")
	if f.generation {
		call = s.generationCall(rnd.IntN(len(s.daemons)), f.id, 5)
		call.Stream, call.NonIdempotent = f.streamed, true
	}
	if f.keyed {
		call.IdempotencyKey = "key-" + f.id
	}
	call.Timeout = 200*time.Millisecond + time.Duration(rnd.Int64N(int64(maxSoakTimeout)))
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(100+rnd.IntN(4000))*time.Millisecond)
	defer cancel()
	result := s.caller.Do(ctx, call)
	switch {
	case result.Outcome == "" && result.Complete:
		return "ran", "" // A stream has no header with its outcome.
	case result.Err != nil:
		return "", ""
	}
	return result.Outcome, result.Code
}

// check compares the runs with what the clients were told, once nothing can run any more.
func (s *pauseSoak) check() {
	t := s.t
	for _, p := range s.processes() {
		p.signal(syscall.SIGCONT)
	}
	time.Sleep(maxSoakTimeout + lateRunTime)
	_, body := get("http://" + s.service.addr("listening") + "/runs")
	var report struct {
		Runs map[string]int `json:"runs"`
	}
	assert.NilError(t, json.Unmarshal([]byte(body), &report))
	told := map[string]int{}
	generations, notRun := 0, 0
	for _, f := range s.filings {
		for _, o := range f.outcomes {
			told[o]++
		}
		assert.Check(t, !f.refusedAfterRun(), "%s was told that it did not run after it ran: %q %q", f.id, f.outcomes, f.codes)
		if f.generation {
			generations++
			if f.toldOnly("not_run") {
				notRun++
			}
			continue
		}
		runs := report.Runs[f.id]
		assert.Check(t, runs <= 1, "%s ran %d times: %q", f.id, runs, f.outcomes)
		assert.Check(t, runs == 0 || !f.toldOnly("not_run"), "%s ran: %q", f.id, f.outcomes)
	}
	started := s.counts(0).Started + s.counts(1).Started
	assert.Check(t, started <= generations-notRun, "%d of %d generations started, %d were refused", started, generations, notRun)
	assert.Check(t, told["not_run"] > 0 && told["ran"] > 0 && told["unknown"] > 0, "%v", told)
	t.Logf("%d requests, %d of them generations, of which %d started; told %v", len(s.filings), generations, started, told)
}

// toldOnly reports whether all copies were answered with the outcome o.
func (f filing) toldOnly(o string) bool {
	for _, told := range f.outcomes {
		if told != o {
			return false
		}
	}
	return true
}

// refusedAfterRun reports whether a copy was answered with not_run after an earlier one was answered
// with ran. A daemon that can't read the claim, or that takes no more requests, speaks of that copy only.
func (f filing) refusedAfterRun() bool {
	ran := false
	for i, o := range f.outcomes {
		switch f.codes[i] {
		case "platform_unavailable", "stopping", "not_ready":
			continue
		}
		if o == "not_run" && ran {
			return true
		}
		ran = ran || o == "ran"
	}
	return false
}

// processes returns the processes that are paused, the daemons last.
func (s *pauseSoak) processes() []*process {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := append([]*process{s.service, s.platform}, s.engines...)
	for _, d := range s.daemons {
		all = append(all, d.process)
	}
	return all
}
