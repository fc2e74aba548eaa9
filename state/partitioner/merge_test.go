package partitioner_test

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"monsoonspar.example/state/parser"
	"monsoonspar.example/state/partitioner"
)

func ExampleMerge() {
	split := func(weights ...int) partitioner.Snapshot {
		s, _ := partitioner.Split(customers(weights))
		return s
	}
	_, conflicts, _ := partitioner.Merge(split(1, 1), split(2, 1), split(1, 3))
	fmt.Println(conflicts)
	_, conflicts, _ = partitioner.Merge(split(1, 1), split(2, 1), split(3, 1))
	fmt.Println(conflicts)
	// Output:
	// []
	// [customer c0]
}

// customers returns one customer section per weight.
func customers(weights []int) []parser.Section {
	sections := make([]parser.Section, len(weights))
	for i, w := range weights {
		title := fmt.Sprint("customer c", i)
		sections[i] = parser.Section{Title: title, Text: fmt.Sprintf("[%s]\nkey_hashes = %064x\nweight = %d\n", title, i, w)}
	}
	return sections
}

// Merging must give the same conflicts and the same manifest in either order, and
// the merged manifest must contain the changes of both sides.
func TestMergeIsSymmetric(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var sides []partitioner.Snapshot
		for _, label := range []string{"base", "ours", "theirs"} {
			s, err := partitioner.Split(drawSections(t, label))
			assert.NilError(t, err)
			sides = append(sides, s)
		}
		base, ours, theirs := sides[0], sides[1], sides[2]
		one, conflicts, err := partitioner.Merge(base, ours, theirs)
		assert.NilError(t, err)
		other, otherConflicts, err := partitioner.Merge(base, theirs, ours)
		assert.NilError(t, err)
		assert.DeepEqual(t, conflicts, otherConflicts)
		assert.Equal(t, one.Root, other.Root)
		if len(conflicts) > 0 {
			return
		}
		for _, side := range []partitioner.Snapshot{ours, theirs} {
			_, newConflicts, err := partitioner.Merge(base, side, one)
			assert.NilError(t, err)
			assert.Equal(t, len(newConflicts), 0)
		}
	})
}

const (
	changesPerDay  = 1700
	allCustomers   = 1300
	attemptsPerRun = 600 // Attempts per measurement.
)

// attempt is a change that an operator bases on the manifest read at one time and
// submits at a later one.
type attempt struct {
	read, put time.Duration
	sections  []int
}

// drawAttempts draws attempts that arrive at random at the rate of the target
// deployment size, sorted by put time. Each changes one or a few sections; some
// sections are changed far more often than others.
func drawAttempts(rng *rand.Rand, prepare time.Duration) []attempt {
	zipf := rand.NewZipf(rng, 1.1, 10, allCustomers-1)
	attempts := make([]attempt, attemptsPerRun)
	at := time.Duration(0)
	for i := range attempts {
		at += time.Duration(rng.ExpFloat64() * float64(24*time.Hour/changesPerDay))
		preparation := time.Duration((0.5 + rng.Float64()) * float64(prepare))
		attempts[i] = attempt{read: at, put: at + preparation}
		for addSection := true; addSection; addSection = rng.IntN(3) == 0 {
			attempts[i].sections = append(attempts[i].sections, int(zipf.Uint64()))
		}
	}
	sort.Slice(attempts, func(i, j int) bool { return attempts[i].put < attempts[j].put })
	return attempts
}

// accepted is a manifest with the time at which it came into force.
type accepted struct {
	at       time.Duration
	snapshot partitioner.Snapshot
}

// conflictRate returns the fraction of attempts that end in a conflict. Without
// merging, any change since the base is a conflict; with merging, only a change of
// the same section.
func conflictRate(b *testing.B, attempts []attempt, merge bool) float64 {
	weights := make([]int, allCustomers)
	first, err := partitioner.Split(customers(weights))
	assert.NilError(b, err)
	history := []accepted{{snapshot: first}}
	conflictCount := 0
	for n, a := range attempts {
		i := sort.Search(len(history), func(i int) bool { return history[i].at > a.read }) - 1
		base, latest := history[i].snapshot, history[len(history)-1].snapshot
		var change partitioner.Change
		for _, c := range a.sections {
			title := fmt.Sprint("customer c", c)
			change.Put = append(change.Put, parser.Section{Title: title, Text: fmt.Sprintf("[%s]\nweight = %d\n", title, n)})
		}
		ours, err := base.Apply(change)
		assert.NilError(b, err)
		if !merge && i != len(history)-1 {
			conflictCount++
			continue
		}
		merged, conflictTitles, err := partitioner.Merge(base, ours, latest)
		assert.NilError(b, err)
		if len(conflictTitles) > 0 {
			conflictCount++
			continue
		}
		history = append(history, accepted{at: a.put, snapshot: merged})
	}
	return float64(conflictCount) / float64(len(attempts))
}

// BenchmarkConflicts reports how often operators get a conflict at the target
// deployment size, depending on the time that they take to prepare a change.
func BenchmarkConflicts(b *testing.B) {
	for _, prepare := range []time.Duration{time.Second, 10 * time.Second, time.Minute, 10 * time.Minute} {
		b.Run(prepare.String(), func(b *testing.B) {
			var unmerged, merged float64
			for b.Loop() {
				attempts := drawAttempts(rand.New(rand.NewPCG(1, 2)), prepare)
				unmerged = conflictRate(b, attempts, false)
				merged = conflictRate(b, attempts, true)
			}
			b.ReportMetric(100*unmerged, "%-whole")
			b.ReportMetric(100*merged, "%-merged")
			b.ReportMetric(0, "ns/op")
		})
	}
}
