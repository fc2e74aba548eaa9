package experimenter

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// request is a request of a client, with its actual output length.
type request struct {
	id           string
	kind         *JobKind
	customer     int // Index into Deployment.Customers.
	arrivedAt    time.Duration
	slack        time.Duration // From arrival to deadline.
	promptTokens int           // Includes the prefix.
	outputTokens int
	prefix       uint64   // Identifies the shared prefix of the prompt.
	parts        []uint64 // Parts of the prompt after the prefix.
	retry        bool     // Sent again by a client that was refused.
}

func (l LengthDistribution) draw(rnd *rand.Rand) int {
	n := int(math.Round(l.Median * math.Exp(l.Sigma*rnd.NormFloat64())))
	return min(max(n, l.Min), l.Max)
}

// Load is an arrival rate, in multiples of the capacity.
type Load struct {
	Name          string
	Base          float64
	BurstStart    time.Duration
	BurstDuration time.Duration
	BurstFactor   float64 // Arrival rate during the burst, in multiples of Base.
}

// Loads lists all loads.
var Loads = []Load{
	{Name: "0.7", Base: 0.7},
	{Name: "0.9", Base: 0.9},
	{Name: "1.1", Base: 1.1},
	{Name: "burst3", Base: 0.7, BurstStart: 180 * time.Second, BurstDuration: 40 * time.Second, BurstFactor: 3},
}

func (l Load) rateAt(t time.Duration) float64 {
	if l.BurstFactor > 0 && t >= l.BurstStart && t < l.BurstStart+l.BurstDuration {
		return l.Base * l.BurstFactor
	}
	return l.Base
}

// capacitySamples is the number of requests drawn to compute the capacity.
const capacitySamples = 20_000

// Capacity returns the arrival rate, in requests per second, at which the mean
// memory in use by running requests equals the memory of all engines, or at which
// the duration of a step equals TokenGapTarget, whichever is lower. It assumes
// that every prefix is cached, once per engine, and that a request that cannot
// finish by its deadline runs until then.
func (d Deployment) Capacity() float64 {
	rnd := rand.New(rand.NewPCG(1, 1))
	sample := make([]*request, capacitySamples)
	for i := range sample {
		sample[i] = d.drawRequest(rnd)
	}
	low, high := 0.0, 100.0 // Requests per second of one engine.
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

// sustains reports whether one engine can serve requests distributed like sample
// at the given rate, in requests per second.
func (d Deployment) sustains(rate float64, sample []*request) bool {
	memory := float64(d.Engine.MemoryTokens)
	for _, k := range d.Kinds {
		memory -= float64(k.Prefixes * k.PrefixTokens)
	}
	step := d.Engine.Step.Base.Seconds()
	for range 20 { // Converges, or exceeds TokenGapTarget.
		var output, prefill, tokenSteps float64
		for _, r := range sample {
			privateTokens := float64(r.promptTokens - r.kind.PrefixTokens)
			outputTokens := min(float64(r.outputTokens), r.slack.Seconds()/step)
			output += outputTokens
			prefill += privateTokens
			tokenSteps += outputTokens*privateTokens + outputTokens*outputTokens/2
		}
		perSecond := rate / float64(len(sample))
		nextStep := d.stepTime(perSecond*output, perSecond*prefill)
		if nextStep <= 0 || nextStep > d.TokenGapTarget.Seconds() || perSecond*nextStep*tokenSteps > memory {
			return false
		}
		if math.Abs(nextStep-step) < 1e-6 {
			break
		}
		step = nextStep
	}
	return true
}

// stepTime returns the duration of a step, in seconds, of an engine that produces
// and prefills the given numbers of tokens per second, or 0 if no engine can.
func (d Deployment) stepTime(output, prefill float64) float64 {
	m := d.Engine.Step
	utilization := output*m.PerSequence.Seconds() + prefill*m.PerPrefillToken.Seconds()
	if utilization >= 1 {
		return 0
	}
	return m.Base.Seconds() / (1 - utilization)
}

func (d Deployment) drawKind(rnd *rand.Rand) *JobKind {
	x := rnd.Float64()
	for i := range d.Kinds {
		if x < d.Kinds[i].RequestShare {
			return &d.Kinds[i]
		}
		x -= d.Kinds[i].RequestShare
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

// generate returns the requests that arrive before end, in order of arrival. The
// arrivals are a Poisson process, thinned to the rate of load.
func (d Deployment) generate(load Load, capacity float64, end time.Duration, rnd *rand.Rand) []*request {
	peak := load.Base * max(load.BurstFactor, 1)
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
		r.arrivedAt = at
		rs = append(rs, r)
	}
}

func (d Deployment) drawRequest(rnd *rand.Rand) *request {
	k := d.drawKind(rnd)
	slack := k.MinSlack + time.Duration(rnd.Float64()*float64(k.SlackSpread))
	r := &request{
		kind:         k,
		customer:     d.drawCustomer(rnd),
		slack:        slack.Truncate(time.Microsecond),
		promptTokens: k.PrefixTokens + k.PromptTokens.draw(rnd),
		outputTokens: min(k.OutputTokens.draw(rnd), k.MaxTokens),
	}
	r.prefix = 1 + uint64(rnd.IntN(k.Prefixes))
	if k.Long {
		r.prefix += 1 << 20
	}
	return r
}
