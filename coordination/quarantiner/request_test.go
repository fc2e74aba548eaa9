package quarantiner

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonspar.example/state/registrar"
)

// requestSettled is after the time at which a request that was blamed at at(0) is blocked.
const requestSettled = 400 * time.Millisecond

func request(path string) Subject {
	return RequestOf(Request{Service: "s", Method: "POST", Path: path, Customer: "c", Body: []byte("body")})
}

func requests(subjects ...Subject) []Suspect {
	list := make([]Suspect, len(subjects))
	for i, s := range subjects {
		list[i] = Suspect{Subject: s, Depth: RequestDepth}
	}
	return list
}

// Guards against requests that count as the same although they differ, and the other way round.
func TestRequestsAreTheSameIfNothingDiffers(t *testing.T) {
	base := Request{Service: "s", Method: "GET", Path: "/a?b=c", Customer: "c", Prompt: []string{"m", "12"}, Body: []byte("body")}
	same := base
	same.Body = slices.Clone(base.Body)
	assert.Equal(t, RequestOf(base), RequestOf(same))
	assert.Check(t, RequestOf(base).IsRequest())
	assert.Check(t, !PartOf("s", "id").IsRequest())
	seen := map[Subject]bool{RequestOf(base): true}
	for _, change := range []func(r *Request){
		func(r *Request) { r.Service = "o" },
		func(r *Request) { r.Method = "PUT" },
		func(r *Request) { r.Path = "/a?b=d" },
		func(r *Request) { r.Customer = "d" },
		func(r *Request) { r.Body = []byte("bodz") },
		func(r *Request) { r.Prompt = []string{"m", "13"} },
		func(r *Request) { r.Prompt = []string{"m1", "2"} },
		func(r *Request) { r.Prompt, r.Body = []string{"m", "12", "body"}, nil },
	} {
		r := base
		change(&r)
		assert.Check(t, !seen[RequestOf(r)], "%+v", r)
		seen[RequestOf(r)] = true
	}
}

// Guards against the blame of requests that ran beside the one that crashes endpoints, such as
// one that is sent all the time and runs everywhere at every crash.
func TestRequestBesideABadOneIsNotBlamed(t *testing.T) {
	bad, hot := request("/bad"), request("/hot")
	for _, service := range []bool{true, false} { // Progress at the daemon that sees the crashes, or at another.
		q, other := New(Config{Self: "a"}), New(Config{Self: "b"})
		knows := other
		if service {
			knows = q
		}
		for i := range 3 {
			now := at(time.Duration(i) * 100 * time.Millisecond)
			knows.RecordProgress([]Subject{hot}, now)
			q.RecordCrash(engine(i), requests(bad, hot, request(fmt.Sprint("/once", i))), now)
			deliver(q, now, other)
		}
		now := at(200 * time.Millisecond).Add(requestSettled)
		deliver(other, now, q)
		assert.DeepEqual(t, blamed(q, now), []Subject{bad})
		assert.DeepEqual(t, blamed(other, now), []Subject{bad})
	}
}

// Guards against a bad request that stays without blame while the daemon that knows that another one
// with the same crashes is sound waits for others to say so.
func TestProgressOfOneOfTwoEqualRequestsIsToldAtOnce(t *testing.T) {
	bad, hot := request("/bad"), request("/hot")
	q, other := New(Config{Self: "a"}), New(Config{Self: "b"})
	for i := range 3 {
		q.RecordCrash(engine(i), requests(bad, hot), at(time.Duration(i)*time.Second))
	}
	now := at(4 * time.Second)
	deliver(q, now, other)
	assert.DeepEqual(t, blamed(other, now), []Subject(nil))
	other.RecordProgress([]Subject{hot}, now)
	deliver(other, now, q)
	assert.DeepEqual(t, blamed(q, now), []Subject{bad})
	assert.DeepEqual(t, blamed(other, now), []Subject{bad})
}

