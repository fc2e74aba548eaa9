package forecaster_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"monsoonspar.example/coordination/forecaster"
	"monsoonspar.example/state/estimator"

	"monsoonspar.example/state/seeder"
)

func TestMain(m *testing.M) { os.Exit(seeder.Main(m, 1000)) }

func ExampleForecast_Peak() {
	e := estimator.New()
	for range 500 {
		e.Record(estimator.Class{Model: "m"}, 100)
	}
	job := forecaster.Sequence{Prompt: 400, Length: estimator.Bounded{Dist: e.Distribution(estimator.Class{Model: "m"}), Limit: 4096}}
	m := forecaster.MomentsOf(job, 16)
	var f forecaster.Forecast
	for range 10 {
		f.Add(&m)
	}
	fmt.Println(f.Peak(nil, 0) > 10*450, f.Peak(nil, forecaster.NormalQuantile(0.99)) < 10*(400+4096)/4)
	// Output: true true
}

// drawLength draws an output length from the distribution that the estimator
// has learned.
func drawLength(r *rand.Rand) int { return 1 + int(200*math.Exp(0.9*r.NormFloat64())) }

// TestPeakCoversSimulatedPeaks draws the actual length of each sequence,
// simulates memory until all have ended, and compares the peak with the
// forecast.
func TestPeakCoversSimulatedPeaks(t *testing.T) {
	const sequences, trials = 100, 400
	r := rand.New(rand.NewPCG(5, 6))
	e := estimator.New()
	for range 4000 {
		e.Record(estimator.Class{Model: "m"}, drawLength(r))
	}
	length := estimator.Bounded{Dist: e.Distribution(estimator.Class{Model: "m"})}
	exceeded, ratio := 0, 0.0
	for range trials {
		var f forecaster.Forecast
		var held [20_000]int // Tokens held at each step.
		for range sequences {
			s := forecaster.Sequence{Prompt: 50 + r.IntN(400), Length: length}
			m := forecaster.MomentsOf(s, 1)
			f.Add(&m)
			for step := range min(drawLength(r), len(held)) {
				held[step] += s.Prompt + step + 1
			}
		}
		peak := 0
		for _, n := range held {
			peak = max(peak, n)
		}
		forecast := f.Peak(nil, forecaster.NormalQuantile(0.95))
		ratio += forecast / float64(peak) / trials
		if float64(peak) > forecast {
			exceeded++
		}
	}
	assert.Assert(t, exceeded <= trials/12, "forecast exceeded in %d of %d trials", exceeded, trials)
	assert.Assert(t, ratio < 1.25, "mean ratio of forecast to simulated peak is %.2f", ratio)
}

func TestAddAndRemoveCancelOut(t *testing.T) {
	e := estimator.New()
	length := estimator.Bounded{Dist: e.Distribution(estimator.Class{Model: "m"}), Limit: 2000}
	rapid.Check(t, func(t *rapid.T) {
		var f forecaster.Forecast
		base := forecaster.MomentsOf(forecaster.Sequence{Prompt: 100, Length: length}, 16)
		f.Add(&base)
		want := f.Peak(nil, 2)
		var added []forecaster.Moments
		for range rapid.IntRange(0, 50).Draw(t, "sequences") {
			s := forecaster.Sequence{
				Prompt:   rapid.IntRange(0, 8000).Draw(t, "prompt"),
				Produced: rapid.IntRange(0, 3000).Draw(t, "produced"),
				Length:   length,
			}
			m := forecaster.MomentsOf(s, 16)
			f.Add(&m)
			added = append(added, m)
			assert.Assert(t, f.Peak(nil, 2) >= float64(s.Prompt+s.Produced))
		}
		for i := range added {
			f.Remove(&added[i])
		}
		assert.Assert(t, math.Abs(f.Peak(nil, 2)-want) < 1)
	})
}

func TestStepsUntilFitDecreasesWithMemory(t *testing.T) {
	e := estimator.New()
	length := estimator.Bounded{Dist: e.Distribution(estimator.Class{Model: "m"}), Limit: 2000}
	var f forecaster.Forecast
	m := forecaster.MomentsOf(forecaster.Sequence{Prompt: 1000, Length: length}, 16)
	for range 20 {
		f.Add(&m)
	}
	assert.Equal(t, f.StepsUntilFit(&m, 1, 1e9), 0.0)
	last := math.Inf(1)
	for memory := 5000.0; memory < 40_000; memory += 1000 {
		steps := f.StepsUntilFit(&m, 1, memory)
		assert.Assert(t, steps <= last)
		last = steps
	}
}

func BenchmarkForecast170(b *testing.B) {
	e := estimator.New()
	length := estimator.Bounded{Dist: e.Distribution(estimator.Class{Model: "m"}), Limit: 4000}
	b.ReportAllocs()
	for range b.N {
		var f forecaster.Forecast
		for i := range 170 {
			m := forecaster.MomentsOf(forecaster.Sequence{Prompt: 300, Produced: 10 * i, Length: length}, 16)
			f.Add(&m)
		}
		f.Peak(nil, 2)
	}
}
