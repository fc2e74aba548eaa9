// Command standin runs stand-ins for the external systems that monsoonspar uses, and
// a load generator.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	"monsoonspar.example/standin/engine"
	"monsoonspar.example/standin/platform"
	"monsoonspar.example/standin/relay"
	"monsoonspar.example/standin/service"
)

type commands struct {
	Platform platformCommand `cmd:"" help:"Run the platform's object API."`
	Engine   engineCommand   `cmd:"" help:"Run a model engine."`
	Service  serviceCommand  `cmd:"" help:"Run a plain service."`
	Relay    relayCommand    `cmd:"" help:"Run a TCP relay that injects network faults between two processes."`
	Load     loadCommand     `cmd:"" help:"Generate load and report the results."`
}

// errGuaranteeViolated makes the program fail after it has written its report.
var errGuaranteeViolated = errors.New("guarantees were violated; see the report")

// server is a stand-in.
type server interface {
	Start(addr string) (string, error)
	Close() error
}

// serve runs s until a signal arrives. It prints the address once it is bound.
func serve(s server, addr string) error {
	bound, err := s.Start(addr)
	if err != nil {
		return err
	}
	fmt.Println("listening on", bound)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	return s.Close()
}

type platformCommand struct {
	Addr            string        `help:"Address to listen on." default:"127.0.0.1:0"`
	WritesPerSecond float64       `help:"Rate limit of writes; 0 for none." default:"0"`
	Faults          string        `help:"Initial faults, as JSON in the format of POST /faults." default:"{}"`
	History         int           `help:"Number of past versions from which a watch can start." default:"10000"`
	ReadsPerSecond  float64       `help:"Rate limit of reads; 0 for none." default:"0"`
	VMLag           time.Duration `help:"Delay until a change of the VM list becomes visible." default:"0s" name:"vm-lag"`
}

// Run serves the platform.
func (c platformCommand) Run() error {
	var faults platform.Faults
	if err := json.Unmarshal([]byte(c.Faults), &faults); err != nil {
		return errors.Wrap(err, "faults")
	}
	return serve(platform.New(platform.Config{
		Faults:          faults,
		WritesPerSecond: c.WritesPerSecond,
		ReadsPerSecond:  c.ReadsPerSecond,
		VMLag:           c.VMLag,
		HistoryLength:   c.History,
	}), c.Addr)
}

type engineCommand struct {
	Addr         string        `help:"Address to listen on." default:"127.0.0.1:0"`
	Model        []string      `help:"Model that is loaded at the start, as NAME/VERSION[/ADAPTER]." placeholder:"MODEL"`
	MemoryTokens int           `help:"Capacity of the KV cache, in tokens." default:"100000"`
	BlockTokens  int           `help:"Size of a KV cache block, in tokens." default:"16"`
	MaxBatch     int           `help:"Maximum number of sequences in the batch." default:"64"`
	StepTime     time.Duration `help:"Base duration of a decode step." default:"20ms"`
	SequenceTime time.Duration `help:"Time that a running sequence adds to a step." default:"0s"`
	PrefillTime  time.Duration `help:"Time that a prompt token adds to a step." default:"0s"`
	LoadTime     time.Duration `help:"Time to load a model." default:"0s"`
	KeepAlive    time.Duration `help:"Maximum time without data on a stream." default:"500ms"`
	Faults       string        `help:"Initial faults, as JSON in the format of POST /faults." default:"{}"`
	ChecksFence  bool          `help:"Refuse orders with a stale fencing token."`
}

// Run serves an engine.
func (c engineCommand) Run() error {
	models, err := parseModels(c.Model)
	if err != nil {
		return err
	}
	var faults engine.Faults
	if err := json.Unmarshal([]byte(c.Faults), &faults); err != nil {
		return errors.Wrap(err, "faults")
	}
	return serve(engine.New(engine.Config{
		Faults:             faults,
		Models:             models,
		MemoryTokens:       c.MemoryTokens,
		BlockTokens:        c.BlockTokens,
		MaxBatch:           c.MaxBatch,
		StepTime:           c.StepTime,
		SequenceTime:       c.SequenceTime,
		PrefillTime:        c.PrefillTime,
		LoadTime:           c.LoadTime,
		KeepAliveInterval:  c.KeepAlive,
		CheckFencingTokens: c.ChecksFence,
		OnReclaim:          exit,
	}), c.Addr)
}

type serviceCommand struct {
	Addr   string `help:"Address to listen on." default:"127.0.0.1:0"`
	Faults string `help:"Initial faults, as JSON in the format of POST /faults." default:"{}"`
}

// Run serves a plain service.
func (c serviceCommand) Run() error {
	var faults service.Faults
	if err := json.Unmarshal([]byte(c.Faults), &faults); err != nil {
		return errors.Wrap(err, "faults")
	}
	return serve(service.New(service.Config{Faults: faults, OnReclaim: exit}), c.Addr)
}

type relayCommand struct {
	Addr    string `help:"Address to listen on." default:"127.0.0.1:0"`
	Control string `help:"Address for POST /faults." default:"127.0.0.1:0"`
	Target  string `help:"Address to which connections are forwarded." required:""`
}

// Run forwards connections.
func (c relayCommand) Run() error {
	r := relay.New(c.Target)
	control, err := r.StartControl(c.Control)
	if err != nil {
		return err
	}
	fmt.Println("control on", control)
	return serve(r, c.Addr)
}

// exit ends the process, as if its VM had been reclaimed.
func exit() { os.Exit(0) }

func parseModels(names []string) ([]engine.Model, error) {
	var models []engine.Model
	for _, name := range names {
		parts := strings.SplitN(name, "/", 3)
		if len(parts) < 2 {
			return nil, errors.Errorf("model %q: want NAME/VERSION[/ADAPTER]", name)
		}
		m := engine.Model{Model: parts[0], Version: parts[1]}
		if len(parts) == 3 {
			m.Adapter = parts[2]
		}
		models = append(models, m)
	}
	return models, nil
}

func main() {
	ctx := kong.Parse(&commands{},
		kong.Name("standin"),
		kong.Description("Stand-ins for the external systems that monsoonspar uses, and a load generator."),
		kong.UsageOnError())
	ctx.FatalIfErrorf(ctx.Run())
}
