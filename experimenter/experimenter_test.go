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
	d, err := experimenter.DeploymentNamed("tiny")
	assert.NilError(t, err)
	l, err := experimenter.LoadNamed(load)
	assert.NilError(t, err)
	return experimenter.Options{
		Deployment: d, Load: l, Fault: fault, Seed: 1, Concurrency: 10,
		Capacity: d.Capacity(), WarmUp: 20 * time.Second, Duration: 240 * time.Second,
	}
}

func named(t testing.TB, names ...string) []experimenter.Policy {
	t.Helper()
	var ps []experimenter.Policy
	for _, n := range names {
		p, err := experimenter.PolicyNamed(n)
		assert.NilError(t, err)
		ps = append(ps, p)
	}
	return ps
}

// TestGolden covers the baselines only: the figures of the admission owner
// change with each of its improvements.
func TestGolden(t *testing.T) {
	table := experimenter.Measure(tinyOptions(t, "burst3", experimenter.FaultNone), named(t, "fixed", "free", "alone"), 2, 2)
	var text, json bytes.Buffer
	assert.NilError(t, table.WriteText(&text))
	golden.Assert(t, text.String(), "tiny.golden")
	assert.NilError(t, table.WriteJSON(&json))
	golden.Assert(t, json.String(), "tiny.json.golden")
}

func TestSameSeedSameFigures(t *testing.T) {
	for i, p := range experimenter.Policies {
		opt := tinyOptions(t, "burst3", experimenter.Faults[i%len(experimenter.Faults)])
		opt.Deployment.Daemons = 4
		assert.DeepEqual(t, experimenter.Run(opt, p), experimenter.Run(opt, p))
	}
}

// TestAllRequestsEnd checks for every policy and fault that each request is
// answered, refused, given up or cut off, and is counted once.
func TestAllRequestsEnd(t *testing.T) {
	for _, fault := range experimenter.Faults {
		for _, p := range experimenter.Policies {
			t.Run(fmt.Sprintf("%s/%s", fault, p.Name), func(t *testing.T) {
				opt := tinyOptions(t, "burst3", fault)
				opt.Deployment.Daemons = 4
				f := experimenter.Run(opt, p)
				window := (opt.Duration - opt.WarmUp).Seconds() * float64(opt.Deployment.Engines)
				requests := f.InTime * window / f.InTimePart
				arrived := requests + f.Returned
				ended := f.InTime*window/arrived + f.Refused + f.Late + f.Failed
				assert.Assert(t, ended > 0.999 && ended < 1.001, "%.4f of the requests ended", ended)
				if fault == experimenter.FaultNone {
					assert.Equal(t, f.Failed, 0.0)
				}
			})
		}
	}
}

func TestUnknownNames(t *testing.T) {
	_, err := experimenter.DeploymentNamed("x")
	assert.ErrorIs(t, err, experimenter.ErrUnknown)
	_, err = experimenter.LoadNamed("x")
	assert.ErrorIs(t, err, experimenter.ErrUnknown)
	_, err = experimenter.FaultNamed("x")
	assert.ErrorIs(t, err, experimenter.ErrUnknown)
	_, err = experimenter.PolicyNamed("x")
	assert.ErrorIs(t, err, experimenter.ErrUnknown)
}

func ExampleDeployment_Capacity() {
	d, err := experimenter.DeploymentNamed("registro")
	if err != nil {
		panic(err)
	}
	fmt.Printf("%.0f requests/s\n", d.Capacity())
	// Output: 52 requests/s
}