// Guards against the blame of a request of which copies ran at endpoints that were killed at the
// same moment.
func TestEndpointsKilledAtOnceBlameNoRequest(t *testing.T) {
	q := New(Config{})
	for i := range 6 {
		q.RecordCrash(engine(i), requests(request("/copy")), at(time.Duration(i)*3*time.Millisecond))
	}
	assert.DeepEqual(t, blamed(q, at(time.Second)), []Subject(nil))
}

// Guards against a prompt part that is blamed for the crashes of one request that comes again,
// and against requests that stay blamed when a part explains more.
func TestRequestIsBlamedBeforeThePartsOfItsPrompt(t *testing.T) {
	part := PartOf("s", "part")
	suspects := func(r Subject) []Suspect {
		return []Suspect{{Subject: part}, {Subject: r, Depth: RequestDepth}}
	}
	q := New(Config{})
	for i := range 3 {
		q.RecordCrash(engine(i), suspects(request("/same")), at(time.Duration(i)*time.Second))
	}
	assert.DeepEqual(t, blamed(q, at(10*time.Second)), []Subject{request("/same")})
	for i := 3; i < 6; i++ {
		q.RecordCrash(engine(i), suspects(request(fmt.Sprint("/other", i))), at(time.Duration(i)*time.Second))
	}
	assert.DeepEqual(t, blamed(q, at(10*time.Second)), []Subject{part})
}

// callModel is a plain service of a few endpoints before many daemons, on virtual time. Daemons
// hear of each other's evidence after newsTime.
type callModel struct {
	now       time.Time
	rand      *rand.Rand
	daemons   []*Quarantine
	endpoints []*callEndpoint
	news      []callNews
	bad       Subject
	restarts  int

	crashes, badSends, lateSends, sound, blamedSound int
	third                                            time.Time // Time of the third crash.
}

type callEndpoint struct {
	id        registrar.Identity
	downUntil time.Time
	runs      []callRun
}

type callRun struct {
	daemon  int
	subject Subject
	ends    time.Time
	again   bool // Is not sent to another endpoint if this one ends.
}

type callNews struct {
	from int
	e    Evidence
	at   time.Time
}

const (
	newsTime     = 25 * time.Millisecond
	callTime     = 30 * time.Millisecond
	callCrash    = 50 * time.Millisecond // From the arrival of the bad request to the crash.
	callDowntime = 4 * time.Second
	modelTick    = 5 * time.Millisecond
)

func newCallModel(daemons, endpoints int, seed uint64) *callModel {
	m := &callModel{now: start, rand: rand.New(rand.NewPCG(seed, 3)), bad: request("/bad")}
	for i := range daemons {
		m.daemons = append(m.daemons, New(Config{Self: fmt.Sprint("d", i)}))
	}
	for range endpoints {
		m.endpoints = append(m.endpoints, &callEndpoint{})
	}
	for _, e := range m.endpoints {
		m.restart(e)
	}
	return m
}

func (m *callModel) restart(e *callEndpoint) {
	m.restarts++
	e.id, e.runs = registrar.Identity{Name: fmt.Sprint("w", m.restarts), Started: int64(m.restarts)}, nil
}

// send sends a request from a daemon to an endpoint that runs.
func (m *callModel) send(daemon int, s Subject, again bool) {
	if _, blocked := m.daemons[daemon].Check([]Subject{s}, m.now); blocked {
		if s != m.bad {
			m.blamedSound++
		}
		return
	}
	var up []*callEndpoint
	for _, e := range m.endpoints {
		if !m.now.Before(e.downUntil) {
			up = append(up, e)
		}
	}
	if len(up) == 0 {
		return
	}
	e := up[m.rand.IntN(len(up))]
	took := callTime
	if s == m.bad {
		took = callCrash
		m.badSends++
		if !m.third.IsZero() && m.now.Sub(m.third) > contactTime {
			m.lateSends++
		}
	}
	e.runs = append(e.runs, callRun{daemon: daemon, subject: s, ends: m.now.Add(took), again: again})
}

// end ends an endpoint and what runs on it.
func (m *callModel) end(e *callEndpoint) {
	for _, r := range e.runs {
		m.daemons[r.daemon].RecordCrash(e.id, requests(r.subject), m.now)
	}
	lost := e.runs
	e.downUntil = m.now.Add(callDowntime)
	m.restart(e)
	for _, r := range lost {
		if !r.again && m.daemons[r.daemon].Crashes(r.subject, m.now) < 2 {
			m.send(r.daemon, r.subject, true)
		}
	}
}

