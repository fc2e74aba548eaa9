package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"monsoonspar.example/demonstrator"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// demoCmd runs a demonstration deployment on loopback.
type demoCmd struct{}

// Parameters of the demo.
const (
	demoDaemons      = 3
	demoEngines      = 2
	demoStepTime     = 15 * time.Millisecond
	demoTimeout      = 25 * time.Second
	demoPollInterval = 50 * time.Millisecond
)

// Help returns the text of demo --help.
func (*demoCmd) Help() string {
	return `Starts stand-ins of a platform, two engines and a service, and three daemons, all in
this process and on loopback. Streams a few generations, files one correction twice
with the same Idempotency-Key, drains a daemon and prints a summary.`
}

// demo is a running demonstration.
type demo struct {
	deployment *demonstrator.Deployment
	out        io.Writer
}

// Run starts the deployment, runs the demonstration and closes the deployment.
func (*demoCmd) Run(ctx context.Context, c console) error {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	d, err := demonstrator.Start(demonstrator.Config{
		Daemons: demoDaemons, Engines: demoEngines, StepTime: demoStepTime,
		BalancerLag: 200 * time.Millisecond, Log: zerolog.New(c.Stderr).Level(zerolog.WarnLevel),
	})
	if err != nil {
		return err
	}
	defer d.Close()
	return demo{deployment: d, out: c.Stdout}.run(ctx)
}

// run performs the steps of the demonstration.
func (d demo) run(ctx context.Context) error {
	fmt.Fprintf(d.out, "Three daemons, two engines, one service and a platform run on loopback.\n")
	if err := d.waitReady(ctx); err != nil {
		return err
	}
	fmt.Fprintf(d.out, "The manifest is in force at every daemon.\n\n")
	tokens := 0
	for i := range d.deployment.Daemons {
		n, err := d.stream(ctx, i)
		if err != nil {
			return err
		}
		tokens += n
	}
	runs, err := d.fileCorrectionTwice(ctx)
	if err != nil {
		return err
	}
	fmt.Fprintf(d.out, "\nDraining daemon-0 ...")
	if err := d.deployment.Daemons[0].Stop(); err != nil {
		return err
	}
	fmt.Fprintf(d.out, " done.\n\nSummary: %d tokens in %d streams, a correction filed twice ran %d time, one daemon drained.\n",
		tokens, len(d.deployment.Daemons), runs)
	return nil
}

// waitReady waits until every daemon has a manifest in force.
func (d demo) waitReady(ctx context.Context) error {
	t := time.NewTicker(demoPollInterval)
	defer t.Stop()
	for _, s := range d.deployment.Daemons {
		for !s.Ready() {
			select {
			case <-ctx.Done():
				return errors.Wrap(ctx.Err(), "wait for the manifest")
			case <-t.C:
			}
		}
	}
	return nil
}

// post sends a request of the sample customer to a daemon.
func (d demo) post(ctx context.Context, daemon int, path, key, body string) (*http.Response, error) {
	url := "http://" + d.deployment.DaemonAddrs[daemon].Callers + path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	req.Header.Set("Authorization", "Bearer "+demonstrator.APIKey)
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	res, err := http.DefaultClient.Do(req)
	return res, errors.WithStack(err)
}

// demoChunk holds the decoded fields of a streamed chunk.
type demoChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// stream prints the tokens of a generation as they arrive and returns their number.
func (d demo) stream(ctx context.Context, daemon int) (int, error) {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":24,"messages":[{"role":"user","content":"Draft clarification %d"}]}`, demonstrator.Model, daemon)
	res, err := d.post(ctx, daemon, "/v1/chat/completions", "", body)
	if err != nil {
		return 0, err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return 0, errors.Errorf("stream through daemon-%d: %s", daemon, res.Status)
	}
	fmt.Fprintf(d.out, "daemon-%d:", daemon)
	defer fmt.Fprintln(d.out)
	n := 0
	sc := bufio.NewScanner(res.Body)
	for sc.Scan() {
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return n, nil
		}
		var ch demoChunk
		if err := json.Unmarshal([]byte(data), &ch); err != nil || len(ch.Choices) == 0 {
			return n, errors.Errorf("stream through daemon-%d: %s", daemon, data)
		}
		fmt.Fprint(d.out, " "+tokenNumber(ch.Choices[0].Delta.Content))
		n++
	}
	return n, errors.Errorf("stream through daemon-%d ended early", daemon)
}

// tokenNumber returns the number at the end of a token. The tokens of the engine
// stand-in are numbered so that tests can identify them.
func tokenNumber(text string) string {
	text = strings.TrimSpace(text)
	return text[strings.LastIndex(text, "-")+1:]
}

// fileCorrectionTwice sends a correction through two daemons with the same
// Idempotency-Key and returns how often the service executed it.
func (d demo) fileCorrectionTwice(ctx context.Context) (int, error) {
	fmt.Fprintln(d.out)
	for daemon := range 2 {
		res, err := d.post(ctx, daemon, "/services/"+demonstrator.Service+"/corrections", "correction-17", `{"entry":17}`)
		if err != nil {
			return 0, err
		}
		_ = res.Body.Close()
		fmt.Fprintf(d.out, "Filed correction 17 through daemon-%d: %s, replayed=%t\n", daemon, res.Status, res.Header.Get("Idempotency-Replayed") == "true")
	}
	res, err := http.Get("http://" + d.deployment.ServiceAddr + "/runs")
	if err != nil {
		return 0, errors.WithStack(err)
	}
	defer func() { _ = res.Body.Close() }()
	var report struct {
		Total int `json:"total"`
	}
	if err := json.NewDecoder(res.Body).Decode(&report); err != nil {
		return 0, errors.WithStack(err)
	}
	if report.Total != 1 {
		return report.Total, errors.Errorf("the correction ran %d times", report.Total)
	}
	return report.Total, nil
}
