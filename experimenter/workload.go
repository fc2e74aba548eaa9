package experimenter

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// request is one request of a caller, with the true length of its answer.
type request struct {
	id       string
	kind     *Kind
	customer int // Index into Deployment.Customers.
	at       time.Duration
	slack    time.Duration // From arrival to deadline.
	prompt   int           // Tokens, the prefix included.
	output   int
	prefix   uint64
	returned bool // The caller was refused before and has come back.
}

func (l Lengths) draw(rnd *rand.Rand) int {
	n := int(math.Round(l.Median * math.Exp(l.Sigma*rnd.NormFloat64())))
	return min(max(n, l.Min), l.Max)
}

// Load is the arrival rate as parts of the capacity.
type Load struct {
	Name       string
	Base       float64
	BurstAt    time.Duration
	BurstFor   time.Duration
	BurstTimes float64 // The rate in the burst, in multiples of Base.
}

// Loads are those that can be measured, by name.
var Loads = []Load{
	{Name: "0.7", Base: 0.7},
	{Name: "0.9", Base: 0.9},
	{Name: "1.1", Base: 1.1},
	{Name: "burst3", Base: 0.7, BurstAt: 180 * time.Second, BurstFor: 40 * time.Second, BurstTimes: 3},
}

func (l Load) rateAt(t time.Duration) float64 {
	if l.BurstTimes > 0 && t >= l.BurstAt && t < l.BurstAt+l.BurstFor {
		return l.Base * l.BurstTimes
	}
	return l.Base
}

// capacitySamples is the number of requests drawn to find the capacity.
const capacitySamples = 20_000

// Capacity returns the arrival rate, in requests a second, at which the mean
// memory in use by running requests equals the memory of all engines, or at
// which a step takes the gap target, whichever is lower. The shared prefixes
// count once each, no prefix is computed anew, and a request that can't end by
// its deadline runs until then.
func (d Deployment) Capacity() float64 {
	rnd := rand.New(rand.NewPCG(1, 1))
	sample := make([]*request, capacitySamples)
	for i := range sample {
		sample[i] = d.drawRequest(rnd)
	}
	low, high := 0.0, 100.0 // Requests a second of one engine.
	for range 40 {
		rate := (low + high) / 2
		if d.sustains(rate, sample) {
			low = rate
		} else {
			high = rate
		}
	}
	return low * float64(d.Engines)
}

// sustains reports whether one engine can serve rate requests a second that are
// like those of the sample.
func (d Deployment) sustains(rate float64, sample []*request) bool {
	memory := float64(d.Engine.MemoryTokens)
	for _, k := range d.Kinds {
		memory -= float64(k.Prefixes * k.PrefixTokens)
	}
	step := d.Engine.Step.Base.Seconds()
	for range 20 { // Converges, or grows past the target.
		var output, prefill, area float64
		for _, r := range sample {
			private := float64(r.prompt - r.kind.PrefixTokens)
			n := min(float64(r.output), r.slack.Seconds()/step)
			output += n
			prefill += private
			area += n*private + n*n/2
		}
		perSecond := rate / float64(len(sample))
		next := d.stepAt(perSecond*output, perSecond*prefill)
		if next <= 0 || next > d.GapTarget.Seconds() || perSecond*next*area > memory {
			return false
		}
		if math.Abs(next-step) < 1e-6 {
			break
		}
		step = next
	}
	return true
}

// stepAt returns the time of a step, in seconds, at which an engine produces and
// prefills the given tokens a second, and 0 if it can't.
func (d Deployment) stepAt(output, prefill float64) float64 {
	m := d.Engine.Step
	slope := output*m.PerSequence.Seconds() + prefill*m.PerPrefillToken.Seconds()
	if slope >= 1 {
		return 0
	}
	return m.Base.Seconds() / (1 - slope)
}

func (d Deployment) drawKind(rnd *rand.Rand) *Kind {
	x := rnd.Float64()
	for i := range d.Kinds {
		if x < d.Kinds[i].Share {
			return &d.Kinds[i]
		}
		x -= d.Kinds[i].Share
	}
	return &d.Kinds[len(d.Kinds)-1]
}

func (d Deployment) drawCustomer(rnd *rand.Rand) int {
	x := rnd.Float64()
	for i := range d.Customers {
		if x < d.Customers[i].Demand {
			return i
		}
		x -= d.Customers[i].Demand
	}
	return len(d.Customers) - 1
}

// generate returns the requests that arrive before end, in order. They are a
// Poisson process whose rate follows load.
func (d Deployment) generate(load Load, capacity float64, end time.Duration, rnd *rand.Rand) []*request {
	peak := load.Base * max(load.BurstTimes, 1)
	var rs []*request
	for t := 0.0; ; {
		t += rnd.ExpFloat64() / (capacity * peak)
		at := time.Duration(t * float64(time.Second))
		if at >= end {
			return rs
		}
		if rnd.Float64()*peak >= load.rateAt(at) {
			continue
		}
		r := d.drawRequest(rnd)
		r.id = fmt.Sprintf("r%06d", len(rs))
		r.at = at
		rs = append(rs, r)
	}
}

func (d Deployment) drawRequest(rnd *rand.Rand) *request {
	k := d.drawKind(rnd)
	slack := k.Slack + time.Duration(rnd.Float64()*float64(k.SlackSpread))
	r := &request{
		kind:     k,
		customer: d.drawCustomer(rnd),
		slack:    slack.Truncate(time.Microsecond),
		prompt:   k.PrefixTokens + k.Prompt.draw(rnd),
		output:   min(k.Output.draw(rnd), k.MaxTokens),
	}
	r.prefix = 1 + uint64(rnd.IntN(k.Prefixes))
	if k.Long {
		r.prefix += 1 << 20
	}
	return r
}
