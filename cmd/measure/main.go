// Command measure compares admission policies on simulated deployments and prints
// a table. The policies are described at experimenter.Policies. The same flags give
// the same output, byte for byte.
package main

import (
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"github.com/alecthomas/kong"

	"monsoonspar.example/experimenter"
)

// flags holds the command-line flags.
type flags struct {
	Deployment  string        `default:"registro" enum:"registro,carpati,tiny" help:"Deployment: ${enum}."`
	Policy      []string      `default:"all" help:"Policies by name, or all: fixed, free, reserve, alone, split, ours, oracle."`
	Load        []string      `default:"0.9" help:"Loads by name: 0.7, 0.9, 1.1, burst3."`
	Fault       string        `default:"none" help:"Fault: none, engine_lost, engine_reclaimed, owner_lost, late_reports, domain_cut, crashing_part."`
	Routing     string        `default:"ordered" enum:"ordered,both,random,affine" help:"Endpoints asked for an estimate: ordered (the one with prefix affinity, then a random one if needed), both (these two in parallel), random (two random ones), affine (only the one with prefix affinity)."`
	Unnamed     bool          `help:"Clients do not state the kind of their jobs."`
	Seeds       int           `default:"20" help:"Number of seeds."`
	Seed        uint64        `default:"1" help:"First seed."`
	Concurrency int           `help:"Limit per engine of the policy fixed; by default that of the deployment."`
	Duration    time.Duration `default:"360s" help:"Virtual time of the last arrival."`
	WarmUp      time.Duration `default:"120s" help:"Requests that arrive earlier are not measured."`
	Parallel    int           `default:"4" help:"Maximum number of concurrent runs."`
	JSON        bool          `name:"json" negatable:"" help:"Write JSON."`
}

func main() {
	var f flags
	ctx := kong.Parse(&f, kong.Description("Compares admission policies on simulated deployments."))
	ctx.FatalIfErrorf(f.run(os.Stdout))
}

func (f *flags) run(w io.Writer) error {
	d, err := experimenter.DeploymentByName(f.Deployment)
	if err != nil {
		return err
	}
	policies, err := f.policies()
	if err != nil {
		return err
	}
	fault, err := experimenter.FaultByName(f.Fault)
	if err != nil {
		return err
	}
	for _, name := range f.Load {
		load, err := experimenter.LoadByName(name)
		if err != nil {
			return err
		}
		t := experimenter.Measure(experimenter.Options{
			Deployment:  d,
			Load:        load,
			Fault:       fault,
			OmitJobKind: f.Unnamed,
			Routing:     experimenter.Routing(f.Routing),
			Seed:        f.Seed,
			Concurrency: f.concurrency(d),
			WarmUp:      f.WarmUp,
			Duration:    f.Duration,
		}, policies, max(f.Seeds, 1), max(f.Parallel, 1))
		if err := f.write(w, t); err != nil {
			return err
		}
	}
	return nil
}

func (f *flags) write(w io.Writer, t experimenter.Table) error {
	if f.JSON {
		return t.WriteJSON(w)
	}
	if err := t.WriteText(w); err != nil {
		return err
	}
	_, err := fmt.Fprintln(w)
	return err
}

func (f *flags) concurrency(d experimenter.Deployment) int {
	if f.Concurrency > 0 {
		return f.Concurrency
	}
	return d.Concurrency
}

func (f *flags) policies() ([]experimenter.Policy, error) {
	if slices.Contains(f.Policy, "all") {
		return experimenter.Policies, nil
	}
	var ps []experimenter.Policy
	for _, name := range f.Policy {
		p, err := experimenter.PolicyByName(name)
		if err != nil {
			return nil, err
		}
		ps = append(ps, p)
	}
	return ps, nil
}
