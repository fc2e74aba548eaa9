// Command standin runs the test doubles of the systems around monsoonspar.
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
	Relay    relayCommand    `cmd:"" help:"Run a network between two processes."`
	Load     loadCommand     `cmd:"" help:"Run paced callers and report what came of them."`
}

// errBroken ends the program with an error after its report is out.
var errBroken = errors.New("promises were broken")

// runner is a stand-in.
type runner interface {
	Start(addr string) (string, error)
	Close() error
}

// run serves until a signal comes. The address is printed once it is bound.
func run(r runner, addr string) error {
	bound, err := r.Start(addr)
	if err != nil {
		return err
	}
	fmt.Println("listening on", bound)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	return r.Close()
}

type platformCommand struct {
	Addr            string        `help:"Address to listen on." default:"127.0.0.1:0"`
	WritesPerSecond float64       `help:"Limit of writes; 0 for none." default:"0"`
	Faults          string        `help:"Faults from the start, as POST /faults takes them." default:"{}"`
	History         int           `help:"Versions that a watch can begin from." default:"10000"`
	ReadsPerSecond  float64       `help:"Limit of reads; 0 for none." default:"0"`
	VMLag           time.Duration `help:"Time until a change of the VM list can be read." default:"0s" name:"vm-lag"`
}

// Run serves the platform.
func (c platformCommand) Run() error {
	var faults platform.Faults
	if err := json.Unmarshal([]byte(c.Faults), &faults); err != nil {
		return errors.Wrap(err, "faults")
	}
	return run(platform.New(platform.Config{
		Faults:          faults,
		WritesPerSecond: c.WritesPerSecond,
		ReadsPerSecond:  c.ReadsPerSecond,
		VMLag:           c.VMLag,
		HistoryLength:   c.History,
	}), c.Addr)
}

type engineCommand struct {
	Addr         string        `help:"Address to listen on." default:"127.0.0.1:0"`
	Model        []string      `help:"Model that is ready, as NAME/VERSION[/ADAPTER]." placeholder:"MODEL"`
	MemoryTokens int           `help:"Token memory." default:"100000"`
	BlockTokens  int           `help:"Tokens of a memory block." default:"16"`
	MaxBatch     int           `help:"Most sequences in a batch." default:"64"`
	StepTime     time.Duration `help:"Base time of a decode step." default:"20ms"`
	SequenceTime time.Duration `help:"Time that a running sequence adds to a step." default:"0s"`
	PrefillTime  time.Duration `help:"Time that a prompt token adds to a step." default:"0s"`
	LoadTime     time.Duration `help:"Time to load a model." default:"0s"`
	KeepAlive    time.Duration `help:"Longest silence of a stream." default:"500ms"`
	Faults       string        `help:"Faults from the start, as POST /faults takes them." default:"{}"`
	ChecksFence  bool          `help:"Refuse orders with an old fencing number."`
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
	return run(engine.New(engine.Config{
		Faults:       faults,
		Models:       models,
		MemoryTokens: c.MemoryTokens,
		BlockTokens:  c.BlockTokens,
		MaxBatch:     c.MaxBatch,
		StepTime:     c.StepTime,
		SequenceTime: c.SequenceTime,
		PrefillTime:  c.PrefillTime,
		LoadTime:     c.LoadTime,
		KeepAlive:    c.KeepAlive,
		ChecksFence:  c.ChecksFence,
		Exit:         exit,
	}), c.Addr)
}

type serviceCommand struct {
	Addr   string `help:"Address to listen on." default:"127.0.0.1:0"`
	Faults string `help:"Faults from the start, as POST /faults takes them." default:"{}"`
}

// Run serves a plain service.
func (c serviceCommand) Run() error {
	var faults service.Faults
	if err := json.Unmarshal([]byte(c.Faults), &faults); err != nil {
		return errors.Wrap(err, "faults")
	}
	return run(service.New(service.Config{Faults: faults, Exit: exit}), c.Addr)
}

type relayCommand struct {
	Addr    string `help:"Address to listen on." default:"127.0.0.1:0"`
	Control string `help:"Address for POST /faults." default:"127.0.0.1:0"`
	Target  string `help:"Address to pass connections on to." required:""`
}

// Run passes connections on.
func (c relayCommand) Run() error {
	r := relay.New(c.Target)
	control, err := r.StartControl(c.Control)
	if err != nil {
		return err
	}
	fmt.Println("control on", control)
	return run(r, c.Addr)
}

// exit ends the process as a reclaimed VM ends.
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
		kong.Description("Test doubles of the systems around monsoonspar."),
		kong.UsageOnError())
	ctx.FatalIfErrorf(ctx.Run())
}
