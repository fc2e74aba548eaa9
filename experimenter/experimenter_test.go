package experimenter_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"monsoonspar.example/experimenter"
)

func tinyOptions(t testing.TB, load string, fault experimenter.Fault) experimenter.Options {
	t.Helper()
	d, err := experimenter.DeploymentByName("tiny")
	assert.NilError(t, err)
	l, err := experimenter.LoadByName(load)
	assert.NilError(t, err)
	return experimenter.Options{
		Deployment: d, Load: l, Fault: fault, Seed: 1, Concurrency: 10,
		Capacity: d.Capacity(), WarmUp: 20 * time.Second, Duration: 240 * time.Second,
	}
}

func policiesByName(t testing.TB, names ...string) []experimenter.Policy {
	t.Helper()
	var ps []experimenter.Policy
	for _, n := range names {
		p, err := experimenter.PolicyByName(n)
		assert.NilError(t, err)
		ps = append(ps, p)
	}
	return ps
}

// TestBaselineResults covers the baselines only, since the results of the
// admission owner change whenever its scheduling does.
func TestBaselineResults(t *testing.T) {
	table := experimenter.Measure(tinyOptions(t, "burst3", experimenter.FaultNone), policiesByName(t, "fixed", "free", "alone"), 2, 2)
	var text, json bytes.Buffer
	assert.NilError(t, table.WriteText(&text))
	golden.Assert(t, text.String(), "tiny.golden")
	assert.NilError(t, table.WriteJSON(&json))
	golden.Assert(t, json.String(), "tiny.json.golden")
}

func TestSameSeedGivesSameResults(t *testing.T) {
	for i, p := range experimenter.Policies {
		opt := tinyOptions(t, "burst3", experimenter.Faults[i%len(experimenter.Faults)])
		opt.Deployment.Daemons = 4
		assert.DeepEqual(t, experimenter.Run(opt, p), experimenter.Run(opt, p))
	}
}

// TestEveryRequestEndsOnce checks for every policy and fault that each request is
// counted exactly once as answered in time, refused, expired or failed.
func TestEveryRequestEndsOnce(t *testing.T) {
	for _, fault := range experimenter.Faults {
		for _, p := range experimenter.Policies {
			t.Run(fmt.Sprintf("%s/%s", fault, p.Name), func(t *testing.T) {
				opt := tinyOptions(t, "burst3", fault)
				opt.Deployment.Daemons = 4
				r := experimenter.Run(opt, p)
				window := (opt.Duration - opt.WarmUp).Seconds() * float64(opt.Deployment.Engines)
				requests := r.InTimePerEngineSecond * window / r.InTimeFraction
				arrived := requests + r.Retried
				ended := r.InTimePerEngineSecond*window/arrived + r.RefusedFraction + r.LateFraction + r.FailedFraction
				assert.Assert(t, ended > 0.999 && ended < 1.001, "%.4f of the requests ended", ended)
				if fault == experimenter.FaultNone {
					assert.Equal(t, r.FailedFraction, 0.0)
				}
			})
		}
	}
}

// TestCrashingPart checks that engines crash and start again while some prompts have a part
// that crashes them, and only then.
func TestCrashingPart(t *testing.T) {
	for _, p := range policiesByName(t, "free", "ours") {
		opt := tinyOptions(t, "1.1", experimenter.FaultCrashingPart)
		opt.Deployment.Engines = 4
		r := experimenter.Run(opt, p)
		t.Logf("%s: %.0f crashes, %.0f late sends, %.0f sound requests refused, in time %.2f", p.Name, r.Crashes, r.LateSends, r.SoundRefused, r.InTimeFraction)
		assert.Assert(t, r.Crashes > float64(opt.Deployment.Engines), "%.0f crashes", r.Crashes)
		assert.Assert(t, r.LateSends > 0)
		assert.Assert(t, r.InTimeFraction > 0.5)
		opt.Fault = experimenter.FaultEngineLost
		assert.Equal(t, experimenter.Run(opt, p).Crashes, 0.0)
	}
}

func TestUnknownNames(t *testing.T) {
	_, err := experimenter.DeploymentByName("x")
	assert.ErrorIs(t, err, experimenter.ErrUnknownName)
	_, err = experimenter.LoadByName("x")
	assert.ErrorIs(t, err, experimenter.ErrUnknownName)
	_, err = experimenter.FaultByName("x")
	assert.ErrorIs(t, err, experimenter.ErrUnknownName)
	_, err = experimenter.PolicyByName("x")
	assert.ErrorIs(t, err, experimenter.ErrUnknownName)
}

func ExampleDeployment_Capacity() {
	d, err := experimenter.DeploymentByName("registro")
	if err != nil {
		panic(err)
	}
	fmt.Printf("%.0f requests/s\n", d.Capacity())
	// Output: 52 requests/s
}
