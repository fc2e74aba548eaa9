package experimenter

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"monsoonspar.example/emulator"
	"monsoonspar.example/state/cataloger"
)

// ErrUnknown is returned for a name that is not known.
var ErrUnknown = errors.New("unknown name")

// Deployment describes a fleet and those who call it.
type Deployment struct {
	Name      string
	Domains   []string
	Daemons   int // Dealt out to the domains in turn, as the engines are.
	Engines   int
	Engine    emulator.Config
	Crossing  time.Duration // One way between failure domains.
	ToClient  time.Duration // One way between a caller and a daemon.
	Kinds     []Kind
	Customers []Customer
	Weights   cataloger.Weights
	GapTarget time.Duration
	AgeBound  time.Duration // Of long jobs.

	Concurrency int // Tuned limit of the policy fixed, for each engine.
}

// Kind is one kind of job. Output lengths are log-normal.
type Kind struct {
	Name         string
	Share        float64 // Part of the requests.
	Long         bool
	Prompt       Lengths // Tokens beyond the prefix.
	Output       Lengths
	MaxTokens    int // Upper bound that callers declare, in tokens.
	Prefixes     int // Distinct shared prompt prefixes.
	PrefixTokens int
	Slack        time.Duration // Least time from arrival to deadline.
	SlackSpread  time.Duration // Added to it at random, evenly.
}

// Lengths is a log-normal distribution of lengths, cut off at both ends.
type Lengths struct {
	Median float64
	Sigma  float64 // Of the logarithm.
	Min    int
	Max    int
}

// Customer is one caller with its share of the demand.
type Customer struct {
	Name   string
	Demand float64 // Part of the requests.
	Weight float64 // Share of the service that it is due.
}

// DeploymentNamed returns "registro" or "carpati".
func DeploymentNamed(name string) (Deployment, error) {
	switch name {
	case "registro":
		return registro(), nil
	case "carpati":
		return carpati(), nil
	case "tiny":
		return tiny(), nil
	}
	return Deployment{}, errors.Wrapf(ErrUnknown, "deployment %q", name)
}

func engineConfig() emulator.Config {
	return emulator.Config{
		MemoryTokens:     64_000,
		BlockTokens:      16,
		MaxBatch:         256,
		MaxPrefillTokens: 512,
		Step: emulator.StepModel{
			Base:            15 * time.Millisecond,
			PerSequence:     150 * time.Microsecond,
			PerPrefillToken: 50 * time.Microsecond,
		},
	}
}

// registro has short checks beside drafts of hundreds to thousands of tokens.
func registro() Deployment {
	return Deployment{
		Name:     "registro",
		Domains:  []string{"milano-a", "torino-b", "verona-c"},
		Daemons:  7,
		Engines:  12,
		Engine:   engineConfig(),
		Crossing: time.Millisecond,
		ToClient: time.Millisecond,
		Kinds: []Kind{
			{
				Name: "check", Share: 0.7,
				Prompt:    Lengths{Median: 250, Sigma: 0.6, Min: 20, Max: 2000},
				Output:    Lengths{Median: 35, Sigma: 0.5, Min: 5, Max: 200},
				MaxTokens: 256, Prefixes: 10, PrefixTokens: 320,
				Slack: 5 * time.Second, SlackSpread: 10 * time.Second,
			},
			{
				Name: "draft", Share: 0.3, Long: true,
				Prompt:    Lengths{Median: 500, Sigma: 0.7, Min: 50, Max: 4000},
				Output:    Lengths{Median: 700, Sigma: 0.9, Min: 50, Max: 8000},
				MaxTokens: 8192, Prefixes: 20, PrefixTokens: 640,
				Slack: 60 * time.Second, SlackSpread: 90 * time.Second,
			},
		},
		Customers: customers(10),
		Weights:   cataloger.Weights{StallTime: 3, Preemptions: 1, TokenGap: 1},
		GapTarget: 73 * time.Millisecond,
		AgeBound:  30 * time.Second,

		Concurrency: 40,
	}
}

// carpati has help-desk answers beside long renewal letters.
func carpati() Deployment {
	d := registro()
	d.Name = "carpati"
	d.Domains = []string{"ro-centru-a", "ro-centru-b", "ro-centru-c"}
	d.Daemons = 8
	d.Engines = 14
	d.Crossing = 500 * time.Microsecond
	d.Kinds = []Kind{
		{
			Name: "answer", Share: 0.75,
			Prompt:    Lengths{Median: 300, Sigma: 0.6, Min: 20, Max: 3000},
			Output:    Lengths{Median: 120, Sigma: 0.7, Min: 10, Max: 800},
			MaxTokens: 1024, Prefixes: 12, PrefixTokens: 480,
			Slack: 12 * time.Second, SlackSpread: 18 * time.Second,
		},
		{
			Name: "letter", Share: 0.25, Long: true,
			Prompt:    Lengths{Median: 350, Sigma: 0.5, Min: 50, Max: 2000},
			Output:    Lengths{Median: 900, Sigma: 0.6, Min: 100, Max: 6000},
			MaxTokens: 6144, Prefixes: 8, PrefixTokens: 512,
			Slack: 60 * time.Second, SlackSpread: 120 * time.Second,
		},
	}
	d.Concurrency = 50
	d.Weights = cataloger.Weights{StallTime: 1, Preemptions: 3, TokenGap: 3}
	return d
}

// tiny is for tests: one engine a domain and little memory.
func tiny() Deployment {
	d := registro()
	d.Name = "tiny"
	for i := range d.Kinds {
		d.Kinds[i].Prefixes = 2
	}
	d.Domains = d.Domains[:2]
	d.Daemons = 2
	d.Engines = 2
	d.Engine.MemoryTokens = 16_000
	return d
}

// customers returns n customers, of which the first three are large.
func customers(n int) []Customer {
	cs := make([]Customer, n)
	for i := range cs {
		cs[i] = Customer{Name: fmt.Sprintf("c%02d", i), Demand: 0.4 / float64(n-3), Weight: 1}
		if i < 3 {
			cs[i].Demand = 0.2
			cs[i].Weight = 3
		}
	}
	return cs
}