// step lets a tick pass, in which a request of each kind arrives with a probability.
func (m *callModel) step(badRate, soundRate, killRate float64) {
	m.now = m.now.Add(modelTick)
	happens := func(rate float64) bool { return m.rand.Float64() < rate*modelTick.Seconds() }
	if happens(badRate) {
		m.send(m.rand.IntN(len(m.daemons)), m.bad, false)
	}
	for _, s := range []Subject{request("/hot1"), request("/hot2"), request(fmt.Sprint("/once", m.rand.Uint64()))} {
		if happens(soundRate) {
			m.sound++
			m.send(m.rand.IntN(len(m.daemons)), s, false)
		}
	}
	for _, e := range m.endpoints {
		if m.now.Before(e.downUntil) {
			continue
		}
		crashed := happens(killRate)
		e.runs = slices.DeleteFunc(e.runs, func(r callRun) bool {
			if m.now.Before(r.ends) {
				return false
			}
			if r.subject == m.bad {
				crashed = true
				if m.crashes++; m.crashes == 3 {
					m.third = m.now
				}
				return false
			}
			m.daemons[r.daemon].RecordProgress([]Subject{r.subject}, m.now)
			return true
		})
		if crashed {
			m.end(e)
		}
	}
	for i, q := range m.daemons {
		if own, _ := q.TakeUpdates(m.now); !own.Empty() {
			m.news = append(m.news, callNews{from: i, e: own, at: m.now.Add(newsTime)})
		}
	}
	m.news = slices.DeleteFunc(m.news, func(n callNews) bool {
		if m.now.Before(n.at) {
			return false
		}
		for i, q := range m.daemons {
			if i != n.from {
				q.Apply(n.e, false, m.now)
			}
		}
		return true
	})
}

// callScenario is a run of the model.
type callScenario struct {
	daemons, endpoints           int
	badRate, soundRate, killRate float64 // Requests a second of each kind, and ends of each endpoint.
	seeds                        uint64
}

// check runs the scenario and checks the rule, and that no sound request is refused.
func (c callScenario) check(t *testing.T) {
	var crashes, late, most, sound, blamedSound int
	for seed := range c.seeds {
		m := newCallModel(c.daemons, c.endpoints, seed)
		for m.now.Sub(start) < 20*time.Second {
			m.step(c.badRate, c.soundRate, c.killRate)
		}
		crashes, most, sound, blamedSound = crashes+m.crashes, max(most, m.crashes), sound+m.sound, blamedSound+m.blamedSound
		late = max(late, m.lateSends)
	}
	t.Logf("%+v: %.1f crashes, most %d, late sends at most %d, %d of %d sound requests refused", c, float64(crashes)/float64(c.seeds), most, late, blamedSound, sound)
	assert.Check(t, late <= allowedSends, "%+v", c)
	assert.Check(t, blamedSound == 0, "%+v: %d of %d sound requests refused", c, blamedSound, sound)
}

// Guards against a request that crashes endpoint after endpoint although all daemons together
// have seen three crashes, and against sound requests that are blamed beside it or for endpoints
// that are killed.
func TestModelOfCallsThatCrashEndpoints(t *testing.T) {
	for _, c := range []callScenario{
		{4, 3, 5, 20, 0, 40},
		{4, 3, 5, 20, 0.1, 40},
		{4, 3, 0, 20, 0.5, 40},
		{9, 3, 10, 20, 0, 40},
		{60, 100, 20, 200, 0.01, 2},
		{380, 400, 50, 200, 0, 1},
	} {
		c.check(t)
	}
}

// Guards against copies of a bad request that are sent at once, before any of them has crashed an
// endpoint: all endpoints end at the same moment, and again when they are back.
func TestModelOfManyCopiesOfACall(t *testing.T) {
	callScenario{4, 3, 50, 20, 0, 40}.check(t)
}
