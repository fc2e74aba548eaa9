package estimator_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"monsoonspar.example/state/estimator"
	"monsoonspar.example/state/heapmeter"
)

func ExampleBounded_Quantile() {
	e := estimator.New()
	checks := estimator.Class{Model: "m", Customer: "c", Kind: "check"}
	for range 400 {
		e.Record(checks, 40)
	}
	b := estimator.Bounded{Dist: e.Distribution(checks), Limit: 4096}
	fmt.Println(b.Quantile(0, 0.9) < 48)
	fmt.Println(b.Survival(0, 30) > 0.95, b.Survival(0, 100) < 0.05)
	// Output:
	// true
	// true true
}

// logNormal draws a log-normal length with the given median.
func logNormal(r *rand.Rand, median, sigma float64) int {
	return 1 + int(median*math.Exp(sigma*r.NormFloat64()))
}

// residual holds statistics of the remaining length of a generation.
type residual struct{ survival, mean, deviation float64 }

// sampleResidual estimates the statistics of the remaining length after produced
// tokens from random samples.
func sampleResidual(r *rand.Rand, produced, further int) residual {
	var n, survivors, sum, squares float64
	for range 300_000 {
		remaining := float64(logNormal(r, 600, 0.8) - produced)
		if remaining <= 0 {
			continue
		}
		n++
		sum += remaining
		squares += remaining * remaining
		if remaining > float64(further) {
			survivors++
		}
	}
	return residual{survivors / n, sum / n, math.Sqrt(squares/n - sum/n*sum/n)}
}

func TestResidualMatchesSamples(t *testing.T) {
	const estimators, further = 30, 500
	r := rand.New(rand.NewPCG(1, 2))
	c := estimator.Class{Model: "m", Customer: "c", Kind: "draft"}
	var trained []estimator.Bounded
	for range estimators {
		e := estimator.New()
		for range 3000 {
			e.Record(c, logNormal(r, 600, 0.8))
		}
		trained = append(trained, estimator.Bounded{Dist: e.Distribution(c)})
	}
	for _, produced := range []int{0, 300, 1000, 2000} {
		want := sampleResidual(r, produced, further)
		var got residual
		for _, b := range trained {
			mean, variance := b.Residual(produced)
			got.survival += b.Survival(produced, further) / estimators
			got.mean += mean / estimators
			got.deviation += math.Sqrt(variance) / estimators
		}
		assert.Assert(t, math.Abs(got.survival-want.survival) < 0.05, "produced %d: %+v, sampled %+v", produced, got, want)
		assert.Assert(t, math.Abs(got.mean/want.mean-1) < 0.15, "produced %d: %+v, sampled %+v", produced, got, want)
		assert.Assert(t, math.Abs(got.deviation/want.deviation-1) < 0.25, "produced %d: %+v, sampled %+v", produced, got, want)
	}
}

func TestLimitBoundsResidual(t *testing.T) {
	e := estimator.New()
	b := estimator.Bounded{Dist: e.Distribution(estimator.Class{Model: "m"}), Limit: 100}
	mean, _ := b.Residual(0)
	assert.Assert(t, mean <= 100)
	assert.Equal(t, b.Survival(40, 60), 0.0)
	assert.Equal(t, b.Quantile(90, 0.999999), 10)
}

func TestNewClassUsesCoarserClassAsPrior(t *testing.T) {
	e := estimator.New()
	for range 300 {
		e.Record(estimator.Class{Model: "m", Customer: "a", Kind: "check"}, 30)
		e.Record(estimator.Class{Model: "m", Customer: "a", Kind: "draft"}, 3000)
	}
	check := estimator.Bounded{Dist: e.Distribution(estimator.Class{Model: "m", Customer: "new", Kind: "check"})}
	draft := estimator.Bounded{Dist: e.Distribution(estimator.Class{Model: "m", Customer: "new", Kind: "draft"})}
	assert.Assert(t, check.Quantile(0, 0.9) < 40)
	assert.Assert(t, draft.Quantile(0, 0.5) > 2000)
}

