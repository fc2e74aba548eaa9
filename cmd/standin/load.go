package main

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"monsoonspar.example/protocol/requester"
	"monsoonspar.example/standin/caller"
	"monsoonspar.example/standin/pacer"
	"monsoonspar.example/state/timekeeper"
	"monsoonspar.example/transport/dialer"
)

type loadCommand struct {
	Addrs        []string      `arg:"" help:"Addresses of the daemons." name:"addr"`
	Key          []string      `help:"API key of a customer; can be repeated." required:""`
	Model        []string      `help:"Model to request; can be repeated." required:""`
	Rate         float64       `help:"Requests per second." default:"10"`
	Duration     time.Duration `help:"Period in which requests are started." default:"10s"`
	Seed         uint64        `help:"Random seed for times, lengths and texts." default:"1"`
	Timeout      time.Duration `help:"Deadline of each request." default:"30s"`
	Silence      time.Duration `help:"Time without data after which a client closes its connection." default:"10s"`
	MedianTokens int           `help:"Median output length, in tokens." default:"60"`
	Spread       float64       `help:"Standard deviation of the logarithm of the output length." default:"1"`
	MaxTokens    int           `help:"Maximum output length, in tokens." default:"1024"`
	PromptBytes  int           `help:"Length of the prompts, in bytes." default:"400"`
	ChatShare    float64       `help:"Fraction of the generations that are chats." default:"0.5"`
	WholeShare   float64       `help:"Fraction of the generations that are not streamed." default:"0"`
	FilingShare  float64       `help:"Fraction of the requests that are filings at a service." default:"0"`
	FilingPath   string        `help:"URL path of the filings." default:"/services/registro-app/corrections"`
	Runs         []string      `help:"Addresses of the service stand-ins, to check that each filing ran at most once."`
	Resumes      int           `help:"Maximum number of attempts to resume an interrupted stream." default:"10"`
	Returns      int           `help:"Maximum number of retries after a refusal." default:"3"`
	JSON         bool          `help:"Write the report as JSON." name:"json"`
}

// Run generates the load and writes the report. It returns an error if a guarantee
// was violated.
func (c loadCommand) Run() error {
	if c.Rate <= 0 || c.MaxTokens < 1 || c.MedianTokens < 1 || c.PromptBytes < 0 {
		return errors.New("rate, median-tokens and max-tokens must be positive, and prompt-bytes must not be negative")
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	d := dialer.New(dialer.Config{MaxIdlePerAddr: 1}, timekeeper.System{})
	defer d.Close()
	report := pacer.Run(ctx, c.config(), caller.New(d, c.Silence))
	var runs []pacer.RunCount
	for _, addr := range c.Runs {
		counts, err := readRuns(d, addr)
		if err != nil {
			return err
		}
		runs = append(runs, counts...)
	}
	report.AddRuns(runs)
	if err := c.write(report); err != nil {
		return err
	}
	if report.ViolationCount > 0 {
		return errGuaranteeViolated
	}
	return nil
}

func (c loadCommand) config() pacer.Config {
	return pacer.Config{
		Addrs: c.Addrs, Keys: c.Key, Models: c.Model,
		Rate: c.Rate, Duration: c.Duration, Seed: c.Seed, Timeout: c.Timeout,
		MedianTokens: c.MedianTokens, Spread: c.Spread, MaxTokens: c.MaxTokens, PromptBytes: c.PromptBytes,
		ChatShare: c.ChatShare, NonStreamedShare: c.WholeShare,
		FilingShare: c.FilingShare, FilingPath: c.FilingPath,
		MaxResumes: c.Resumes, MaxRetries: c.Returns,
	}
}

func (c loadCommand) write(report pacer.Report) error {
	if !c.JSON {
		return report.WriteTable(os.Stdout)
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(report)
}

// readRuns returns the requests that a service stand-in has executed.
func readRuns(d requester.Doer, addr string) ([]pacer.RunCount, error) {
	res, err := d.Do(context.Background(), requester.Request{Method: "GET", Addr: addr, Path: "/runs"})
	if err != nil {
		return nil, errors.Wrap(err, "runs of the service")
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return nil, errors.Wrap(err, "runs of the service")
	}
	var response struct {
		Runs map[string]int `json:"runs"`
	}
	if err := json.Unmarshal(body, &response); err != nil {
		return nil, errors.Wrap(err, "runs of the service")
	}
	var runs []pacer.RunCount
	for id, n := range response.Runs {
		runs = append(runs, pacer.RunCount{ID: id, Count: n})
	}
	return runs, nil
}
