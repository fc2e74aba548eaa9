package experimenter

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"monsoonspar.example/emulator"
	"monsoonspar.example/state/cataloger"
)

// ErrUnknownName is returned for the name of a deployment, load, fault or policy
// that does not exist.
var ErrUnknownName = errors.New("unknown name")

// Deployment describes a fleet of daemons and engines, and its workload.
type Deployment struct {
	Name               string
	Domains            []string
	Daemons            int // Assigned to the domains round-robin, as are the engines.
	Engines            int
	Engine             emulator.Config
	CrossDomainLatency time.Duration // One way, between two failure domains.
	ClientLatency      time.Duration // One way, between a client and a daemon.
	Kinds              []JobKind
	Customers          []Customer
	Weights            cataloger.Weights
	TokenGapTarget     time.Duration
	MaxQueueWait       time.Duration // Of long jobs; see admitter.Config.

	Concurrency int // Limit per engine that the policy "fixed" uses by default.
}

// JobKind is a class of jobs with common length and deadline distributions.
type JobKind struct {
	Name         string
	RequestShare float64 // Fraction of all requests.
	Long         bool
	PromptTokens LengthDistribution // Without the shared prefix.
	OutputTokens LengthDistribution
	MaxTokens    int // Output limit that clients declare.
	Prefixes     int // Number of distinct shared prompt prefixes.
	PrefixTokens int
	MinSlack     time.Duration // Minimum time from arrival to deadline.
	SlackSpread  time.Duration // Upper bound of a uniformly distributed addition to MinSlack.
}

// LengthDistribution is a log-normal distribution of token counts, clamped to
// [Min, Max].
type LengthDistribution struct {
	Median float64
	Sigma  float64 // Standard deviation of the logarithm.
	Min    int
	Max    int
}

// Customer is a customer and its fraction of the demand.
type Customer struct {
	Name   string
	Demand float64 // Fraction of all requests.
	Weight float64 // Relative share of the service to which it is entitled.
}

// DeploymentByName returns the deployment "registro", "carpati" or "tiny".
func DeploymentByName(name string) (Deployment, error) {
	switch name {
	case "registro":
		return registro(), nil
	case "carpati":
		return carpati(), nil
	case "tiny":
		return tiny(), nil
	}
	return Deployment{}, errors.Wrapf(ErrUnknownName, "deployment %q", name)
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

// registro mixes short checks with drafts of hundreds to thousands of tokens.
func registro() Deployment {
	return Deployment{
		Name:               "registro",
		Domains:            []string{"milano-a", "torino-b", "verona-c"},
		Daemons:            7,
		Engines:            12,
		Engine:             engineConfig(),
		CrossDomainLatency: time.Millisecond,
		ClientLatency:      time.Millisecond,
		Kinds: []JobKind{
			{
				Name: "check", RequestShare: 0.7,
				PromptTokens: LengthDistribution{Median: 250, Sigma: 0.6, Min: 20, Max: 2000},
				OutputTokens: LengthDistribution{Median: 35, Sigma: 0.5, Min: 5, Max: 200},
				MaxTokens:    256, Prefixes: 10, PrefixTokens: 320,
				MinSlack: 5 * time.Second, SlackSpread: 10 * time.Second,
			},
			{
				Name: "draft", RequestShare: 0.3, Long: true,
				PromptTokens: LengthDistribution{Median: 500, Sigma: 0.7, Min: 50, Max: 4000},
				OutputTokens: LengthDistribution{Median: 700, Sigma: 0.9, Min: 50, Max: 8000},
				MaxTokens:    8192, Prefixes: 20, PrefixTokens: 640,
				MinSlack: 60 * time.Second, SlackSpread: 90 * time.Second,
			},
		},
		Customers:      customers(10),
		Weights:        cataloger.Weights{StallTime: 3, Preemptions: 1, TokenGap: 1},
		TokenGapTarget: 73 * time.Millisecond,
		MaxQueueWait:   30 * time.Second,

		Concurrency: 40,
	}
}

// carpati mixes help-desk answers with long renewal letters.
func carpati() Deployment {
	d := registro()
	d.Name = "carpati"
	d.Domains = []string{"ro-centru-a", "ro-centru-b", "ro-centru-c"}
	d.Daemons = 8
	d.Engines = 14
	d.CrossDomainLatency = 500 * time.Microsecond
	d.Kinds = []JobKind{
		{
			Name: "answer", RequestShare: 0.75,
			PromptTokens: LengthDistribution{Median: 300, Sigma: 0.6, Min: 20, Max: 3000},
			OutputTokens: LengthDistribution{Median: 120, Sigma: 0.7, Min: 10, Max: 800},
			MaxTokens:    1024, Prefixes: 12, PrefixTokens: 480,
			MinSlack: 12 * time.Second, SlackSpread: 18 * time.Second,
		},
		{
			Name: "letter", RequestShare: 0.25, Long: true,
			PromptTokens: LengthDistribution{Median: 350, Sigma: 0.5, Min: 50, Max: 2000},
			OutputTokens: LengthDistribution{Median: 900, Sigma: 0.6, Min: 100, Max: 6000},
			MaxTokens:    6144, Prefixes: 8, PrefixTokens: 512,
			MinSlack: 60 * time.Second, SlackSpread: 120 * time.Second,
		},
	}
	d.Concurrency = 50
	d.Weights = cataloger.Weights{StallTime: 1, Preemptions: 3, TokenGap: 3}
	return d
}

// tiny is for tests: one engine per domain and little memory.
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

// customers returns n customers. The first three each have a fifth of the demand
// and three times the weight of the others.
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