func TestAdaptsToSuddenChangeOfOneCustomer(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 4))
	e := estimator.New()
	c := estimator.Class{Model: "m", Customer: "c", Kind: "letter"}
	other := estimator.Class{Model: "m", Customer: "d", Kind: "letter"}
	for range 1000 {
		e.Record(c, logNormal(r, 100, 0.3))
		e.Record(other, logNormal(r, 100, 0.3))
	}
	for range 30 {
		e.Record(c, logNormal(r, 2000, 0.3))
	}
	changed := estimator.Bounded{Dist: e.Distribution(c)}
	assert.Assert(t, changed.Quantile(0, 0.5) > 1000, "median %d", changed.Quantile(0, 0.5))
	unchanged := estimator.Bounded{Dist: e.Distribution(other)}
	assert.Assert(t, unchanged.Quantile(0, 0.5) < 150)
}

func TestCensoredSamplesCountAsLongerLengths(t *testing.T) {
	e := estimator.New()
	c := estimator.Class{Model: "m", Customer: "c", Kind: "k"}
	for range 100 {
		e.Record(c, 1000)
		e.RecordCensored(c, 20)
	}
	b := estimator.Bounded{Dist: e.Distribution(c)}
	assert.Assert(t, b.Survival(0, 500) > 0.9)
}

func TestNumberOfCustomerClassesIsBounded(t *testing.T) {
	e := estimator.New()
	for i := range 20_000 {
		e.Record(estimator.Class{Model: "m", Customer: fmt.Sprint(i), Kind: "k"}, 10)
	}
	assert.Equal(t, e.Samples(estimator.Class{Model: "m", Customer: "0", Kind: "k"}), 0.0)
	assert.Assert(t, e.Samples(estimator.Class{Model: "m", Customer: "19999", Kind: "k"}) > 0)
	assert.Assert(t, e.ClassCount() <= 4100)
}

func TestNumberOfKindClassesIsBounded(t *testing.T) {
	e := estimator.New()
	for i := range 20_000 {
		e.Record(estimator.Class{Model: "m", Customer: "c", Kind: fmt.Sprint(i)}, 10)
	}
	assert.Assert(t, e.ClassCount() <= 4100, "%d classes", e.ClassCount())
	assert.Assert(t, e.Samples(estimator.Class{Model: "m"}) > 0)
}

func BenchmarkSurvival(b *testing.B) {
	e := estimator.New()
	bounded := estimator.Bounded{Dist: e.Distribution(estimator.Class{Model: "m"}), Limit: 4096}
	b.ReportAllocs()
	for i := range b.N {
		bounded.Survival(i%2000, 128)
	}
}

func BenchmarkRecord(b *testing.B) {
	e := estimator.New()
	c := estimator.Class{Model: "m", Customer: "c", Kind: "k"}
	b.ReportAllocs()
	for i := range b.N {
		e.Record(c, i%2000)
		e.Distribution(c)
	}
}

// BenchmarkMemory measures the memory of an estimator with samples of customers
// with two kinds of job each, at lengths from 1 to 8,000 tokens.
func BenchmarkMemory(b *testing.B) {
	for _, customers := range []int{10, 130, 1300} {
		b.Run(fmt.Sprintf("customers=%d", customers), func(b *testing.B) {
			before := heapmeter.HeapBytes()
			e := estimator.New()
			for i := range 100 * customers {
				e.Record(estimator.Class{Model: "m", Customer: fmt.Sprint(i % customers), Kind: fmt.Sprint(i / customers % 2)}, 1+i*37%8000)
			}
			held := heapmeter.HeapBytes() - before
			for b.Loop() {
				e.Record(estimator.Class{Model: "m", Customer: "0", Kind: "0"}, 100)
			}
			b.ReportMetric(float64(held), "heap-B")
			runtime.KeepAlive(e)
		})
	}
}
