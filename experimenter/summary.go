package experimenter

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"reflect"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/pool"
)

// Summary holds the statistics of a result over all seeds.
type Summary struct {
	Mean float64 `json:"mean"`
	SD   float64 `json:"sd"` // Sample standard deviation.
	Min  float64 `json:"min"`
	Max  float64 `json:"max"`
}

// Row holds the results of one policy over all seeds.
type Row struct {
	Policy  string             `json:"policy"`
	Results map[string]Summary `json:"figures"`
}

// Table holds the results of an experiment.
type Table struct {
	Deployment  string  `json:"deployment"`
	Load        string  `json:"load"`
	Fault       Fault   `json:"fault"`
	Capacity    float64 `json:"capacity_requests_per_s"`
	Concurrency int     `json:"fixed_concurrency"`
	FirstSeed   uint64  `json:"first_seed"`
	Seeds       int     `json:"seeds"`
	Rows        []Row   `json:"rows"`
}

// Measure runs each policy with the seeds opt.Seed, opt.Seed+1 and so on, with at
// most parallel concurrent runs. It sets opt.Capacity to the capacity of the
// deployment.
func Measure(opt Options, policies []Policy, seeds, parallel int) Table {
	opt.Capacity = opt.Deployment.Capacity()
	results := make([][]Results, len(policies))
	runs := pool.New().WithMaxGoroutines(parallel)
	for i, p := range policies {
		results[i] = make([]Results, seeds)
		for s := range seeds {
			runs.Go(func() {
				o := opt
				o.Seed += uint64(s)
				results[i][s] = Run(o, p)
			})
		}
	}
	runs.Wait()
	t := Table{
		Deployment:  opt.Deployment.Name,
		Load:        opt.Load.Name,
		Fault:       opt.Fault,
		Capacity:    opt.Capacity,
		Concurrency: opt.Concurrency,
		FirstSeed:   opt.Seed,
		Seeds:       seeds,
	}
	for i, p := range policies {
		t.Rows = append(t.Rows, Row{Policy: p.Name, Results: summarize(results[i])})
	}
	return t
}

// summarize returns the summary of each field of Results, by its JSON name.
func summarize(runs []Results) map[string]Summary {
	out := map[string]Summary{}
	typ := reflect.TypeFor[Results]()
	for i := range typ.NumField() {
		values := make([]float64, len(runs))
		for k, f := range runs {
			values[k] = reflect.ValueOf(f).Field(i).Float()
		}
		out[typ.Field(i).Tag.Get("json")] = summarizeValues(values)
	}
	return out
}

func summarizeValues(values []float64) Summary {
	s := Summary{Min: math.Inf(1), Max: math.Inf(-1)}
	for _, v := range values {
		s.Mean += v / float64(len(values))
		s.Min = min(s.Min, v)
		s.Max = max(s.Max, v)
	}
	for _, v := range values {
		s.SD += float64((v - s.Mean) * (v - s.Mean)) // The conversion forbids a fused addition, which rounds otherwise.
	}
	s.SD = math.Sqrt(s.SD / max(1, float64(len(values)-1)))
	return s
}

// WriteJSON writes t as indented JSON.
func (t Table) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return errors.Wrap(enc.Encode(t), "write JSON")
}

// column is a column of the printed table.
type column struct {
	title  string
	result string
	scale  float64
	digits int
}

var resultColumns = []column{
	{"stall mean ms", "stall_mean_ms", 1, 0},
	{"p95", "stall_p95_ms", 1, 0},
	{"p99", "stall_p99_ms", 1, 0},
	{"preempt/1000", "preemptions_per_1000", 1, 1},
	{"gap p95 ms", "gap_p95_ms", 1, 0},
	{"p99", "gap_p99_ms", 1, 0},
	{"in time/engine-s", "in_time_per_engine_s", 1, 3},
	{"in time %", "in_time_part", 100, 1},
	{"at first call %", "first_in_time_part", 100, 1},
	{"short wait p95 ms", "wait_short_p95_ms", 1, 0},
	{"long wait p99 s", "wait_long_p99_ms", 0.001, 1},
	{"max s", "wait_long_max_ms", 0.001, 1},
	{"service gap tok", "service_gap_tokens", 1, 0},
	{"refused %", "refused_part", 100, 1},
	{"returned ok %", "returned_in_time_part", 100, 1},
	{"late %", "late_part", 100, 1},
	{"cut off %", "failed_part", 100, 1},
	{"prefix hit %", "prefix_hit_part", 100, 1},
}

// crashColumns are the further columns of FaultCrashingPart.
var crashColumns = []column{
	{"crashes", "crashes", 1, 1},
	{"late sends", "late_sends", 1, 1},
	{"sound refused", "sound_refused", 1, 1},
}

// WriteText writes t as a Markdown table with mean and standard deviation in each
// cell.
func (t Table) WriteText(w io.Writer) error {
	columns := slices.Clone(resultColumns)
	if t.Fault == FaultCrashingPart {
		columns = append(columns, crashColumns...)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s, load %s, fault %s: capacity %.1f requests/s, %d seeds from %d, mean ±sd\n\n",
		t.Deployment, t.Load, t.Fault, t.Capacity, t.Seeds, t.FirstSeed)
	tw := tabwriter.NewWriter(&b, 0, 0, 1, ' ', 0)
	fmt.Fprint(tw, "| policy")
	for _, c := range columns {
		fmt.Fprintf(tw, "\t| %s", c.title)
	}
	fmt.Fprint(tw, "\t|\n|---")
	for range columns {
		fmt.Fprint(tw, "\t|---")
	}
	fmt.Fprint(tw, "\t|\n")
	for _, r := range t.Rows {
		fmt.Fprintf(tw, "| %s", t.label(r.Policy))
		for _, c := range columns {
			s := r.Results[c.result]
			fmt.Fprintf(tw, "\t| %.*f ±%.*f", c.digits, s.Mean*c.scale, c.digits, s.SD*c.scale)
		}
		fmt.Fprint(tw, "\t|\n")
	}
	if err := tw.Flush(); err != nil {
		return errors.Wrap(err, "write table")
	}
	_, err := io.WriteString(w, b.String())
	return errors.Wrap(err, "write table")
}

func (t Table) label(policy string) string {
	if policy == "fixed" {
		return fmt.Sprintf("fixed %d", t.Concurrency)
	}
	return policy
}
